#include "RequestState.h"

#include "BackendAttempt.h"

#include <lacewingsail/Wire.h>

#include <algorithm>
#include <charconv>

namespace lacewingsail::internal {

namespace {

    // Hosts know the load of the servers with a delay of this order: a caller that retries sooner meets the same state.
    constexpr std::chrono::milliseconds minRetryDelay { 250 };
    // Added at random to Retry-After, so that callers that were refused together do not retry together.
    constexpr std::chrono::milliseconds retryJitter { 500 };
    // After a server's refusal: several round trips to the caller.
    constexpr std::chrono::milliseconds refusedRetryDelay { 50 };
    constexpr std::chrono::milliseconds noConfigurationRetryDelay { 500 };
    // A configuration last confirmed longer ago than this cannot prove that a route or a key does not exist.
    constexpr std::chrono::seconds maxConfigurationAge { 3 };
    // Includes servers that could not be reached or refused the request.
    constexpr int maxServerTries = 5;
    // Gray-failure probability (more likely than not) from which a host without a coordinator avoids a server.
    constexpr double suspicionThreshold = 0.5;
    // Zones whose coordinators are asked to place one attempt: the one chosen first, usually the host's own, and two
    // more.
    constexpr int maxZonesAsked = 3;
    // Expected loss above which a placement is compared with those of other zones: the server may be failing, or its
    // queue delays the response to about the latency objective.
    constexpr double acceptableLoss = 0.3;
    // Share of the time left until the deadline after which an attempt of a repeatable request counts as stalled.
    constexpr double stallTimeShare = 0.55;
    // An attempt does not count as stalled before this many times the service's average response time.
    constexpr int stallLatencyFactor = 3;
    constexpr std::chrono::milliseconds minStallTimeout { 400 };
    // Time that the response needs to reach the caller: several network delays, and the work of a slow host.
    constexpr std::chrono::milliseconds responseMargin { 40 };
    // Requests per slot, queued ones included, up to which a server gets more: with the processing times of the
    // deployment a queue of this length is processed within the latency objective.
    constexpr double maxLoadPerSlotUrgent = 1.8;
    constexpr double maxLoadPerSlotOther = 1.5;
    constexpr Priority urgentPriority { 1 };
    // A cold server bears about as many requests as this share of its slots would run.
    constexpr double coldSlotShare = 0.3;

    std::chrono::milliseconds jitteredDelay(RequestServices& services, std::chrono::milliseconds minDelay, std::chrono::milliseconds jitter = retryJitter)
    {
        std::uniform_int_distribution<std::int64_t> spread(0, jitter.count());
        return minDelay + std::chrono::milliseconds(spread(services.random));
    }

    // For a time that follows from the requests that wait: the callers that were refused spread over as much again.
    std::chrono::milliseconds spreadDelay(RequestServices& services, std::chrono::milliseconds minDelay)
    {
        std::uniform_int_distribution<std::int64_t> spread(0, minDelay.count());
        return minDelay + std::chrono::milliseconds(spread(services.random));
    }

    RequestResult failRequest(RequestServices& services, const RequestState& request, ResultCode code, std::chrono::milliseconds retryAfter = {})
    {
        const auto elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(services.clock.now() - request.arrivedAt).count();
        Event event("request-ended");
        event.with("request", request.id).with("code", code).with("elapsed_ms", elapsedMs).with("attempts", static_cast<long long>(request.attemptedServers.size()));
        event.with("configuration", static_cast<long long>(number(services.active.version())));
        if (request.route)
            event.with("route", request.route->id).with("service", request.service);
        if (request.account)
            event.with("account", request.account->id);
        log(event);
        return { code, makeErrorResponse(services.headerNames, code, request.id, retryAfter) };
    }

