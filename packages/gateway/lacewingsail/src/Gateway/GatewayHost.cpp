#include <lacewingsail/Gateway.h>

#include "AsioEventLoop.h"
#include "AsioHttpCalls.h"
#include "CallerConnection.h"
#include "EvacuationReport.h"

#include <lacewingsail/Observe.h>
#include <lacewingsail/Sockets.h>

#include <cerrno>
#include <cmath>
#include <csignal>
#include <pthread.h>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t maxMetricSeries = 256;
    // The requests of the balancer and of operators need no body.
    constexpr std::uint64_t maxProbeBodyBytes = 64 * 1024;
    constexpr std::chrono::milliseconds housekeepingInterval { 500 };
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    // The usual limit of a process.
    constexpr std::size_t assumedDescriptorLimit = 1024;
    // Between two lines on one lasting shortage.
    constexpr std::chrono::seconds shortageLogInterval { 5 };
    constexpr std::chrono::milliseconds listenRetryDelay { 100 };
    // A port may be taken by a predecessor that still drains, or by an outgoing connection of another process, which keeps it for a
    // minute after its end (TIME_WAIT).
    constexpr std::chrono::seconds listenPatience { 90 };
    constexpr std::chrono::milliseconds drainCheckInterval { 100 };
    // By then two exchanges with the seeds have taken place, if any of them is alive.
    constexpr std::chrono::milliseconds discoveryDelay { 1100 };
    constexpr std::chrono::milliseconds discoveryInterval { 1000 };
    // Time for the first exchange, whose reply tells the size of the fleet, and between two reads of it.
    constexpr std::chrono::milliseconds fleetSizeInterval { 250 };
    // Share by which the size of the fleet changes before its record in the store is renewed.
    constexpr double fleetSizeTolerance = 0.25;
    // After a change of the store's era all registered hosts append their record again, spread over this time: 430 hosts make
    // 86 writes a second.
    constexpr std::chrono::milliseconds registrationSpread { 5000 };

    /// \returns how many descriptors the process may have open.
    std::size_t descriptorLimit()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
            return limit.rlim_cur;
        log(Event("descriptor-limit-unknown").with("reason", std::error_code(errno, std::generic_category()).message()));
        return assumedDescriptorLimit;
    }

    /// \brief Connections of callers that were closed, and pauses in accepting, since this was last logged.
    struct CallerLimitLog {
        MonotonicTime nextAt {};
        long long closed = 0;
        long long pauses = 0;
    };

    /// \brief Connections that could not be accepted since this was last logged.
    struct AcceptFailureLog {
        MonotonicTime nextAt {};
        long long failures = 0;
    };

    /// \brief A port that cannot be listened on.
    struct ListenFailure {
        /// As in the settings.
        std::string_view port;
        Endpoint endpoint;
        std::error_code error;
    };

} // namespace internal

struct GatewayHost::Implementation {
    Implementation(GatewaySettings hostSettings, GatewayParts gatewayParts)
        : settings(std::move(hostSettings))
        , parts(std::move(gatewayParts))
    {
    }

    GatewaySettings settings;
    GatewayParts parts;
    SystemClock clock;
    internal::AsioEventLoop loop;
    LineLog lines { STDOUT_FILENO, clock };
    /// Runs the event loop.
    const std::thread::id thread = std::this_thread::get_id();
    Metrics metrics { internal::maxMetricSeries };
    std::atomic<bool> ready { false };
    std::mt19937_64 random { std::random_device {}() };
    ActiveConfiguration active { parts.decodeConfiguration, clock };
    ServerRegistry registry;
    internal::EvacuationReport evacuationReport { metrics };
    const DescriptorBudget descriptors = makeDescriptorBudget(internal::descriptorLimit());
    internal::BackendTable backends { clock, descriptors.backendConnections };
    internal::AsioHttpCalls storeCalls { loop.context(), settings.store };
    std::unique_ptr<RecordStore> store = parts.makeStore(storeCalls);
    StoreFollower follower { *store, active, registry, parts.decodeServer, clock, [this] { stateChanged(); } };
    FleetDirectory directory { LiveHost { settings.id, settings.zone, settings.peers, settings.processorShare }, clock.now() };
    StatsAggregator stats { settings.id, settings.zone };
    AccountRateLimiter tokens { directory, active, settings.bounds, clock, random };
    PlacementCoordinator placementCoordinator { registry, settings.bounds, loop, clock, random() };
    ColdServerLimiter coldServers { directory, active, settings.bounds, clock };
    PlacementClient placement { directory, placementCoordinator, loop, clock, random() };
    FleetExchange exchange { FleetExchangeParts { clock, directory, active, registry, follower, stats, settings.linkMegabitsPerSecond, settings.seeds, [this] { return backends.localStats(); }, [this] { stateChanged(); } } };
    internal::MessageBuffers requestBuffers { internal::MessageBuffers::maxRequestBytes };
    internal::MessageBuffers responseBuffers { internal::MessageBuffers::maxResponseBytes };
    internal::CallerConnections connections;
    internal::CallerLimitLog callerLimitLog;
    internal::AcceptFailureLog acceptFailureLog;
    internal::RequestServices services { settings, parts.headerNames, clock, loop.context(), active, follower, directory, tokens, placement, coldServers, backends, requestBuffers, responseBuffers, metrics, random, connections.plannedStop };
    net::ip::tcp::acceptor acceptor { loop.context() };
    net::signal_set signals { loop.context(), SIGTERM, SIGINT, SIGHUP };
    std::unique_ptr<GatewayCalls> calls;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> operatorServer;
    /// Whether the final responses of a planned stop have been determined.
    bool requestsEnded = false;
    /// Size of the fleet in this host's record in the store; zero if it has none.
    std::size_t registeredFleetSize = 0;
    /// Era of the store in which that record was appended.
    StoreEra registeredEra {};
    /// When the record is appended again, as the store came back from a copy that may lack it.
    std::optional<MonotonicTime> registrationRenewalAt;

