#pragma once

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <string>

namespace lacewingsail {

/// \brief Sets the deadline of a call and proves that it comes from a host of the fleet.
void prepareCall(grpc::ClientContext&, const std::string& fleetSecret, std::chrono::milliseconds timeout);

/// \returns whether the call comes from a host of the fleet. Takes the same time for any wrong secret.
bool isFromFleet(const grpc::ServerContext&, const std::string& fleetSecret);

/// \brief The answer to a call that does not come from a host of the fleet.
grpc::Status notFromFleet();

} // namespace lacewingsail
