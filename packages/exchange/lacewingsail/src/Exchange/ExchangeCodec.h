#pragma once

#include <lacewingsail/Exchange.h>

#include <lacewingsail/exchange.grpc.pb.h>

namespace lacewingsail::internal {

/// Fractional values are sent as integers, in hundredths.
constexpr double hundredths = 100;

/// \brief Conversions between the messages of exchange.proto and the structs that they carry. Functions that return an
/// optional return nothing for a malformed message.
void encode(const FleetDirectory::Entry&, MonotonicTime now, protocol::GatewayHost&);
std::optional<FleetDirectory::Entry> decode(const protocol::GatewayHost&, MonotonicTime now);

void encode(const FleetSize&, MonotonicTime now, protocol::GatewayHost&);
std::optional<FleetSize> decodeFleetSize(const protocol::GatewayHost&, MonotonicTime now);

void encode(const ServerStatsMap&, google::protobuf::RepeatedPtrField<protocol::UseOfServer>&);
ServerStatsMap decode(const google::protobuf::RepeatedPtrField<protocol::UseOfServer>&);

void encode(const ZoneStats&, MonotonicTime now, protocol::UseOfZone&);
ZoneStats decode(const protocol::UseOfZone&, MonotonicTime now);

/// \param era of the update that contains the message; a change states its own only if it differs.
void encode(const ServerChange&, StoreEra era, protocol::ServerNews&);
std::optional<ServerChange> decode(const protocol::ServerNews&, StoreEra era);

void encode(const ZoneEvacuation&, protocol::ZoneEvacuation&);
std::optional<ZoneEvacuation> decode(const protocol::ZoneEvacuation&);

void encode(const PlacementCell&, const PlacementDemand&, protocol::PlacementDemand&);
PlacementCell decodeCell(const protocol::PlacementDemand&);
PlacementDemand decode(const protocol::PlacementDemand&);

void encode(const PlacementOutcome&, protocol::PlacementOutcome&);
PlacementOutcome decode(const protocol::PlacementOutcome&);

} // namespace lacewingsail::internal