    // Reports that a route or key was not found. If the configuration may be outdated, the item may exist in a newer
    // one, so the request fails with NoConfiguration instead.
    RequestResult failNotFound(RequestServices& services, const RequestState& request, ResultCode code)
    {
        if (services.clock.now() - services.follower.configurationAsOf() >= maxConfigurationAge)
            return failRequest(services, request, ResultCode::NoConfiguration, jitteredDelay(services, noConfigurationRetryDelay));
        return failRequest(services, request, code);
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
        const PublishedConfiguration& published = request.configuration->published;
        // A key that is presented where none is required may be a withdrawn one.
        if (secret.empty() && !published.requiresKeys)
            return ResultCode::Ok;
        static const WithdrawnKeys none;
        const Identification found = identify(request.configuration->keys, none, secret.empty() ? std::string() : sha256(secret));
        if (found.code == ResultCode::Ok)
            request.account = &published.configuration.accounts[static_cast<std::size_t>(found.account)];
        return request.route->access == Access::Open ? ResultCode::Ok : found.code;
    }

    void setDeadline(const RequestServices& services, RequestState& request)
    {
        request.deadline = request.arrivedAt + request.route->deadline - responseMargin;
        const auto field = request.message[services.headerNames.deadline];
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
        // A larger value may exceed the range of the clock.
        const bool isShorter = milliseconds < request.route->deadline.count();
        if (!field.empty() && error == std::errc {} && milliseconds >= 0 && isShorter)
            request.deadline = std::min(request.deadline, request.arrivedAt + std::chrono::milliseconds(milliseconds) - responseMargin);
    }

    net::awaitable<TokenGrant> acquireToken(RequestServices& services, const ClientAccount& account)
    {
        const auto initiate = [&services, &account](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            services.tokens.acquire(account, [&services, shared](TokenGrant result) {
                net::post(services.context, [shared, result]() mutable { std::move (*shared)(result); });
            });
        };
        co_return co_await net::async_initiate<const net::use_awaitable_t<>, void(TokenGrant)>(initiate, net::use_awaitable);
    }

    PlacementCandidate makeCandidate(const RequestServices& services, const RequestState& request, BackendState& state, std::chrono::milliseconds averageTime)
    {
        const MonotonicTime now = services.clock.now();
        services.backends.decayLocalStats(state);
        const ServerStats stats = state.totalStats();
        PlacementCandidate candidate;
        candidate.slots = state.registration.slots;
        candidate.load = stats.inFlight;
        candidate.sampleCount = stats.answered + stats.failed;
        candidate.failureRate = candidate.sampleCount > 0 ? stats.failed / candidate.sampleCount : 0;
        if (stats.answered >= 1 && averageTime.count() > 0)
            candidate.latencyRatio = stats.totalAnswerMs / stats.answered / static_cast<double>(averageTime.count());
        candidate.sameZone = state.registration.zone == services.settings.zone;
        candidate.warmingUp = now < state.warmupEndsAt;
        candidate.suspected = grayFailureProbability(state.failureEstimate, now) >= suspicionThreshold;
        candidate.unreachable = now < state.avoidUntil;
        candidate.refusing = now < state.refusesUntil;
        candidate.overloaded = now < state.overloadedUntil;
        candidate.alreadyTried = std::ranges::find(request.excludedServers, state.registration.id) != request.excludedServers.end();
        return candidate;
    }

    Priority priorityOf(const RequestState& request)
    {
        return request.account && request.account->priority ? *request.account->priority : request.route->priority;
    }

    double maxLoadPerSlotFor(const RequestState& request)
    {
        return priorityOf(request) <= urgentPriority ? maxLoadPerSlotUrgent : maxLoadPerSlotOther;
    }

    PlacementConstraints placementConstraints(const RequestServices& services, const RequestState& request)
    {
        return { maxLoadPerSlotFor(request), services.settings.bounds.floorShare, request.route->repeatable };
    }

    BackendStatePtr chooseLocally(RequestServices& services, const RequestState& request)
    {
        const auto& states = services.backends.serversForService(request.service);
        const auto averageTime = services.backends.averageResponseTime(request.service);
        std::vector<PlacementCandidate> candidates;
        candidates.reserve(states.size());
        const ColdServerPart coldPart = services.coldServers.uncoordinatedPart(request.service);
        for (const BackendStatePtr& state : states) {
            PlacementCandidate candidate = makeCandidate(services, request, *state, averageTime);
            candidate.coldRateBinds = candidate.warmingUp && !services.coldServers.mayPlace(state->registration.id, state->recentlyPlaced, coldPart);
            candidates.push_back(candidate);
        }
        std::uniform_real_distribution<double> uniform(0, 1);
        PlacementConstraints constraints = placementConstraints(services, request);
        auto position = chooseWeighted(candidates, constraints, uniform(services.random));
        if (!position) {
            constraints.allowSuspected = true;
            position = chooseWeighted(candidates, constraints, uniform(services.random));
        }
        if (!position) {
            // As a last resort, also considers servers that this host failed to reach a moment ago.
            for (PlacementCandidate& candidate : candidates)
                candidate.unreachable = false;
            position = chooseWeighted(candidates, constraints, uniform(services.random));
        }
        if (!position)
            return nullptr;
        countPlacement(states[*position]->recentlyPlaced, services.clock.now());
        return states[*position];
    }

