#pragma once

namespace lacewingsail {

class Clock;
enum class ResultCode;
struct BackendServer;
struct ClientAccount;
struct Configuration;
struct Host;
struct HostSettings;
struct Key;
struct Route;
struct Service;

} // namespace lacewingsail
