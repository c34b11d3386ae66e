#include <lacewingsail/Host.h>

#include "OperatorApi.h"
#include "SnapshotPublisher.h"

#include <lacewingsail/Bookings.h>
#include <lacewingsail/ConfigurationSync.h>
#include <lacewingsail/Limits.h>
#include <lacewingsail/Membership.h>
#include <lacewingsail/Platform.h>
#include <lacewingsail/Wire.h>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t journalCapacity = 4096;
    constexpr std::size_t mostMetricSeries = 512;
    constexpr int operatorThreads = 2;

    class CountedEvidence final : public EvidenceSink {
    public:
        explicit CountedEvidence(Metrics& metrics)
            : m_metrics(metrics)
        {
        }

        void observe(const AttemptEvidence& evidence) override
        {
            m_metrics.counter("attempts_total", "server", evidence.server.value()).fetch_add(1, std::memory_order_relaxed);
        }

    private:
        Metrics& m_metrics;
    };

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
    SnapshotPublisher publisher { snapshot };
    ConfigurationState configuration { journal };
    internal::CountedEvidence evidence { metrics };
    EvenSplit admission { settings.limitSlots, clock };
    LogBookings bookings { settings, [this] { return std::make_unique<HttpLogService>(settings.log); }, clock, journal };
    PeerChannels channels;
    OperatorApi operatorApi { { settings, snapshot, configuration, metrics, journal, draining } };
    std::unique_ptr<FleetMembership> membership;
    std::unique_ptr<LogFollower> configurationFollower;
    std::unique_ptr<LogFollower> withdrawalFollower;
    std::unique_ptr<ConfigurationPeers> configurationPeers;
    std::unique_ptr<PeerServer> peerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<ProxyServer> proxy;

    void startFollowers();
    void startListeners(std::error_code&);
    void takeWithdrawal(const LogRecord&);
};

void EntryHost::Implementation::takeWithdrawal(const LogRecord& record)
{
    Problems problems;
    if (const auto withdrawal = parseKeyWithdrawal(record.body, problems))
        configuration.withdraw({ withdrawal->key });
    else
        journal.record(Event("withdrawal-record-malformed").with("reason", text(problems)));
}

void EntryHost::Implementation::startFollowers()
{
    configuration.listen([this](const ConfigurationRecord& record, ConfigurationVersion version, std::shared_ptr<const WithdrawnKeys> withdrawn) {
        publisher.update(record, version, std::move(withdrawn));
    });
    membership = std::make_unique<FleetMembership>(settings.id, std::make_unique<HttpHostList>(settings.hostList, settings.id));
    configurationFollower = std::make_unique<LogFollower>(std::make_unique<HttpLogService>(settings.log), configurationStream, clock,
        [this](const LogRecord& record) { configuration.foldRecord(record.body); });
    withdrawalFollower = std::make_unique<LogFollower>(std::make_unique<HttpLogService>(settings.log), withdrawalStream, clock,
        [this](const LogRecord& record) { takeWithdrawal(record); });
    configurationPeers = std::make_unique<ConfigurationPeers>(settings, configuration, *membership, channels);
}

void EntryHost::Implementation::startListeners(std::error_code& error)
{
    peerServer = std::make_unique<PeerServer>(settings.peers, std::vector<grpc::Service*> { &configurationPeers->service() }, error);
    if (error)
        return;
    operatorServer = std::make_unique<HttpServer>(
        settings.operators, internal::operatorThreads, [this](const HttpRequest& request) { return operatorApi.answer(request); }, error);
    if (error)
        return;
    proxy = std::make_unique<ProxyServer>(ProxyServices { settings, clock, snapshot, admission, evidence, metrics, journal, bookings }, error);
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
    m_implementation->proxy->drain();
}

bool EntryHost::drained() const
{
    return m_implementation->draining && m_implementation->proxy->openConnections() == 0;
}

} // namespace lacewingsail
