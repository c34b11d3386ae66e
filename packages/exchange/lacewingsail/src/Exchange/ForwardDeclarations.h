#pragma once

namespace lacewingsail {

class AccountRateLimiter;
class ColdServerLimiter;
class FleetDirectory;
class FleetExchange;
class GatewayCalls;
class HostCalls;
class PlacementClient;
class PlacementCoordinator;
class StatsAggregator;

namespace protocol {

    class ExchangeReply;
    class ExchangeRequest;
    class FleetNews;
    class GatewayHost;
    class PlacementDemand;
    class PlacementOutcome;
    class ServerNews;
    class UseOfZone;

} // namespace protocol

} // namespace lacewingsail
