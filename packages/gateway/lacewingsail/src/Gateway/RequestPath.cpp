#include "RequestState.h"

#include "BackendAttempt.h"

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    // A caller that comes back sooner finds the same state: the hosts' sight of the servers is this old.
    constexpr std::chrono::milliseconds shortestReturn { 250 };
    // Returns are spread over this much more, so that callers who were refused together do not come back together.
    constexpr std::chrono::milliseconds returnSpread { 500 };
    // After a server's refusal: as long as a refused caller's way back and forth takes several times.
    constexpr std::chrono::milliseconds refusedReturn { 50 };
    constexpr std::chrono::milliseconds returnWithoutConfiguration { 500 };
    // Knowledge of the configuration that is older than this cannot prove that a route or a key does not exist.
    constexpr std::chrono::seconds provenAbsence { 3 };
    // Servers that one request is offered to at most, those included that are not reached or refuse it.
    constexpr int mostConnections = 5;
    // A server is suspect to a host that has only its own sight once a spell of failures is more likely than not.
    constexpr double suspectChance = 0.5;
    // Hosts that are asked to place an attempt: the one of the near servers and two others.
    constexpr int mostKeepersAsked = 3;
    // An offer that is expected to lose more than this of the benefit is compared with those of other zones: a server that
    // may be failing, or one whose queue makes the answer about as late as its objective.
    constexpr double goodOffer = 0.3;
    // Part of the time left after which an attempt of a request that may be repeated is given up for another server.
    constexpr double patience = 0.55;
    // A stall is not assumed before this many times the usual time to answer.
    constexpr int usualAnswers = 3;
    constexpr std::chrono::milliseconds leastPatience { 400 };
    // The final answer needs this long to its caller: several times the way to the callers, and a slow host's own work.
    constexpr std::chrono::milliseconds answerMargin { 40 };
    // Requests for each slot, queued ones included, up to which a server gets more: with the users' work times a queue of
    // this length is worked off within the latency objective.
    constexpr double mostFillUrgent = 1.8;
    constexpr double mostFillOther = 1.5;
    constexpr Priority urgent { 1 };

    std::chrono::milliseconds sometime(RequestServices& services, std::chrono::milliseconds least)
    {
        std::uniform_int_distribution<std::int64_t> spread(0, returnSpread.count());
        return least + std::chrono::milliseconds(spread(services.random));
    }

    RequestResult refuse(RequestServices& services, const RequestState& request, ResultCode code, std::chrono::milliseconds retryAfter = {})
    {
        const auto heldMs = std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - request.arrivedAt).count();
        Event event("request-ended");
        event.with("request", request.id).with("code", code).with("elapsed_ms", heldMs).with("attempts", static_cast<long long>(request.attemptedServers.size()));
        event.with("configuration", static_cast<long long>(number(services.active.version())));
        if (request.route)
            event.with("route", request.route->id).with("service", request.service);
        if (request.account)
            event.with("account", request.account->id);
        log(event);
        return { code, makeErrorResponse(services.headerNames, code, request.id, retryAfter) };
    }

    // A host that has not heard of the configuration for a while cannot know that something is missing from it.
    RequestResult refuseAbsent(RequestServices& services, const RequestState& request, ResultCode code)
    {
        if (services.clock.now() - services.follower.configurationAsOf() >= provenAbsence)
            return refuse(services, request, ResultCode::NoConfiguration, sometime(services, returnWithoutConfiguration));
        return refuse(services, request, code);
    }

    std::string_view presentedSecret(const HeaderNames& names, const RequestMessage& message)
    {
        const auto field = message[http::field::authorization];
        std::string_view value(field.data(), field.size());
        if (value.size() <= names.keyScheme.size() || !beast::iequals(value.substr(0, names.keyScheme.size()), names.keyScheme) || value[names.keyScheme.size()] != ' ')
            return {};
        value.remove_prefix(names.keyScheme.size() + 1);
        return value;
    }

    ResultCode findAccount(const RequestServices& services, RequestState& request)
    {
        const std::string_view secret = presentedSecret(services.headerNames, request.message);
        const auto& accounts = request.configuration->published.configuration.accounts;
        if (accounts.empty())
            return ResultCode::Ok;
        static const WithdrawnKeys none;
        const Identification found = identify(request.configuration->keys, none, secret.empty() ? std::string() : sha256(secret));
        if (found.code == ResultCode::Ok)
            request.account = &accounts[static_cast<std::size_t>(found.account)];
        return request.route->access == Access::Open ? ResultCode::Ok : found.code;
    }

    void setDeadline(const RequestServices& services, RequestState& request)
    {
        request.deadline = request.arrivedAt + request.route->deadline - answerMargin;
        const auto field = request.message[services.headerNames.deadline];
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
        if (!field.empty() && error == std::errc {} && milliseconds >= 0)
            request.deadline = std::min(request.deadline, request.arrivedAt + std::chrono::milliseconds(milliseconds) - answerMargin);
    }

    net::awaitable<TokenGrant> takeToken(RequestServices& services, const ClientAccount& account)
    {
        const auto initiate = [&services, &account](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            services.tokens.acquire(account, [&services, shared](TokenGrant result) {
                net::post(services.context, [shared, result]() mutable { std::move (*shared)(result); });
            });
        };
        co_return co_await net::async_initiate<const net::use_awaitable_t<>, void(TokenGrant)>(initiate, net::use_awaitable);
    }

    PlacementCandidate sightOf(const RequestServices& services, const RequestState& request, BackendState& state, std::chrono::milliseconds usual)
    {
        const MonotonicTime now = services.clock.now();
        services.backends.decayLocalStats(state);
        const ServerStats use = state.totalStats();
        PlacementCandidate sight;
        sight.slots = state.registration.slots;
        sight.load = use.inFlight;
        sight.sampleCount = use.answered + use.failed;
        sight.failureRate = sight.sampleCount > 0 ? use.failed / sight.sampleCount : 0;
        if (use.answered >= 1 && usual.count() > 0)
            sight.latencyRatio = use.totalAnswerMs / use.answered / static_cast<double>(usual.count());
        sight.sameZone = state.registration.zone == services.settings.zone;
        sight.warmingUp = now < state.warmupEndsAt;
        sight.suspected = grayFailureProbability(state.failureEstimate, now) >= suspectChance;
        sight.unreachable = now < state.avoidUntil;
        sight.overloaded = now < state.overloadedUntil;
        sight.alreadyTried = std::ranges::find(request.excludedServers, state.registration.id) != request.excludedServers.end();
        return sight;
    }

    double mostFillOf(const RequestState& request)
    {
        const Priority priority = request.account && request.account->priority ? *request.account->priority : request.route->priority;
        return priority <= urgent ? mostFillUrgent : mostFillOther;
    }

    PlacementConstraints termsOf(const RequestServices& services, const RequestState& request)
    {
        return { mostFillOf(request), services.settings.bounds.floorShare, request.route->repeatable };
    }

    BackendStatePtr choose(RequestServices& services, const RequestState& request)
    {
        const auto& states = services.backends.serversForService(request.service);
        const auto usual = services.backends.averageResponseTime(request.service);
        std::vector<PlacementCandidate> sights;
        sights.reserve(states.size());
        for (const BackendStatePtr& state : states)
            sights.push_back(sightOf(services, request, *state, usual));
        std::uniform_real_distribution<double> uniform(0, 1);
        PlacementConstraints terms = termsOf(services, request);
        auto position = chooseWeighted(sights, terms, uniform(services.random));
        if (!position) {
            terms.allowSuspected = true;
            position = chooseWeighted(sights, terms, uniform(services.random));
        }
        if (!position) {
            // Better an uncertain way than none.
            for (PlacementCandidate& sight : sights)
                sight.unreachable = false;
            position = chooseWeighted(sights, terms, uniform(services.random));
        }
        return position ? states[*position] : nullptr;
    }

    /// \brief A server for one attempt, and who chose it.
    struct Chosen {
        BackendStatePtr server;
        /// Nothing if this host chose it by its own sight.
        std::optional<PlacementReservation> reservation;
        /// Part of the request's benefit that is expected to be lost there.
        double loss = 0;
        /// When there may be room, if no server had any.
        std::chrono::milliseconds retryAfter { 0 };
        /// The request needs a further attempt, and the service has none left.
        bool retryBudgetExhausted = false;
        /// The request has time: it is to ask again after \ref retryAfter.
        bool waits = false;
    };

    PlacementDemand demandOf(const RequestServices& services, const RequestState& request)
    {
        const MonotonicTime now = services.clock.now();
        PlacementDemand demand { request.service, request.excludedServers, request.route->targetLatency, std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now), {}, mostFillOf(request), false, !request.attemptedServers.empty() };
        for (const BackendStatePtr& state : services.backends.serversForService(request.service)) {
            if (now < state->avoidUntil)
                demand.excludedServers.push_back(state->registration.id);
        }
        demand.canRetry = request.route->repeatable && request.possibleExecutions + 1 < request.route->mostAttempts;
        demand.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrivedAt);
        return demand;
    }

    net::awaitable<std::optional<PlacementResponse>> askKeeper(RequestServices& services, PlacementCell cell, PlacementDemand demand)
    {
        const auto initiate = [&services, &cell, &demand](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            services.placement.place(cell, demand, [&services, shared](std::optional<PlacementResponse> reply) {
                net::post(services.context, [shared, reply = std::move(reply)]() mutable { std::move (*shared)(std::move(reply)); });
            });
        };
        co_return co_await net::async_initiate<const net::use_awaitable_t<>, void(std::optional<PlacementResponse>)>(initiate, net::use_awaitable);
    }

    PlacementCell cellIn(const ServiceId& service, const ZoneCapacity& room, std::uint64_t random)
    {
        const std::uint32_t count = cellCount(room.serverCount);
        return { service, room.zone, static_cast<std::uint32_t>(random % count), count };
    }

    void giveBack(RequestServices& services, const Chosen& chosen)
    {
        if (chosen.reservation)
            services.placement.reportOutcome(*chosen.reservation, {});
    }

    // Keeps the better one of two offers.
    void takeOffer(RequestServices& services, Chosen& chosen, const PlacementResponse& reply)
    {
        chosen.retryAfter = std::max(chosen.retryAfter, reply.retryAfter);
        chosen.retryBudgetExhausted = chosen.retryBudgetExhausted || reply.retryBudgetExhausted;
        chosen.waits = chosen.waits || reply.shouldWait;
        if (!reply.reservation)
            return;
        Chosen offer { services.backends.find(reply.reservation->server), reply.reservation, reply.expectedLoss, chosen.retryAfter, false, false };
        if (!offer.server || (chosen.server && chosen.loss <= offer.loss))
            return giveBack(services, offer);
        giveBack(services, chosen);
        chosen = std::move(offer);
    }

    // Further attempts are given by the hosts that place them only: they know what the whole service has left.
    Chosen chooseAlone(RequestServices& services, const RequestState& request)
    {
        Chosen chosen;
        chosen.retryBudgetExhausted = !request.attemptedServers.empty();
        if (!chosen.retryBudgetExhausted)
            chosen.server = choose(services, request);
        return chosen;
    }

    // The host that places the requests of the near servers is asked first, then those of zones with more room; if none
    // answers, this host's own sight has to do.
    net::awaitable<Chosen> chooseShared(RequestServices& services, std::shared_ptr<RequestState> request)
    {
        std::vector<ZoneCapacity> rooms = services.backends.zoneCapacities(request->service);
        std::uniform_real_distribution<double> uniform(0, 1);
        auto zone = chooseZone(rooms, services.settings.zone, uniform(services.random));
        Chosen chosen;
        bool heard = false;
        for (int asked = 0; zone && asked < mostKeepersAsked; ++asked) {
            const auto reply = co_await askKeeper(services, cellIn(request->service, rooms[*zone], services.random()), demandOf(services, *request));
            heard = heard || reply;
            if (reply)
                takeOffer(services, chosen, *reply);
            if (chosen.server && chosen.loss <= goodOffer)
                break;
            rooms.erase(rooms.begin() + static_cast<std::ptrdiff_t>(*zone));
            zone = leastLoadedZone(rooms, rooms.size());
        }
        co_return heard ? chosen : chooseAlone(services, *request);
    }

    bool isFinal(const RequestState& request, const AttemptReport& report)
    {
        if (report.status == AttemptStatus::Answered)
            return !request.route->repeatable || report.response.result_int() < 500;
        return report.status == AttemptStatus::Unknown && !request.route->repeatable;
    }

    bool mayTryAgain(const RequestServices& services, const RequestState& request)
    {
        if (request.callerDisconnected || services.clock.now() >= request.deadline)
            return false;
        return request.possibleExecutions < request.route->mostAttempts;
    }

    void logNotRepeated(const RequestState& request, const char* reason)
    {
        log(Event("attempt-not-repeated").with("request", request.id).with("attempts", static_cast<long long>(request.attemptedServers.size())).with("max_attempts", request.route->mostAttempts).with("reason", reason));
    }

    void logRepeated(const RequestState& request, const Chosen& chosen)
    {
        Event event("attempt-repeated");
        event.with("request", request.id).with("attempts", static_cast<long long>(request.attemptedServers.size())).with("server", chosen.server->registration.id);
        if (chosen.reservation)
            event.with("coordinator", chosen.reservation->coordinator.id).with("expected_loss_percent", static_cast<long long>(chosen.loss * 100));
        log(event);
    }

    // An answer that is under way is only given up if another server is to be asked in its place: silence alone is no
    // reason to end a request sooner, least of all on a planned stop. The server that takes over is kept in \p reserved.
    StallPolicy patienceFor(RequestServices& services, const std::shared_ptr<RequestState>& request, const std::shared_ptr<Chosen>& reserved)
    {
        const MonotonicTime now = services.clock.now();
        const auto share = std::chrono::duration_cast<Duration>((request->deadline - now) * patience);
        const Duration usual = services.backends.averageResponseTime(request->service) * usualAnswers;
        StallPolicy result { now + std::max({ share, usual, Duration(leastPatience) }), nullptr };
        if (!request->route->repeatable || result.stallDeadline >= request->deadline)
            return result;
        result.onStall = [&services, request, reserved](std::function<bool()> abandon) {
            if (services.draining || !mayTryAgain(services, *request))
                return;
            net::co_spawn(
                services.context, [&services, request]() -> net::awaitable<Chosen> { co_return co_await chooseShared(services, request); }, [&services, reserved, abandon = std::move(abandon)](const std::exception_ptr& failure, Chosen chosen) {
                    if (failure || !chosen.server)
                        return;
                    if (abandon())
                        *reserved = std::move(chosen);
                    else
                        giveBack(services, chosen); });
        };
        return result;
    }

    // The last attempt that may have run decides what can still be promised.
    RequestResult endOf(RequestServices& services, const RequestState& request, std::optional<AttemptReport> best, ResultCode last, std::chrono::milliseconds retryAfter)
    {
        if (best && best->status == AttemptStatus::Answered)
            return { ResultCode::Ok, std::move(best->response) };
        if (best)
            return refuse(services, request, best->code);
        if (last == ResultCode::ConnectFailed)
            last = ResultCode::NoBackendServer;
        // Servers that refuse what they have room for may accept it a moment later.
        const bool refused = last == ResultCode::Overloaded && !request.attemptedServers.empty();
        return refuse(services, request, last, refused ? sometime(services, refusedReturn) : sometime(services, std::max(retryAfter, shortestReturn)));
    }

    net::awaitable<void> rest(RequestServices& services, Duration time)
    {
        net::steady_timer timer(services.context, time);
        co_await timer.async_wait(net::use_awaitable);
    }

    net::awaitable<RequestResult> dispatch(RequestServices& services, std::shared_ptr<RequestState> request)
    {
        std::optional<AttemptReport> best;
        ResultCode last = services.backends.serversForService(request->service).empty() ? ResultCode::NoBackendServer : ResultCode::Overloaded;
        std::chrono::milliseconds retryAfter { 0 };
        const auto reserved = std::make_shared<Chosen>();
        for (int connections = 0; connections < mostConnections; ++connections) {
            Chosen chosen = std::exchange(*reserved, {});
            if (!chosen.server)
                chosen = co_await chooseShared(services, request);
            retryAfter = chosen.retryAfter;
            if (!chosen.server && chosen.waits && !request->callerDisconnected) {
                --connections;
                co_await rest(services, chosen.retryAfter);
                continue;
            }
            if (!chosen.server) {
                logNotRepeated(*request, chosen.retryBudgetExhausted ? "retry-allowance-used" : "no-room");
                break;
            }
            if (!request->attemptedServers.empty())
                logRepeated(*request, chosen);
            request->excludedServers.push_back(chosen.server->registration.id);
            AttemptReport report = co_await attempt(services, request, chosen.server, patienceFor(services, request, reserved));
            if (chosen.reservation)
                services.placement.reportOutcome(*chosen.reservation, report.outcome);
            last = report.code;
            const bool final = isFinal(*request, report);
            // An answer of the server's own is better than none; "may have run" is never forgotten.
            if (report.status == AttemptStatus::Answered || (report.status == AttemptStatus::Unknown && !best))
                best = std::move(report);
            if (final)
                break;
            if (!reserved->server && !mayTryAgain(services, *request)) {
                logNotRepeated(*request, "attempts-or-time-used");
                break;
            }
        }
        giveBack(services, *reserved);
        co_return endOf(services, *request, std::move(best), last, retryAfter);
    }

} // namespace

