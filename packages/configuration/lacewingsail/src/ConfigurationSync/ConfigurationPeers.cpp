#include <lacewingsail/ConfigurationSync.h>

#include "ExchangeMessage.h"

#include <lacewingsail/peer.grpc.pb.h>
#include <lacewingsail/PeerCalls.h>

#include <tbb/parallel_for_each.h>
#include <tbb/task_arena.h>

#include <condition_variable>
#include <thread>
#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds exchangeTimeout { 1000 };
    constexpr std::chrono::milliseconds farewellTimeout { 2500 };
    constexpr std::chrono::milliseconds pullTimeout { 5000 };
    constexpr std::chrono::milliseconds newsInterval { 50 };
    constexpr int exchangesAtATime = 8;
    constexpr int newsRounds = 3;
    constexpr std::size_t newsPartners = 4;
    // A host that hears the log gets changes from there, and need not pull the whole text as well.
    constexpr std::chrono::milliseconds logHeardWithin { 2500 };

    /// \brief Counts the bytes of messages by their type.
    class MessageCounters {
    public:
        explicit MessageCounters(Metrics& metrics)
            : m_metrics(metrics)
        {
        }

        void sent(const char* type, const google::protobuf::Message& message) const { add("peer_bytes_sent_total", type, message); }
        void received(const char* type, const google::protobuf::Message& message) const { add("peer_bytes_received_total", type, message); }

    private:
        void add(const char* name, const char* type, const google::protobuf::Message& message) const
        {
            m_metrics.counter(name, "type", type).fetch_add(message.ByteSizeLong(), std::memory_order_relaxed);
        }

        Metrics& m_metrics;
    };

    constexpr const char* exchangeType = "exchange";
    constexpr const char* pullType = "pull-configuration";
    constexpr const char* checkpointType = "configuration";

    class ConfigurationService final : public protocol::Peer::Service {
    public:
        ConfigurationService(const ConfigurationPeersParts& parts, const ExchangeMessages& messages)
            : m_parts(parts)
            , m_messages(messages)
            , m_counters(parts.metrics)
        {
        }

        grpc::Status Swap(grpc::ServerContext* context, const protocol::Exchange* request, protocol::Exchange* reply) override // NOLINT(readability-identifier-naming): generated name
        {
            if (!isFromFleet(*context, m_parts.settings.fleetSecret))
                return notFromFleet();
            m_counters.received(exchangeType, *request);
            m_messages.take(*request, std::nullopt);
            // Most of the time the latest keys settle a difference; the whole set is for an asker who sent its own.
            *reply = m_messages.make(request->whole_set() && m_messages.differsFrom(*request));
            m_counters.sent(exchangeType, *reply);
            return grpc::Status::OK;
        }

        grpc::Status PullConfiguration(grpc::ServerContext* context, const protocol::ConfigurationRequest* request, protocol::ConfigurationReply* reply) override // NOLINT(readability-identifier-naming): generated name
        {
            if (!isFromFleet(*context, m_parts.settings.fleetSecret))
                return notFromFleet();
            m_counters.received(pullType, *request);
            const ConfigurationFold fold = m_parts.state.fold();
            if (fold.current.configuration && number(fold.version) >= request->held_version() && number(fold.position) > request->held_position())
                reply->set_checkpoint(formatCheckpointOf(fold));
            m_counters.sent(checkpointType, *reply);
            return grpc::Status::OK;
        }

    private:
        const ConfigurationPeersParts m_parts;
        const ExchangeMessages& m_messages;
        const MessageCounters m_counters;
    };

} // namespace internal

struct ConfigurationPeers::Implementation {
    explicit Implementation(const ConfigurationPeersParts& peersParts)
        : parts(peersParts)
        , counters(peersParts.metrics)
        , service(peersParts, messages)
    {
        schedule.random.seed(static_cast<unsigned>(stableHash(parts.settings.id.value())));
    }

    const ConfigurationPeersParts parts;
    const internal::MessageCounters counters;
    internal::ExchangeMessages messages { parts };
    internal::ConfigurationService service;
    ExchangeSchedule schedule;
    tbb::task_arena exchangeArena { internal::exchangesAtATime };
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool tellAll = false;
    bool toldAll = false;
    std::atomic<bool> telling { false };
    int newsToSpread = 0;
    std::thread thread;

    bool swap(protocol::Peer::StubInterface& stub, bool wholeSet, protocol::Exchange& reply);
    void exchangeWith(const Host& peer);
    void pullFrom(protocol::Peer::StubInterface& stub);
    bool shouldPull(const protocol::Exchange& reply) const;
    bool logHeard() const;
    void exchangeRound(std::size_t partners);
    void run();
};

