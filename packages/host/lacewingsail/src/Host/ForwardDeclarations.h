#pragma once

namespace lacewingsail {

class EjectionApi;
class EntryHost;
class OperatorApi;
class SnapshotPublisher;

} // namespace lacewingsail
