#include <lacewingsail/Limits.h>

#include "LimitCalls.h"
#include "LimitMessages.h"
#include "LimitService.h"

#include <lacewingsail/PeerCalls.h>

namespace lacewingsail::internal {

namespace {

    constexpr std::chrono::milliseconds drawTimeout { 250 };
    constexpr std::chrono::milliseconds loanTimeout { 500 };
    /// How long a host that did not answer a draw is not chosen as a pooler.
    constexpr std::chrono::milliseconds unheardPeriod { 1000 };

} // namespace

struct LimitCalls::DrawCall {
    std::shared_ptr<grpc::Channel> channel;
    grpc::ClientContext context;
    protocol::DrawRequest request;
    protocol::DrawReply reply;
    std::vector<BlockRequest> blockRequests;
};

struct LimitCalls::LoanCall {
    std::shared_ptr<grpc::Channel> channel;
    grpc::ClientContext context;
    protocol::LoanRequest request;
    protocol::LoanReply reply;
};

LimitCalls::LimitCalls(const HostId& self, const IncarnationId& incarnation, const std::string& fleetSecret, LimitLedgers& ledgers, PeerChannels& channels, Metrics& metrics, const Clock& clock)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_fleetSecret(fleetSecret)
    , m_ledgers(ledgers)
    , m_channels(channels)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

LimitCalls::~LimitCalls()
{
    std::unique_lock lock(m_mutex);
    m_callEnded.wait(lock, [this] { return m_callsInFlight == 0; });
}

void LimitCalls::beginCall()
{
    const std::lock_guard lock(m_mutex);
    ++m_callsInFlight;
}

void LimitCalls::endCall()
{
    const std::lock_guard lock(m_mutex);
    --m_callsInFlight;
    m_callEnded.notify_all();
}

void LimitCalls::recordHeard(const HostId& host, bool heard)
{
    const std::lock_guard lock(m_mutex);
    if (heard)
        m_unheardUntil.erase(host);
    else
        m_unheardUntil[host] = m_clock.now() + unheardPeriod;
}

bool LimitCalls::isHeard(const HostId& host) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_unheardUntil.find(host);
    return found == m_unheardUntil.end() || m_clock.now() >= found->second;
}

bool LimitCalls::beginLoan(const HostId& lender)
{
    const std::lock_guard lock(m_mutex);
    if (!m_borrowing.insert(lender).second)
        return false;
    ++m_callsInFlight;
    return true;
}

void LimitCalls::endLoan(const HostId& lender)
{
    const std::lock_guard lock(m_mutex);
    m_borrowing.erase(lender);
    --m_callsInFlight;
    m_callEnded.notify_all();
}

void LimitCalls::draw(const Host& pooler, std::vector<BlockRequest> blockRequests)
{
    beginCall();
    auto call = std::make_shared<DrawCall>();
    call->channel = m_channels.to(pooler.peers);
    prepareCall(call->context, m_fleetSecret, drawTimeout);
    call->request = drawRequest(m_self, m_incarnation, blockRequests);
    call->blockRequests = std::move(blockRequests);
    countMessage(m_metrics, "draw-request-sent", call->request.ByteSizeLong());
    const MonotonicTime requestedAt = m_clock.now();
    startCall(call->channel, call->context, protocol::Limits::service_full_name(), "Draw", call->request, call->reply, [this, call, requestedAt, host = pooler.id](bool answered) {
        recordHeard(host, answered);
        if (answered)
            m_ledgers.applyGrants(host, call->blockRequests, grantsOf(call->request, call->reply), requestedAt);
        else
            m_ledgers.recordDrawFailure(call->blockRequests);
        endCall();
    });
}

void LimitCalls::borrow(const Host& lender, const std::vector<ClientAccountId>& accounts)
{
    if (!beginLoan(lender.id))
        return;
    auto call = std::make_shared<LoanCall>();
    call->channel = m_channels.to(lender.peers);
    prepareCall(call->context, m_fleetSecret, loanTimeout);
    call->request = loanRequest(m_self, m_incarnation, accounts);
    countMessage(m_metrics, "loan-request-sent", call->request.ByteSizeLong());
    // The clock is read before the request is sent, since the lender counts the same term from its receipt.
    const MonotonicTime requestedAt = m_clock.now();
    startCall(call->channel, call->context, protocol::Limits::service_full_name(), "Lend", call->request, call->reply, [this, call, requestedAt, host = lender.id](bool answered) {
        if (answered)
            m_ledgers.applyLoans(host, offersOf(call->request, call->reply), requestedAt);
        endLoan(host);
    });
}

} // namespace lacewingsail::internal
