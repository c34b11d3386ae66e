#pragma once

namespace lacewingsail {

class EntryHost;
class OperatorApi;
class SnapshotPublisher;

} // namespace lacewingsail