    /// Whether all ports are listened on.
    bool started = false;
    /// The port that was logged last as one that cannot be listened on.
    std::string_view failedPort;
    std::error_code startError;

    std::optional<internal::ListenFailure> listen();
    std::error_code listenForProbes();
    std::error_code listenForOperators();
    std::error_code listenForHosts();
    std::error_code acceptFrom(int callerSocket);
    void start(MonotonicTime deadline);
    void serve();
    net::awaitable<void> accept();
    net::awaitable<void> makeRoomForCallers();
    void logCallerLimit();
    void logAcceptFailure(const std::string& reason);
    void stateChanged();
    void followStore();
    void runExchange();
    void runHousekeeping();
    void discoverHosts();
    void learnFleetSize();
    void registerHost(std::size_t fleetSize);
    void renewRegistration();
    void readHostRecords(bool recordAlive);
    static void unblockSignals();
    void awaitSignal();
    void reload();
    void stopAccepting();
    void stopBeforeStart();
    void drain();
    void checkDrained();
    void writeLog(std::string_view line);
    HttpResponse answerOperator(const HttpRequest&) const;
};

std::error_code GatewayHost::Implementation::listenForHosts()
{
    std::error_code error;
    if (calls)
        return error;
    GatewayCalls::Handlers handlers;
    handlers.exchange = [this](const protocol::ExchangeRequest& request, protocol::ExchangeReply& reply) { exchange.handleRequest(request, reply); };
    handlers.grantTokens = [this](const TokenDemand& demand) { return tokens.grant(demand); };
    handlers.place = [this](const PlacementCell& cell, const PlacementDemand& demand, DecisionCallback callback) { placementCoordinator.place(cell, demand, std::move(callback)); };
    handlers.recordOutcomes = [this](std::span<const PlacementOutcome> outcomes) { placementCoordinator.recordOutcomes(outcomes); };
    calls = std::make_unique<GatewayCalls>(loop, settings.peers, std::move(handlers), error);
    if (error) {
        calls.reset();
        return error;
    }
    exchange.connect(*calls);
    tokens.connect(*calls);
    coldServers.setMetrics(metrics);
    placementCoordinator.setColdServerLimiter(coldServers);
    tokens.setCoordinatorProbe([this](const LiveHost& coordinator) { exchange.probe(coordinator); });
    placement.connect(*calls);
    return {};
}

std::error_code GatewayHost::Implementation::listenForProbes()
{
    std::error_code error;
    if (readinessServer)
        return error;
    readinessServer = std::make_unique<HttpServer>(
        settings.readiness, 1, [this](const HttpRequest&) { return HttpResponse { ready ? 200 : 503, {}, {} }; }, error, internal::maxProbeBodyBytes);
    if (error)
        readinessServer.reset();
    return error;
}

std::error_code GatewayHost::Implementation::listenForOperators()
{
    std::error_code error;
    if (operatorServer)
        return error;
    operatorServer = std::make_unique<HttpServer>(
        settings.operators, 1, [this](const HttpRequest& request) { return answerOperator(request); }, error, internal::maxProbeBodyBytes);
    if (error)
        operatorServer.reset();
    return error;
}

