#pragma once

namespace lacewingsail {

class DetectionController;
class DetectionState;
class EvidencePeers;
class EvidenceQueue;
struct Pin;
struct ServerReport;

} // namespace lacewingsail
