#include <lacewingsail/Host.h>

#include "OperatorApi.h"
#include "SnapshotPublisher.h"

#include <lacewingsail/Bookings.h>
#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Detection.h>
#include <lacewingsail/Limits.h>
#include <lacewingsail/Membership.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Wire.h>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t journalCapacity = 4096;
    constexpr std::size_t mostMetricSeries = 512;
    constexpr int operatorThreads = 2;

} // namespace internal

struct EntryHost::Implementation {
    explicit Implementation(HostSettings hostSettings)
        : settings(std::move(hostSettings))
    {
    }

    const HostSettings settings;
    SystemClock clock;
    Metrics metrics { internal::mostMetricSeries };
    Journal journal { internal::journalCapacity };
    std::atomic<bool> draining { false };
    SnapshotCell snapshot;
    const std::shared_ptr<KeyFreshness> keyFreshness = std::make_shared<KeyFreshness>();
    DetectionState detection { settings, clock, journal };
    SnapshotPublisher publisher { snapshot, keyFreshness, [this](const Configuration& text) { return detection.decide(text); } };
    ConfigurationState configuration { journal };
    KeyFreshnessTracker freshnessTracker { *keyFreshness, settings.keyStalenessBound, settings.id };
    CheckpointAge checkpointAge;
    std::atomic<bool> configurationCaughtUp { false };
    std::atomic<MonotonicTime> configurationHeardAt { MonotonicTime {} };
    EvidenceQueue evidence { metrics };
    LogBookings bookings { settings, [this] { return std::make_unique<HttpLogService>(settings.log); }, clock, journal };
    PeerChannels channels;
    std::unique_ptr<FleetMembership> membership;
    std::unique_ptr<Admission> admission;
    /// Null if limits are not shared through slots.
    PooledAdmission* pooledAdmission = nullptr;
    std::unique_ptr<ConfigurationPeers> configurationPeers;
    std::unique_ptr<LogFollower> configurationFollower;
    std::unique_ptr<LogFollower> withdrawalFollower;
    std::unique_ptr<LogKeeper> logKeeper;
    EjectionApi ejections { detection, clock };
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<EvidencePeers> evidencePeers;
    std::unique_ptr<DetectionController> detectionController;
    std::unique_ptr<PeerServer> peerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<ProxyServer> proxy;

    void startAdmission();
    void startFollowers();
    void startListeners(std::error_code&);
    LogFollowerCallbacks configurationCallbacks();
    LogFollowerCallbacks withdrawalCallbacks();
    void takeWithdrawal(const LogRecord&);
};

void EntryHost::Implementation::takeWithdrawal(const LogRecord& record)
{
    Problems problems;
    if (const auto withdrawal = parseKeyWithdrawal(record.body, problems))
        configuration.withdrawLogged(withdrawal->keys);
    else
        journal.record(Event("withdrawal-record-malformed").with("reason", text(problems)));
}

LogFollowerCallbacks EntryHost::Implementation::configurationCallbacks()
{
    LogFollowerCallbacks callbacks;
    callbacks.position = [this](LogOffset) { return configuration.readFrom(); };
    callbacks.page = [this](LogOffset asked, const LogPage& page) {
        configurationHeardAt = clock.now();
        // How old the checkpoints are that were there before this host is not known; only new ones count.
        if (configuration.foldPage(asked, page) && configurationCaughtUp)
            checkpointAge.seen(clock.now());
    };
    callbacks.caughtUp = [this](MonotonicTime) { configurationCaughtUp = true; };
    return callbacks;
}

LogFollowerCallbacks EntryHost::Implementation::withdrawalCallbacks()
{
    LogFollowerCallbacks callbacks;
    callbacks.page = [this](LogOffset, const LogPage& page) {
        for (const LogRecord& record : page.records)
            takeWithdrawal(record);
    };
    callbacks.caughtUp = [this](MonotonicTime asOf) { freshnessTracker.heardLog(asOf); };
    return callbacks;
}