    /// \brief The server chosen for one attempt, or the reason why there is none.
    struct ServerChoice {
        BackendStatePtr server;
        /// Empty if this host chose the server itself.
        std::optional<PlacementReservation> reservation;
        /// Share of the request's benefit that is expected to be lost on the server.
        double expectedLoss = 0;
        /// When capacity is expected, if no server had any.
        std::chrono::milliseconds retryAfter { 0 };
        /// The request needs a retry, and the retry budget of the service is exhausted.
        bool retryBudgetExhausted = false;
        /// The request has time to wait for a slot and should ask again after \ref waitTime.
        bool shouldWait = false;
        /// A coordinator has chosen a server that this host does not know, or knows to have left.
        bool offeredUnknownServer = false;
        /// Share of requests that the service's servers refuse alike although they have free slots.
        double refusedShare = 0;
        std::chrono::milliseconds waitTime { 0 };
    };

    PlacementDemand makePlacementDemand(const RequestServices& services, const RequestState& request)
    {
        const MonotonicTime now = services.clock.now();
        PlacementDemand demand;
        demand.service = request.service;
        demand.route = request.route->id;
        demand.priority = priorityOf(request);
        if (request.account)
            demand.account = request.account->id;
        demand.excludedServers = request.excludedServers;
        demand.latencyObjective = request.route->targetLatency;
        demand.timeToDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
        demand.maxLoadPerSlot = maxLoadPerSlotFor(request);
        demand.isRetry = !request.attemptedServers.empty();
        for (const BackendStatePtr& state : services.backends.serversForService(request.service)) {
            if (now < state->avoidUntil || now < state->refusesUntil)
                demand.excludedServers.push_back(state->registration.id);
        }
        const auto& leaving = services.backends.leavingServers(request.service);
        demand.excludedServers.insert(demand.excludedServers.end(), leaving.begin(), leaving.end());
        demand.canRetry = request.route->repeatable && request.possibleExecutions + 1 < request.route->mostAttempts;
        demand.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrivedAt);
        return demand;
    }

    // A caller that leaves meanwhile gives up the request's place in the queue.
    net::awaitable<std::optional<PlacementResponse>> askCoordinator(RequestServices& services, std::shared_ptr<RequestState> request, PlacementCell cell, PlacementDemand demand)
    {
        const auto initiate = [&services, &request, &cell, &demand](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            const auto ticket = services.placement.place(cell, demand, [&services, shared](std::optional<PlacementResponse> reply) {
                net::post(services.context, [shared, reply = std::move(reply)]() mutable { std::move (*shared)(std::move(reply)); });
            });
            // An attempt that stalls goes on while a replacement is looked for.
            if (ticket && !request->cancelAttempt)
                request->cancelPlacement = [&services, ticket = *ticket] { services.placement.cancel(ticket); };
        };
        co_return co_await net::async_initiate<const net::use_awaitable_t<>, void(std::optional<PlacementResponse>)>(initiate, net::use_awaitable);
    }

    void cancelReservation(RequestServices& services, const ServerChoice& choice)
    {
        if (choice.reservation)
            services.placement.reportOutcome(*choice.reservation, {});
    }

