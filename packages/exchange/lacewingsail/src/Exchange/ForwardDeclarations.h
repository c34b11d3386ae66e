#pragma once

namespace lacewingsail {

class AccountTokens;
class FleetDirectory;
class FleetExchange;
class GatewayCalls;
class PlacementKeeper;
class SharedPlacement;
class UseBook;

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
