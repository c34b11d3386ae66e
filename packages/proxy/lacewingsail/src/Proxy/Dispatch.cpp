#include "Dispatch.h"

#include <algorithm>
#include <vector>

namespace lacewingsail::internal {

namespace {

    constexpr int mostAttempts = 3;

    std::vector<Candidate> candidatesOf(const RequestContext& request, std::size_t service, const std::vector<bool>& tried)
    {
        const FleetSnapshot& snapshot = *request.snapshot;
        const auto& servers = snapshot.tables->configuration->services[service].backendServers;
        std::vector<Candidate> candidates;
        candidates.reserve(servers.size());
        for (std::size_t server = 0; server < servers.size(); ++server) {
            const BackendServerLoad& load = *snapshot.loads[service][server];
            Candidate candidate;
            candidate.inFlight = load.inFlight.load(std::memory_order_relaxed);
            candidate.slots = servers[server].slots;
            candidate.latency = std::chrono::microseconds(load.latency.load(std::memory_order_relaxed));
            candidate.sameZone = servers[server].zone == request.thread.services.settings.zone;
            candidate.serving = snapshot.standings[service][server] == Standing::Serving;
            candidate.tried = tried[server];
            candidates.push_back(candidate);
        }
        return candidates;
    }

    std::vector<bool> avoidedServers(const RequestContext& request, const Service& service)
    {
        std::vector<bool> avoided;
        for (const BackendServer& server : service.backendServers)
            avoided.push_back(std::find(request.avoided.begin(), request.avoided.end(), server.id) != request.avoided.end());
        return avoided;
    }

    bool mayTryAgain(const RequestContext& request, const AttemptResult& result)
    {
        if (request.callerGone || request.thread.services.clock.now() >= request.deadline)
            return false;
        if (std::holds_alternative<NotRun>(result))
            return true;
        return std::holds_alternative<OutcomeUnknown>(result) && request.route->repeatable;
    }

} // namespace

net::awaitable<AttemptResult> dispatch(RequestContext& request, AttemptTarget& target)
{
    const ConfigurationTables& tables = *request.snapshot->tables;
    const std::size_t service = static_cast<std::size_t>(tables.services.at(request.route->service));
    const Service& configured = tables.configuration->services[service];
    std::vector<bool> tried = avoidedServers(request, configured);
    AttemptResult result = UnsentAttempt().refuse(ResultCode::NoBackendServer);
    for (int count = 0; count < mostAttempts; ++count) {
        const auto chosen = chooseBackendServer(candidatesOf(request, service, tried), request.thread.random());
        if (!chosen)
            break;
        tried[*chosen] = true;
        const auto& load = request.snapshot->loads[service][*chosen];
        target = { &configured, &configured.backendServers[*chosen], load, InFlightMark(load) };
        result = co_await attempt(request, target);
        if (!mayTryAgain(request, result))
            break;
    }
    co_return result;
}

} // namespace lacewingsail::internal
