#pragma once

namespace lacewingsail {

class ConfigurationPeers;
class ConfigurationState;
class LogFollower;

} // namespace lacewingsail