    // Keeps the placement with the lower expected loss and cancels the other one.
    void keepBetterOffer(RequestServices& services, ServerChoice& choice, const PlacementResponse& reply)
    {
        choice.retryBudgetExhausted = choice.retryBudgetExhausted || reply.retryBudgetExhausted;
        choice.shouldWait = choice.shouldWait || reply.shouldWait;
        choice.refusedShare = std::max(choice.refusedShare, reply.refusedShare);
        if (reply.shouldWait)
            choice.waitTime = std::max(choice.waitTime, reply.retryAfter);
        else if (reply.retryAfter.count() > 0)
            choice.retryAfter = choice.retryAfter.count() > 0 ? std::min(choice.retryAfter, reply.retryAfter) : reply.retryAfter;
        if (!reply.reservation)
            return;
        choice.offeredUnknownServer = choice.offeredUnknownServer || !services.backends.find(reply.reservation->server);
        ServerChoice offer { services.backends.find(reply.reservation->server), reply.reservation, reply.expectedLoss, choice.retryAfter, false, false, choice.offeredUnknownServer, choice.refusedShare, {} };
        if (!offer.server || (choice.server && choice.expectedLoss <= offer.expectedLoss))
            return cancelReservation(services, offer);
        cancelReservation(services, choice);
        choice = std::move(offer);
    }

    // Only coordinators grant retries, as they hold the retry budget of the service.
    ServerChoice chooseWithoutCoordinator(RequestServices& services, const RequestState& request)
    {
        ServerChoice choice;
        choice.retryBudgetExhausted = !request.attemptedServers.empty();
        if (!choice.retryBudgetExhausted)
            choice.server = chooseLocally(services, request);
        return choice;
    }

    // Asks a coordinator in the preferred zone first, then those of the least loaded other zones, until one offers a
    // server at an acceptable loss. If no coordinator answers, or only with servers unknown here, this host chooses from its own statistics.
    net::awaitable<ServerChoice> chooseWithCoordinator(RequestServices& services, std::shared_ptr<RequestState> request)
    {
        std::vector<ZoneCapacity> capacities = services.backends.zoneCapacities(request->service, services.coldServers.bound(request->service) ? coldSlotShare : 1);
        std::uniform_real_distribution<double> uniform(0, 1);
        const double random = uniform(services.random);
        auto zone = hasServers(capacities, services.settings.zone) ? chooseZone(capacities, services.settings.zone, random, request->route->targetLatency) : chooseZoneByFreeCapacity(capacities, random);
        ServerChoice choice;
        bool answered = false;
        for (int asked = 0; zone && asked < maxZonesAsked; ++asked) {
            const auto reply = co_await askCoordinator(services, request, services.backends.chooseCell(request->service, capacities[*zone], services.random()), makePlacementDemand(services, *request));
            request->cancelPlacement = nullptr;
            answered = answered || reply;
            if (reply)
                keepBetterOffer(services, choice, *reply);
            if (request->cancelled || (choice.server && choice.expectedLoss <= acceptableLoss))
                break;
            capacities.erase(capacities.begin() + static_cast<std::ptrdiff_t>(*zone));
            zone = leastLoadedZone(capacities, capacities.size());
        }
        // The capacity is there, but coordinator and host know different servers until the next exchange.
        const bool usable = answered && (choice.server || !choice.offeredUnknownServer);
        co_return usable ? choice : chooseWithoutCoordinator(services, *request);
    }

