#pragma once

#include "LimitLedgers.h"

#include <lacewingsail/limits.grpc.pb.h>

#include <lacewingsail/Observe.h>

#include <functional>
#include <string>

namespace lacewingsail::internal {

/// \brief Counts a message between hosts by its size. \param type as in "draw-request-sent".
void countMessage(Metrics&, const char* type, std::size_t bytes);

/// \brief Answers the other hosts' loan requests and draws.
class LimitService final : public protocol::Limits::Service {
public:
    /// \param wake called when a draw could not be met and more has to be borrowed.
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