bool ConfigurationPeers::Implementation::swap(protocol::Peer::StubInterface& stub, bool wholeSet, protocol::Exchange& reply)
{
    grpc::ClientContext context;
    prepareCall(context, parts.settings.fleetSecret, telling ? internal::farewellTimeout : internal::exchangeTimeout);
    // A connection that failed a moment ago is not tried again at once; the last word must wait for it all the same.
    context.set_wait_for_ready(telling);
    const protocol::Exchange request = messages.make(wholeSet);
    counters.sent(internal::exchangeType, request);
    if (!stub.Swap(&context, request, &reply).ok())
        return false;
    counters.received(internal::exchangeType, reply);
    return true;
}

void ConfigurationPeers::Implementation::exchangeWith(const Host& peer)
{
    const auto stub = protocol::Peer::NewStub(parts.channels.to(peer.peers));
    protocol::Exchange reply;
    const MonotonicTime askedAt = parts.clock.now();
    if (!swap(*stub, false, reply))
        return;
    const bool knowsAll = messages.take(reply, askedAt);
    if (!knowsAll && swap(*stub, true, reply))
        messages.take(reply, askedAt);
    if (shouldPull(reply))
        pullFrom(*stub);
}

bool ConfigurationPeers::Implementation::shouldPull(const protocol::Exchange& reply) const
{
    const ConfigurationFold fold = parts.state.fold();
    if (reply.configuration_version() == 0 || reply.configuration_position() <= number(fold.position))
        return false;
    if (parts.state.behindGap())
        return true;
    return reply.configuration_version() > number(fold.version) && !logHeard();
}

bool ConfigurationPeers::Implementation::logHeard() const
{
    const MonotonicTime heard = parts.logHeardAt();
    return heard != MonotonicTime {} && parts.clock.now() - heard < internal::logHeardWithin;
}

void ConfigurationPeers::Implementation::pullFrom(protocol::Peer::StubInterface& stub)
{
    grpc::ClientContext context;
    prepareCall(context, parts.settings.fleetSecret, internal::pullTimeout);
    const ConfigurationFold fold = parts.state.fold();
    protocol::ConfigurationRequest request;
    request.set_host(parts.settings.id.value());
    request.set_held_version(number(fold.version));
    request.set_held_position(number(fold.position));
    counters.sent(internal::pullType, request);
    protocol::ConfigurationReply reply;
    if (!stub.PullConfiguration(&context, request, &reply).ok())
        return;
    counters.received(internal::checkpointType, reply);
    if (!reply.checkpoint().empty())
        parts.state.adopt(reply.checkpoint());
}

void ConfigurationPeers::Implementation::exchangeRound(std::size_t partners)
{
    // At the same time, so that a partner that cannot be reached holds up no other.
    const std::vector<Host> chosen = nextPartners(schedule, parts.membership.peers(), partners);
    exchangeArena.execute([&] {
        tbb::parallel_for_each(chosen, [this](const Host& peer) { exchangeWith(peer); });
    });
    parts.freshness.refresh(parts.clock.now(), parts.membership.hosts());
}

void ConfigurationPeers::Implementation::run()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        std::size_t partners = partnerCount(parts.membership.hosts().size(), logHeard(), parts.settings.keyStalenessBound, FleetMembership::exchangeInterval);
        if (newsToSpread > 0) {
            --newsToSpread;
            partners = std::max(partners, internal::newsPartners);
        }
        telling = std::exchange(tellAll, false);
        if (telling)
            partners = parts.membership.peers().size();
        lock.unlock();
        exchangeRound(partners);
        lock.lock();
        toldAll = toldAll || telling;
        const auto interval = newsToSpread > 0 ? internal::newsInterval : FleetMembership::exchangeInterval;
        wake.wait_for(lock, interval, [this] { return stopping || tellAll || newsToSpread == internal::newsRounds; });
    }
}

ConfigurationPeers::ConfigurationPeers(const ConfigurationPeersParts& parts)
    : m_implementation(std::make_unique<Implementation>(parts))
{
}

void ConfigurationPeers::start()
{
    m_implementation->thread = std::thread([this] { m_implementation->run(); });
}

ConfigurationPeers::~ConfigurationPeers()
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->stopping = true;
    }
    m_implementation->wake.notify_all();
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

grpc::Service& ConfigurationPeers::service() { return m_implementation->service; }

void ConfigurationPeers::spreadNews()
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->newsToSpread = internal::newsRounds;
    }
    m_implementation->wake.notify_all();
}

void ConfigurationPeers::announceLeaving()
{
    m_implementation->messages.setLeaving();
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->tellAll = true;
    }
    m_implementation->wake.notify_all();
}

bool ConfigurationPeers::leavingAnnounced() const
{
    const std::lock_guard lock(m_implementation->mutex);
    return m_implementation->toldAll;
}

} // namespace lacewingsail
