#pragma once

#include <google/protobuf/message.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewingsail {

/// \brief Sets the deadline of a call and proves that it comes from a host of the fleet.
void prepareCall(grpc::ClientContext&, const std::string& fleetSecret, std::chrono::milliseconds timeout);

/// \returns whether the call comes from a host of the fleet. Takes the same time for any wrong secret.
bool isFromFleet(const grpc::ServerContext&, const std::string& fleetSecret);

/// \brief Starts a call that does not block.
/// \param service its full name.
/// \param reply holds the answer once the call has ended. Like the context and the request, it has to live until then.
/// \param onEnd called on a thread of the library with whether the call was answered by a valid message. An answer without one
/// is logged.
void startCall(const std::shared_ptr<grpc::Channel>&, grpc::ClientContext&, std::string_view service, std::string_view method,
    const google::protobuf::Message& request, google::protobuf::Message& reply, std::function<void(bool answered)> onEnd);

/// \brief The answer to a call that does not come from a host of the fleet.
grpc::Status notFromFleet();

} // namespace lacewingsail