ResponseMessage makeErrorResponse(const HeaderNames& names, ResultCode code, const std::string& requestId, std::chrono::milliseconds retryAfter)
{
    const ResultCodeEntry& entry = entryOf(code);
    ResponseMessage answer(static_cast<http::status>(entry.httpStatus), 11);
    if (!requestId.empty())
        answer.set(names.requestId, requestId);
    if (retryAfter.count() > 0)
        answer.set(http::field::retry_after, std::to_string(static_cast<double>(retryAfter.count()) / 1000));
    answer.set(http::field::content_type, "text/plain");
    answer.body() = std::string(entry.name) + '\n';
    return answer;
}

net::awaitable<RequestResult> serveRequest(RequestServices& services, std::shared_ptr<RequestState> request)
{
    request->configuration = services.active.current();
    if (!request->configuration)
        co_return refuse(services, *request, ResultCode::NoConfiguration, sometime(services, returnWithoutConfiguration));
    const auto host = request->message[http::field::host];
    const auto target = request->message.target();
    request->route = findRoute(request->configuration->routes, { host.data(), host.size() }, { target.data(), target.size() });
    if (!request->route)
        co_return refuseAbsent(services, *request, ResultCode::NoRoute);
    if (const ResultCode code = findAccount(services, *request); code != ResultCode::Ok)
        co_return refuseAbsent(services, *request, code);
    setDeadline(services, *request);
    request->service = chooseService(*request->route, services.random());
    if (services.backends.serversForService(request->service).empty())
        co_return refuse(services, *request, ResultCode::NoBackendServer, sometime(services, shortestReturn));
    if (request->account && request->account->rate.value > 0) {
        const TokenGrant drawn = co_await takeToken(services, *request->account);
        if (drawn.granted == 0)
            co_return refuse(services, *request, ResultCode::RateExceeded, sometime(services, std::max(drawn.retryAfter, shortestReturn)));
    }
    co_return co_await dispatch(services, request);
}

} // namespace lacewingsail::internal
