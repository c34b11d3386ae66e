#include <lacewingsail/Limits.h>

#include "LimitMessages.h"
#include "LimitService.h"

#include <lacewingsail/PeerCalls.h>

namespace lacewingsail::internal {

void countMessage(Metrics& metrics, const char* type, std::size_t bytes)
{
    metrics.counter("control_messages_total", "message", type).fetch_add(1, std::memory_order_relaxed);
    metrics.counter("control_bytes_total", "message", type).fetch_add(bytes, std::memory_order_relaxed);
}

LimitService::LimitService(const std::string& fleetSecret, LimitLedgers& ledgers, Metrics& metrics, std::function<void()> wake)
    : m_fleetSecret(fleetSecret)
    , m_ledgers(ledgers)
    , m_metrics(metrics)
    , m_wake(std::move(wake))
{
}

grpc::Status LimitService::Lend(grpc::ServerContext* context, const protocol::LoanRequest* request, protocol::LoanReply* reply)
{
    if (!isFromFleet(*context, m_fleetSecret))
        return notFromFleet();
    if (request->incarnation().empty())
        return { grpc::StatusCode::INVALID_ARGUMENT, "loan request has no incarnation" };
    *reply = loanReply(*request, m_ledgers.lendTo(IncarnationId(request->incarnation()), accountsOf(*request)));
    countMessage(m_metrics, "loan-reply-sent", reply->ByteSizeLong());
    return grpc::Status::OK;
}

grpc::Status LimitService::Draw(grpc::ServerContext* context, const protocol::DrawRequest* request, protocol::DrawReply* reply)
{
    if (!isFromFleet(*context, m_fleetSecret))
        return notFromFleet();
    const std::vector<BlockGrant> grants = m_ledgers.grantBlocks(blockRequestsOf(*request));
    *reply = drawReply(*request, grants);
    countMessage(m_metrics, "draw-reply-sent", reply->ByteSizeLong());
    if (grants.size() < static_cast<std::size_t>(request->entries_size()))
        m_wake();
    return grpc::Status::OK;
}

} // namespace lacewingsail::internal
