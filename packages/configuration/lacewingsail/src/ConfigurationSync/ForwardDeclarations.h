#pragma once

namespace lacewingsail {

class CheckpointAge;
class ConfigurationPeers;
class ConfigurationState;
class KeyFreshnessTracker;
class LogFollower;
class LogKeeper;
struct ConfigurationPeersParts;
struct LogFollowerCallbacks;
struct LogKeeperParts;
struct PublicationResult;
struct WithdrawalSummary;

} // namespace lacewingsail