    std::chrono::milliseconds timeToAcceptance(const RequestServices& services, const ServiceId& service)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(services.backends.timeToAcceptance(service));
    }

    bool isFinal(const RequestState& request, const AttemptReport& report)
    {
        if (report.status == AttemptStatus::Answered)
            return !request.route->repeatable || report.response.result_int() < 500;
        return report.status == AttemptStatus::Unknown && !request.route->repeatable;
    }

    bool mayRetry(const RequestServices& services, const RequestState& request)
    {
        if (request.cancelled || services.clock.now() >= request.deadline)
            return false;
        return request.possibleExecutions < request.route->mostAttempts;
    }

    void logNotRepeated(const RequestState& request, const char* reason)
    {
        log(Event("attempt-not-repeated").with("request", request.id).with("attempts", static_cast<long long>(request.attemptedServers.size())).with("max_attempts", request.route->mostAttempts).with("reason", reason));
    }

    void logRepeated(const RequestState& request, const ServerChoice& choice)
    {
        Event event("attempt-repeated");
        event.with("request", request.id).with("attempts", static_cast<long long>(request.attemptedServers.size())).with("server", choice.server->registration.id);
        if (choice.reservation)
            event.with("coordinator", choice.reservation->coordinator.id).with("expected_loss_percent", static_cast<long long>(choice.expectedLoss * 100));
        log(event);
    }

    // A stalled attempt is abandoned only once another server has been reserved for the request, which is kept in
    // \p replacement: a missing response alone is no reason to end a request before its deadline. During a planned stop
    // stalled attempts are not abandoned.
    StallPolicy stallPolicyFor(RequestServices& services, const std::shared_ptr<RequestState>& request, const std::shared_ptr<ServerChoice>& replacement)
    {
        const MonotonicTime now = services.clock.now();
        const auto timeShare = std::chrono::duration_cast<Duration>((request->deadline - now) * stallTimeShare);
        const Duration typical = services.backends.averageResponseTime(request->service) * stallLatencyFactor;
        StallPolicy result { now + std::max({ timeShare, typical, Duration(minStallTimeout) }), nullptr };
        if (!request->route->repeatable || result.stallDeadline >= request->deadline)
            return result;
        result.onStall = [&services, request, replacement](std::function<bool()> abandon) {
            if (services.plannedStop || !mayRetry(services, *request))
                return;
            net::co_spawn(
                services.context, [&services, request]() -> net::awaitable<ServerChoice> { co_return co_await chooseWithCoordinator(services, request); }, [&services, replacement, abandon = std::move(abandon)](const std::exception_ptr& failure, ServerChoice choice) {
                    if (failure || !choice.server)
                        return;
                    if (abandon())
                        *replacement = std::move(choice);
                    else
                        cancelReservation(services, choice); });
        };
        return result;
    }

    // A request that a server may have run must not be reported as not run: if no server sent a valid response, the
    // first attempt that may have run decides the result.
    RequestResult finalResult(RequestServices& services, const RequestState& request, std::optional<AttemptReport> best, ResultCode lastCode, std::chrono::milliseconds retryAfter, bool refusedAlike)
    {
        if (best && best->status == AttemptStatus::Answered)
            return { ResultCode::Ok, std::move(best->response) };
        if (best)
            return failRequest(services, request, best->code);
        if (lastCode == ResultCode::ConnectFailed)
            lastCode = ResultCode::NoBackendServer;
        // A server that had capacity but refused the request may accept it a moment later.
        const bool refused = lastCode == ResultCode::Overloaded && !request.attemptedServers.empty();
        if (refused && (refusedAlike || refusesAlike(services.backends.refusals(request.service), services.clock.now()))) {
            const RefusedRetryDelay retry = retryDelayAfterAlikeRefusal(request.route->targetLatency);
            return failRequest(services, request, lastCode, jitteredDelay(services, retry.delay, retry.jitter));
        }
        if (refused)
            return failRequest(services, request, lastCode, jitteredDelay(services, refusedRetryDelay));
        return failRequest(services, request, lastCode, retryAfter.count() > 0 ? spreadDelay(services, retryAfter) : jitteredDelay(services, minRetryDelay));
    }

    net::awaitable<void> sleepFor(RequestServices& services, Duration time)
    {
        net::steady_timer timer(services.context, time);
        co_await timer.async_wait(net::use_awaitable);
    }

    net::awaitable<RequestResult> dispatch(RequestServices& services, std::shared_ptr<RequestState> request)
    {
        std::optional<AttemptReport> best;
        ResultCode lastCode = services.backends.serversForService(request->service).empty() ? ResultCode::NoBackendServer : ResultCode::Overloaded;
        std::chrono::milliseconds retryAfter { 0 };
        bool refusedAlike = false;
        const auto replacement = std::make_shared<ServerChoice>();
        for (int tries = 0; tries < maxServerTries; ++tries) {
            ServerChoice choice = std::exchange(*replacement, {});
            if (!choice.server)
                choice = co_await chooseWithCoordinator(services, request);
            retryAfter = choice.retryAfter;
            refusedAlike = choice.refusedShare > 0;
            if (!choice.server && choice.shouldWait && !request->cancelled) {
                --tries;
                co_await sleepFor(services, choice.waitTime);
                continue;
            }
            if (!choice.server) {
                retryAfter = std::max(retryAfter, timeToAcceptance(services, request->service));
                logNotRepeated(*request, choice.retryBudgetExhausted ? "retry-allowance-used" : "no-room");
                break;
            }
            if (!request->attemptedServers.empty())
                logRepeated(*request, choice);
            request->excludedServers.push_back(choice.server->registration.id);
            AttemptReport report = co_await attempt(services, request, choice.server, stallPolicyFor(services, request, replacement));
            if (choice.reservation)
                services.placement.reportOutcome(*choice.reservation, report.outcome);
            lastCode = report.code;
            const bool final = isFinal(*request, report);
            const bool exhausted = report.status == AttemptStatus::HostExhausted;
            // Any valid response is preferred to none; otherwise the first attempt that may have run is kept.
            if (report.status == AttemptStatus::Answered || (report.status == AttemptStatus::Unknown && !best))
                best = std::move(report);
            if (final)
                break;
            // No other server can be reached either.
            if (exhausted) {
                logNotRepeated(*request, "host-exhausted");
                break;
            }
            if (!replacement->server && !mayRetry(services, *request)) {
                logNotRepeated(*request, "attempts-or-time-used");
                break;
            }
        }
        cancelReservation(services, *replacement);
        co_return finalResult(services, *request, std::move(best), lastCode, retryAfter, refusedAlike);
    }

} // namespace