// Callers and other hosts are served only once all ports are listened on.
std::optional<internal::ListenFailure> GatewayHost::Implementation::listen()
{
    std::error_code error;
    const int callerSocket = openListeningSocket(settings.callers, error);
    if (error)
        return internal::ListenFailure { "callers", settings.callers, error };
    std::optional<internal::ListenFailure> failure;
    if ((error = listenForProbes()))
        failure = { "readiness", settings.readiness, error };
    else if ((error = listenForOperators()))
        failure = { "operators", settings.operators, error };
    else if ((error = listenForHosts()))
        failure = { "peers", settings.peers, error };
    else if ((error = acceptFrom(callerSocket)))
        failure = { "callers", settings.callers, error };
    if (failure)
        ::close(callerSocket);
    return failure;
}

std::error_code GatewayHost::Implementation::acceptFrom(int callerSocket)
{
    boost::system::error_code error;
    acceptor.assign(net::ip::make_address(settings.callers.address).is_v6() ? net::ip::tcp::v6() : net::ip::tcp::v4(), callerSocket, error);
    return error;
}

void GatewayHost::Implementation::start(MonotonicTime deadline)
{
    if (const auto failure = listen()) {
        const bool last = clock.now() >= deadline;
        if (last || std::exchange(failedPort, failure->port) != failure->port)
            log(Event(last ? "host-not-started" : "listen-failed").with("port", failure->port).with("endpoint", text(failure->endpoint)).with("reason", failure->error.message()));
        if (last) {
            startError = failure->error;
            return loop.context().stop();
        }
        // What has been logged is to be seen meanwhile.
        lines.flush();
        loop.after(internal::listenRetryDelay, [this, deadline] { start(deadline); });
        return;
    }
    started = true;
    serve();
}

void GatewayHost::Implementation::serve()
{
    placementCoordinator.setMetrics(metrics);
    log(Event("host-started").with("host", settings.id).with("zone", settings.zone));
    net::co_spawn(loop.context(), accept(), net::detached);
    loop.after(internal::discoveryDelay, [this] { discoverHosts(); });
    loop.after(internal::fleetSizeInterval, [this] { learnFleetSize(); });
    followStore();
    runExchange();
    runHousekeeping();
}

// Listeners log on threads of their own.
void GatewayHost::Implementation::writeLog(std::string_view line)
{
    if (std::this_thread::get_id() == thread)
        lines.write(line);
    else
        loop.post([this, copy = std::string(line)] { lines.write(copy); });
}

HttpResponse GatewayHost::Implementation::answerOperator(const HttpRequest& request) const
{
    if (pathOf(request.target) == "/metrics")
        return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.prometheusText() };
    return { 404, {}, "unknown path\n" };
}

net::awaitable<void> GatewayHost::Implementation::accept()
{
    std::string failure;
    while (acceptor.is_open()) {
        // An exception must not end the loop, as the host would then take no callers until its restart.
        try {
            if (!failure.empty()) {
                logAcceptFailure(std::exchange(failure, {}));
                net::steady_timer pause(loop.context(), internal::acceptRetryDelay);
                co_await pause.async_wait(net::use_awaitable);
            }
            boost::system::error_code error;
            auto socket = co_await acceptor.async_accept(net::redirect_error(net::use_awaitable, error));
            if (error == net::error::operation_aborted)
                co_return;
            if (error) {
                failure = error.message();
                continue;
            }
            std::make_shared<internal::CallerConnection>(services, connections, std::move(socket))->start();
            co_await makeRoomForCallers();
        } catch (const std::exception& exception) {
            failure = exception.what();
        }
    }
}

void GatewayHost::Implementation::logAcceptFailure(const std::string& reason)
{
    ++acceptFailureLog.failures;
    const MonotonicTime now = clock.now();
    if (now < acceptFailureLog.nextAt)
        return;
    log(Event("accept-failed").with("reason", reason).with("failures", acceptFailureLog.failures));
    acceptFailureLog = { now + internal::shortageLogInterval, 0 };
}

// While no connection is idle, further callers wait in the queue of the kernel.
net::awaitable<void> GatewayHost::Implementation::makeRoomForCallers()
{
    while (connections.open.size() > descriptors.callerConnections && acceptor.is_open()) {
        const bool closed = internal::closeLongestIdle(connections);
        ++(closed ? callerLimitLog.closed : callerLimitLog.pauses);
        logCallerLimit();
        if (closed) {
            metrics.counter("caller_connections_closed_total", "reason", "limit").fetch_add(1, std::memory_order_relaxed);
            continue;
        }
        net::steady_timer pause(loop.context(), internal::acceptRetryDelay);
        co_await pause.async_wait(net::use_awaitable);
    }
}

