#include "Dispatch.h"

#include <algorithm>
#include <array>
#include <span>

namespace lacewingsail::internal {

namespace {

    constexpr int mostAttempts = 3;

    // The servers that a request has been to.
    class TriedServers {
    public:
        void add(std::size_t server) { m_servers[m_count++] = server; }
        bool contains(std::size_t server) const { return std::find(m_servers.begin(), m_servers.begin() + m_count, server) != m_servers.begin() + m_count; }
        bool empty() const { return m_count == 0; }

    private:
        std::array<std::size_t, mostAttempts> m_servers {};
        std::ptrdiff_t m_count = 0;
    };

    Candidate candidateFor(const RequestContext& request, std::size_t service, std::size_t server, bool tried, MonotonicTime now)
    {
        const FleetSnapshot& snapshot = *request.snapshot;
        const BackendServer& configured = snapshot.tables->configuration->services[service].backendServers[server];
        const BackendServerLoad& load = *snapshot.loads[service][server];
        Candidate candidate;
        candidate.inFlight = load.inFlight.load(std::memory_order_relaxed);
        candidate.slots = configured.slots;
        candidate.reportedLoad = load.reportedLoad.load(std::memory_order_relaxed);
        candidate.overloaded = now.time_since_epoch().count() < load.overloadedUntil.load(std::memory_order_relaxed);
        candidate.latency = std::chrono::microseconds(load.latency.load(std::memory_order_relaxed));
        candidate.sameZone = configured.zone == request.thread.services.settings.zone;
        candidate.warmupShare = snapshot.warmupShares[service][server];
        // The mark counts at once, also for a request that holds an older snapshot.
        candidate.serving = snapshot.standings[service][server] == Standing::Serving && !load.leaving.load(std::memory_order_relaxed);
        candidate.tried = tried;
        return candidate;
    }

    bool isAvoided(const RequestContext& request, const BackendServer& server)
    {
        return std::find(request.avoided.begin(), request.avoided.end(), server.id) != request.avoided.end();
    }

    std::span<const Candidate> candidatesOf(const RequestContext& request, std::size_t service, const TriedServers& tried)
    {
        const auto& servers = request.snapshot->tables->configuration->services[service].backendServers;
        std::vector<Candidate>& candidates = request.thread.candidates;
        const MonotonicTime now = request.thread.services.clock.now();
        candidates.clear();
        for (std::size_t server = 0; server < servers.size(); ++server)
            candidates.push_back(candidateFor(request, service, server, tried.contains(server) || isAvoided(request, servers[server]), now));
        return candidates;
    }

    std::optional<std::size_t> choose(RequestContext& request, std::size_t service, const TriedServers& tried)
    {
        const auto candidates = candidatesOf(request, service, tried);
        if (request.thread.services.settings.strategy != DispatchStrategy::Evidence)
            return chooseRoundRobin(candidates, request.thread.choices++);
        return chooseBackendServer(candidates, request.thread.random());
    }

    // An ejected server that is due for a probe gets a request that may be repeated elsewhere.
    std::optional<std::size_t> probeTarget(const RequestContext& request, std::size_t service)
    {
        const FleetSnapshot& snapshot = *request.snapshot;
        const auto& loads = snapshot.loads[service];
        for (std::size_t server = 0; server < loads.size(); ++server) {
            if (snapshot.standings[service][server] != Standing::Ejected || loads[server]->leaving.load(std::memory_order_relaxed))
                continue;
            int one = 1;
            if (loads[server]->allowedProbes.compare_exchange_strong(one, 0, std::memory_order_relaxed))
                return server;
        }
        return std::nullopt;
    }

    AttemptTarget targetFor(const RequestContext& request, std::size_t service, std::size_t server, bool probe)
    {
        const FleetSnapshot& snapshot = *request.snapshot;
        const Service& configured = snapshot.tables->configuration->services[service];
        const auto& load = snapshot.loads[service][server];
        return { &configured, &configured.backendServers[server], load, InFlightMark(load), snapshot.attemptLimits[service], probe };
    }

    // A failed connection and a server that leaves cost no server any work; whatever else calls for a further attempt
    // takes it from the budget. A stalled attempt has paid when it was broken off.
    bool isPaid(const AttemptResult& result, const AttemptTarget& target)
    {
        if (target.probe)
            return true;
        if (const auto* notRun = std::get_if<NotRun>(&result))
            return notRun->code() == ResultCode::ConnectFailed || target.load->leaving.load(std::memory_order_relaxed) || tryWithdraw(target.timing->retryBudget);
        return std::get<OutcomeUnknown>(result).code() == ResultCode::UpstreamTimeout || tryWithdraw(target.timing->retryBudget);
    }

    bool mayTryAgain(const RequestContext& request, const AttemptResult& result, const AttemptTarget& target)
    {
        if (request.callerDisconnected || request.thread.services.clock.now() >= request.deadline)
            return false;
        if (std::holds_alternative<AnswerBegun>(result))
            return false;
        if (std::holds_alternative<OutcomeUnknown>(result) && !request.route->repeatable)
            return false;
        return isPaid(result, target);
    }

} // namespace

net::awaitable<AttemptResult> dispatch(RequestContext& request, AttemptTarget& target)
{
    const ConfigurationTables& tables = *request.snapshot->tables;
    const auto service = static_cast<std::size_t>(tables.services.at(request.route->service));
    deposit(request.snapshot->attemptLimits[service]->retryBudget);
    TriedServers tried;
    AttemptResult result = UnsentAttempt().refuse(ResultCode::NoBackendServer);
    for (int count = 0; count < mostAttempts; ++count) {
        const auto probe = count == 0 && request.route->repeatable && request.avoided.empty() ? probeTarget(request, service) : std::nullopt;
        const auto chosen = probe ? probe : choose(request, service, tried);
        if (!chosen)
            break;
        tried.add(*chosen);
        target = targetFor(request, service, *chosen, probe.has_value());
        target.last = count + 1 == mostAttempts;
        result = co_await attempt(request, target);
        if (!mayTryAgain(request, result, target))
            break;
    }
    co_return result;
}

} // namespace lacewingsail::internal