ResponseMessage makeErrorResponse(const HeaderNames& names, ResultCode code, const std::string& requestId, std::chrono::milliseconds retryAfter)
{
    const ResultCodeEntry& entry = entryOf(code);
    ResponseMessage response(static_cast<http::status>(entry.httpStatus), 11);
    if (!requestId.empty())
        response.set(names.requestId, requestId);
    if (retryAfter.count() > 0)
        response.set(http::field::retry_after, std::to_string(static_cast<double>(retryAfter.count()) / 1000));
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(entry.name) + '\n';
    return response;
}

RequestResult endRequest(RequestServices& services, RequestState& request)
{
    request.cancelled = true;
    if (request.cancelPlacement)
        request.cancelPlacement();
    if (request.cancelAttempt)
        request.cancelAttempt();
    if (request.possibleExecutions > 0)
        return failRequest(services, request, ResultCode::UpstreamTimeout);
    return failRequest(services, request, ResultCode::ShuttingDown, jitteredDelay(services, refusedRetryDelay));
}

std::optional<RequestResult> refuseByHeader(RequestServices& services, RequestState& request)
{
    const auto& current = services.active.current();
    if (!current)
        return failRequest(services, request, ResultCode::NoConfiguration, jitteredDelay(services, noConfigurationRetryDelay));
    // The service stays the one that was chosen: choosing again would shift the shares of a split route.
    if (request.configuration != current) {
        request.configuration = current;
        request.account = nullptr;
        const auto host = request.message[http::field::host];
        const auto target = request.message.target();
        request.route = findRoute(current->routes, { host.data(), host.size() }, { target.data(), target.size() });
        if (!request.route)
            return failNotFound(services, request, ResultCode::NoRoute);
        if (const ResultCode code = findAccount(services, request); code != ResultCode::Ok)
            return failNotFound(services, request, code);
        request.service = chooseService(*request.route, services.random());
    }
    setDeadline(services, request);
    if (services.plannedStop && !acceptsRequest(*services.plannedStop, services.clock.now(), request.deadline))
        return failRequest(services, request, ResultCode::ShuttingDown, jitteredDelay(services, refusedRetryDelay));
    if (services.backends.serversForService(request.service).empty())
        return failRequest(services, request, ResultCode::NoBackendServer, jitteredDelay(services, minRetryDelay));
    if (const auto delay = timeToAcceptance(services, request.service); delay.count() > 0)
        return failRequest(services, request, ResultCode::Overloaded, jitteredDelay(services, delay));
    return std::nullopt;
}

net::awaitable<RequestResult> serveRequest(RequestServices& services, std::shared_ptr<RequestState> request)
{
    if (auto refusal = refuseByHeader(services, *request))
        co_return std::move(*refusal);
    if (request->account && request->account->rate.value > 0) {
        const TokenGrant grant = co_await acquireToken(services, *request->account);
        if (grant.granted == 0)
            co_return failRequest(services, *request, ResultCode::RateExceeded, jitteredDelay(services, std::max(grant.retryAfter, minRetryDelay)));
    }
    co_return co_await dispatch(services, request);
}

} // namespace lacewingsail::internal