void GatewayHost::Implementation::logCallerLimit()
{
    const MonotonicTime now = clock.now();
    if (now < callerLimitLog.nextAt)
        return;
    Event event("caller-connections-limited");
    event.with("connections", static_cast<long long>(connections.open.size())).with("limit", static_cast<long long>(descriptors.callerConnections));
    log(event.with("closed", callerLimitLog.closed).with("pauses", callerLimitLog.pauses));
    callerLimitLog = { now + internal::shortageLogInterval, 0, 0 };
}

// Closing a listening socket resets the connections that wait in its queue.
void GatewayHost::Implementation::stopAccepting()
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        net::ip::tcp::socket socket(loop.context());
        acceptor.accept(socket, error);
        if (!error)
            std::make_shared<internal::CallerConnection>(services, connections, std::move(socket))->start();
    }
    if (error != net::error::would_block)
        logAcceptFailure(error.message());
    acceptor.close(error);
}

void GatewayHost::Implementation::stateChanged()
{
    backends.update(registry);
    placementCoordinator.update();
    evacuationReport.update(registry);
    const bool serversKnown = follower.serversAsOf() != MonotonicTime {} || !registry.entries().empty();
    ready = started && active.current() && serversKnown && !connections.plannedStop;
}

void GatewayHost::Implementation::followStore()
{
    follower.tick(exchange.isPrimaryRelay() ? StoreReaderRole::Primary : StoreReaderRole::Standby);
    loop.after(StoreFollower::tickInterval, [this] { followStore(); });
}

void GatewayHost::Implementation::runExchange()
{
    exchange.tick();
    backends.updateRemoteStats(stats.remoteTotals(clock.now()));
    loop.after(FleetExchange::interval, [this] { runExchange(); });
}

void GatewayHost::Implementation::runHousekeeping()
{
    backends.closeExpiredConnections();
    lines.flush();
    if (!ready && !connections.plannedStop)
        stateChanged();
    loop.after(internal::housekeepingInterval, [this] { runHousekeeping(); });
}

// Hosts discover each other through the seeds. A host that knows no other live host registers itself in the store and
// reads the host records there; relays register there too, as all other hosts know them.
void GatewayHost::Implementation::discoverHosts()
{
    const bool alone = directory.liveHosts(clock.now()).size() <= 1;
    const bool relay = exchange.isRelay();
    if (alone)
        readHostRecords(alone);
    renewRegistration();
    const double size = static_cast<double>(directory.fleetSize(clock.now()));
    const bool resized = std::abs(size - static_cast<double>(registeredFleetSize)) > static_cast<double>(registeredFleetSize) * internal::fleetSizeTolerance;
    if ((registeredFleetSize == 0 && (alone || relay)) || (resized && exchange.isPrimaryRelay()))
        registerHost(static_cast<std::size_t>(size));
    loop.after(internal::discoveryInterval, [this] { discoverHosts(); });
}

// A host that starts alone is told the size of the fleet by the others; after a start of the whole fleet all read it.
void GatewayHost::Implementation::learnFleetSize()
{
    if (directory.knowsFleetSize())
        return;
    readHostRecords(false);
    loop.after(internal::fleetSizeInterval, [this] { learnFleetSize(); });
}

// Hosts that are no longer to register leave their record to the store.
void GatewayHost::Implementation::renewRegistration()
{
    if (registeredFleetSize == 0 || follower.era() <= registeredEra)
        return;
    const MonotonicTime now = clock.now();
    if (!registrationRenewalAt)
        registrationRenewalAt = now + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, internal::registrationSpread.count())(random));
    if (now < *registrationRenewalAt)
        return;
    registrationRenewalAt.reset();
    registeredFleetSize = 0;
}

void GatewayHost::Implementation::registerHost(std::size_t fleetSize)
{
    registeredFleetSize = fleetSize;
    registeredEra = follower.era();
    store->append(RecordStream::Hosts, settings.id.value(), parts.encodeHost({ directory.self(), fleetSize }), [this](const StoreAppendResult& result) {
        follower.recordEra(result.era, ActiveConfiguration::storeSource);
        if (result.code == ResultCode::Ok) {
            registeredEra = result.era;
            return;
        }
        log(Event("host-registration-failed").with("reason", result.code));
        registeredFleetSize = 0;
    });
}