void EntryHost::Implementation::startAdmission()
{
    switch (settings.sharing.sharing) {
    case LimitSharing::EvenSplit:
        admission = std::make_unique<EvenSplit>(settings.limitSlots, clock);
        return;
    case LimitSharing::Unshared:
        admission = std::make_unique<EvenSplit>(1, clock);
        return;
    case LimitSharing::Pooled:
    case LimitSharing::Slots:
        break;
    }
    auto pooled = std::make_unique<PooledAdmission>(PooledAdmissionParts { settings, clock, *membership, channels, metrics, journal });
    pooledAdmission = pooled.get();
    admission = std::move(pooled);
}

void EntryHost::Implementation::startFollowers()
{
    membership = std::make_unique<FleetMembership>(settings.id, std::make_unique<HttpHostList>(settings.hostList, settings.id), clock);
    configurationPeers = std::make_unique<ConfigurationPeers>(ConfigurationPeersParts { settings, clock, configuration, freshnessTracker, checkpointAge, *membership, channels, metrics, [this] { return configurationHeardAt.load(); } });
    startAdmission();
    configuration.listen([this](const ConfigurationRecord& record, ConfigurationVersion version, std::shared_ptr<const WithdrawnKeys> withdrawn) {
        // Before any request can see a new account.
        if (pooledAdmission && record.configuration)
            pooledAdmission->configure(*record.configuration);
        publisher.update(record, version, std::move(withdrawn));
        configurationPeers->spreadNews();
    });
    configurationFollower = std::make_unique<LogFollower>(std::make_unique<HttpLogService>(settings.log), configurationStream, clock, configurationCallbacks());
    withdrawalFollower = std::make_unique<LogFollower>(std::make_unique<HttpLogService>(settings.log), withdrawalStream, clock, withdrawalCallbacks());
    configurationPeers->start();
    logKeeper = std::make_unique<LogKeeper>(LogKeeperParts { settings, clock, configuration, freshnessTracker, checkpointAge, *membership, journal }, std::make_unique<HttpLogService>(settings.log));
    operatorApi = std::make_unique<OperatorApi>(OperatorView { settings, clock, snapshot, configuration, *membership, metrics, journal, draining, ejections });
    if (pooledAdmission) {
        operatorApi->showSlots([this] { return SlotsInUse { pooledAdmission->incarnation(), pooledAdmission->held(), pooledAdmission->slots() }; });
        operatorApi->readyIf([this] { return pooledAdmission->ready(); });
    }
    evidencePeers = std::make_unique<EvidencePeers>(settings, detection, *membership, channels, metrics);
    detectionController = std::make_unique<DetectionController>(DetectionServices {
        detection, evidence, *evidencePeers, [this] { publisher.updateStandings(); }, [this] { return snapshot.current(); } });
}

void EntryHost::Implementation::startListeners(std::error_code& error)
{
    std::vector<grpc::Service*> services { &configurationPeers->service(), &evidencePeers->service() };
    if (pooledAdmission)
        services.push_back(&pooledAdmission->service());
    peerServer = std::make_unique<PeerServer>(settings.peers, services, error);
    if (error)
        return;
    operatorServer = std::make_unique<HttpServer>(
        settings.operators, internal::operatorThreads, [this](const HttpRequest& request) { return operatorApi->answer(request); }, error);
    if (error)
        return;
    proxy = std::make_unique<ProxyServer>(ProxyServices { settings, clock, snapshot, *admission, evidence, metrics, journal, bookings }, error);
}

EntryHost::EntryHost(HostSettings settings, std::error_code& error)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
    m_implementation->startFollowers();
    m_implementation->startListeners(error);
    if (!error)
        log(Event("host-started").with("host", m_implementation->settings.id).with("zone", m_implementation->settings.zone));
}

EntryHost::~EntryHost() = default;

void EntryHost::drain()
{
    log(Event("host-draining").with("host", m_implementation->settings.id));
    m_implementation->draining = true;
    m_implementation->configurationPeers->announceLeaving();
    m_implementation->proxy->drain();
    if (m_implementation->pooledAdmission)
        m_implementation->pooledAdmission->releaseSlots();
}

bool EntryHost::drained() const
{
    const PooledAdmission* pooled = m_implementation->pooledAdmission;
    const bool slotsReturned = !pooled || pooled->slotReleaseFinished();
    const bool handedOver = slotsReturned && m_implementation->configurationPeers->leavingAnnounced();
    return m_implementation->draining && handedOver && m_implementation->proxy->openConnections() == 0;
}

} // namespace lacewingsail
