#pragma once

#include "LimitLedgers.h"

#include <lacewingsail/limits.grpc.pb.h>

#include <lacewingsail/Observe.h>

#include <functional>
#include <string>

namespace lacewingsail::internal {

/// \brief Counts a message between hosts and its bytes. \param type value of the label `message`, such as
/// "draw-request-sent".
void countMessage(Metrics&, const char* type, std::size_t bytes);

/// \brief Handles loan requests and draws of other hosts.
class LimitService final : public protocol::Limits::Service {
public:
    /// \param wake called when an entry of a draw got no grant, so that more slices can be borrowed.
    LimitService(const std::string& fleetSecret, LimitLedgers&, Metrics&, std::function<void()> wake);

    grpc::Status Lend(grpc::ServerContext*, const protocol::LoanRequest*, protocol::LoanReply*) override; // NOLINT(readability-identifier-naming): generated name
    grpc::Status Draw(grpc::ServerContext*, const protocol::DrawRequest*, protocol::DrawReply*) override; // NOLINT(readability-identifier-naming): generated name

private:
    const std::string& m_fleetSecret;
    LimitLedgers& m_ledgers;
    Metrics& m_metrics;
    const std::function<void()> m_wake;
};

} // namespace lacewingsail::internal