void GatewayHost::Implementation::readHostRecords(bool recordAlive)
{
    store->readLatest(RecordStream::Hosts, [this, recordAlive](const StoreReadResult& result) {
        follower.recordEra(result.era, ActiveConfiguration::storeSource);
        if (result.code != ResultCode::Ok) {
            log(Event("host-records-unavailable").with("reason", result.code));
            return;
        }
        FleetSize size { 0, clock.now() };
        LogOffset newest {};
        for (const KeyedRecord& record : result.records) {
            const auto decoded = record.value ? parts.decodeHost(HostId(record.key), *record.value) : std::nullopt;
            if (!decoded)
                continue;
            if (!isValid(*decoded)) {
                log(Event("host-record-malformed").with("offset", static_cast<long long>(number(record.offset))).with("reason", "value"));
                continue;
            }
            if (record.offset >= newest) {
                newest = record.offset;
                size.hosts = decoded->fleetSize;
            }
            // The first exchange with the host shows whether it is still alive, and since when.
            if (recordAlive && !directory.entries().contains(decoded->host.id))
                directory.recordAlive(decoded->host, clock.now(), clock.now(), false);
        }
        directory.recordFleetSize(size);
    });
}

void GatewayHost::Implementation::awaitSignal()
{
    signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else if (!started)
            stopBeforeStart();
        else if (!connections.plannedStop)
            drain();
        awaitSignal();
    });
}

void GatewayHost::Implementation::reload()
{
    const auto reloaded = parts.reloadSettings();
    if (!reloaded) {
        log(Event("settings-not-reloaded"));
        return;
    }
    GatewaySettings unchanged = *reloaded;
    unchanged.bounds = settings.bounds;
    log(Event("settings-reloaded").with("bounds_changed", reloaded->bounds == settings.bounds ? "no" : "yes").with("restart_needed", unchanged == settings ? "no" : "yes"));
    settings.bounds = reloaded->bounds;
}

// Nothing has been accepted from callers.
void GatewayHost::Implementation::stopBeforeStart()
{
    log(Event("host-stopped").with("host", settings.id).with("connections", 0LL));
    loop.context().stop();
}

void GatewayHost::Implementation::drain()
{
    log(Event("host-draining").with("host", settings.id).with("connections", static_cast<long long>(connections.open.size())));
    connections.plannedStop = PlannedStop { clock.now(), settings.bounds.stopGrace };
    ready = false;
    directory.setLeaving();
    placementCoordinator.stopHolding();
    exchange.tick();
    checkDrained();
}

void GatewayHost::Implementation::checkDrained()
{
    const MonotonicTime now = clock.now();
    const PlannedStop& stop = *connections.plannedStop;
    const auto open = connections.open;
    // The responses are written by the event loop, so that the process does not exit in the same turn.
    const bool endsRequests = now >= finalResponsesAt(stop) && !std::exchange(requestsEnded, true);
    for (const auto& connection : open) {
        if (endsRequests)
            connection->endRequests();
        if (now >= balancerReactedAt(stop))
            connection->closeIfIdle();
    }
    const bool empty = now >= balancerReactedAt(stop) && connections.open.empty();
    // What has been accepted by then still gets its response.
    const bool listening = acceptor.is_open();
    if (listening && (empty || now >= finalResponsesAt(stop)))
        stopAccepting();
    if ((empty && !listening) || (now >= exitsAt(stop) && !endsRequests)) {
        for (const auto& connection : connections.open)
            connection->logUnanswered();
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - stop.startedAt);
        log(Event("host-stopped").with("host", settings.id).with("connections", static_cast<long long>(connections.open.size())).with("took_ms", took.count()));
        return loop.context().stop();
    }
    loop.after(internal::drainCheckInterval, [this] { checkDrained(); });
}

// The handlers have been installed.
void GatewayHost::Implementation::unblockSignals()
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&handled, signal);
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

GatewayHost::GatewayHost(GatewaySettings settings, GatewayParts parts)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(parts)))
{
}

GatewayHost::~GatewayHost()
{
    // Their threads log.
    m_implementation->calls.reset();
    m_implementation->readinessServer.reset();
    m_implementation->operatorServer.reset();
    redirectLog(nullptr);
}

std::error_code GatewayHost::run()
{
    Implementation& host = *m_implementation;
    redirectLog([&host](std::string_view line) { host.writeLog(line); });
    Implementation::unblockSignals();
    host.awaitSignal();
    host.start(host.clock.now() + internal::listenPatience);
    host.loop.context().run();
    host.lines.flush();
    return host.startError;
}

} // namespace lacewingsail
