#pragma once

namespace grpc {

class Channel;
class Service;

} // namespace grpc

namespace lacewingsail {

class PeerChannels;
class PeerServer;

} // namespace lacewingsail
