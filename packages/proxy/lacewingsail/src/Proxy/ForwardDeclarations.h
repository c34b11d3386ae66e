#pragma once

namespace lacewingsail {

class ProxyServer;
class SnapshotCell;
struct ProxyServices;

} // namespace lacewingsail
