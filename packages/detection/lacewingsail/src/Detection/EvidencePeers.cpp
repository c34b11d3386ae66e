#include <lacewingsail/Detection.h>

#include <lacewingsail/evidence.grpc.pb.h>
#include <lacewingsail/PeerCalls.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace lacewingsail {

namespace internal {

    constexpr std::size_t peersPerRound = 8;
    constexpr int mostCallsUnderWay = 64;
    constexpr int mostTalliesTaken = 256;
    constexpr std::chrono::milliseconds tellTimeout { 400 };
    constexpr double tenths = 10;
    constexpr int quietRoundsBetweenRepeats = 4;

    void write(protocol::EvidenceTally& tally, std::uint64_t subject, const EvidenceCounts& counts)
    {
        tally.set_subject(subject);
        tally.set_attempts(static_cast<std::uint32_t>(counts.attempts * tenths));
        tally.set_bad(static_cast<std::uint32_t>(counts.failures * tenths));
        tally.set_slow(static_cast<std::uint32_t>(counts.slow * tenths));
    }

    protocol::EvidenceDigest messageFor(const PeerEvidence& digest)
    {
        protocol::EvidenceDigest message;
        message.set_host(digest.host.value());
        message.set_zone(digest.zone.value());
        message.set_link_suspect(digest.linkSuspected);
        for (const auto& [service, counts] : digest.services)
            write(*message.add_services(), service, counts);
        for (const auto& [server, counts] : digest.servers)
            write(*message.add_servers(), server, counts);
        for (const ServerHash server : digest.ejected)
            message.add_ejected(server);
        for (const ServerHash server : digest.leaving)
            message.add_leaving(server);
        for (const ServerHash server : digest.fleetOutliers)
            message.add_condemned(server);
        return message;
    }

    using Tallies = google::protobuf::RepeatedPtrField<protocol::EvidenceTally>;

    std::map<std::uint64_t, EvidenceCounts> countsOf(const Tallies& tallies, MonotonicTime now)
    {
        std::map<std::uint64_t, EvidenceCounts> result;
        for (const auto& tally : tallies) {
            if (result.size() >= mostTalliesTaken)
                break;
            result[tally.subject()] = { tally.attempts() / tenths, tally.bad() / tenths, tally.slow() / tenths, now };
        }
        return result;
    }

    std::vector<ServerHash> serversOf(const google::protobuf::RepeatedField<std::uint64_t>& servers)
    {
        return { servers.begin(), servers.begin() + std::min(servers.size(), mostTalliesTaken) };
    }

    PeerEvidence digestOf(const protocol::EvidenceDigest& message, MonotonicTime now)
    {
        PeerEvidence digest;
        digest.host = HostId(message.host());
        digest.zone = ZoneId(message.zone());
        digest.receivedAt = now;
        digest.linkSuspected = message.link_suspect();
        digest.services = countsOf(message.services(), now);
        digest.servers = countsOf(message.servers(), now);
        digest.ejected = serversOf(message.ejected());
        digest.leaving = serversOf(message.leaving());
        digest.fleetOutliers = serversOf(message.condemned());
        return digest;
    }

    // Grows with news only: fading counts are no news.
    std::uint64_t newsIn(const protocol::EvidenceDigest& message)
    {
        std::uint64_t failures = 0;
        for (const auto& tally : message.servers())
            failures += tally.bad() + tally.slow();
        return failures + static_cast<std::uint64_t>(message.ejected_size() + message.leaving_size() + message.condemned_size()) * static_cast<std::uint64_t>(tenths);
    }

    bool saysSomething(const protocol::EvidenceDigest& message)
    {
        return message.servers_size() > 0 || message.ejected_size() > 0 || message.leaving_size() > 0;
    }

    class EvidenceService final : public protocol::Evidence::Service {
    public:
        EvidenceService(const HostSettings& settings, DetectionState& state)
            : m_settings(settings)
            , m_state(state)
        {
        }

        grpc::Status Tell(grpc::ServerContext* context, const protocol::EvidenceDigest* request, protocol::EvidenceDigest* reply) override
        {
            if (!isFromFleet(*context, m_settings.fleetSecret))
                return notFromFleet();
            if (!request->host().empty())
                m_state.take(digestOf(*request, SystemClock().now()));
            *reply = messageFor(m_state.digest());
            return grpc::Status::OK;
        }

    private:
        const HostSettings& m_settings;
        DetectionState& m_state;
    };

    struct TellCall {
        grpc::ClientContext context;
        protocol::EvidenceDigest reply;
        std::shared_ptr<grpc::Channel> channel;
    };

} // namespace internal

struct EvidencePeers::Implementation {
    Implementation(const HostSettings& hostSettings, DetectionState& detection, const FleetMembership& fleet, PeerChannels& peerChannels, Metrics& metrics)
        : settings(hostSettings)
        , state(detection)
        , membership(fleet)
        , channels(peerChannels)
        , bytesSent(metrics.counter("control_bytes_total", "message", "evidence-sent"))
        , bytesReceived(metrics.counter("control_bytes_total", "message", "evidence-received"))
        , messagesSent(metrics.counter("control_messages_total", "message", "evidence-sent"))
    {
    }

    const HostSettings& settings;
    DetectionState& state;
    const FleetMembership& membership;
    PeerChannels& channels;
    std::atomic<std::uint64_t>& bytesSent;
    std::atomic<std::uint64_t>& bytesReceived;
    std::atomic<std::uint64_t>& messagesSent;
    internal::EvidenceService service { settings, state };
    std::mutex mutex;
    std::condition_variable callEnded;
    int underWay = 0;
    std::size_t nextPeer = 0;
    bool saidSomething = false;
    std::uint64_t newsBefore = 0;
    int quietRounds = 0;

    void tell(const Host& peer, const protocol::EvidenceDigest& message)
    {
        {
            const std::lock_guard lock(mutex);
            if (underWay >= internal::mostCallsUnderWay)
                return;
            ++underWay;
        }
        auto call = std::make_shared<internal::TellCall>();
        prepareCall(call->context, settings.fleetSecret, internal::tellTimeout);
        call->channel = channels.to(peer.peers);
        auto request = std::make_shared<protocol::EvidenceDigest>(message);
        bytesSent.fetch_add(message.ByteSizeLong(), std::memory_order_relaxed);
        messagesSent.fetch_add(1, std::memory_order_relaxed);
        startCall(call->channel, call->context, protocol::Evidence::service_full_name(), "Tell", *request, call->reply, [this, call, request](bool answered) { end(*call, answered); });
    }

    void end(const internal::TellCall& call, bool answered)
    {
        if (answered && !call.reply.host().empty()) {
            bytesReceived.fetch_add(call.reply.ByteSizeLong(), std::memory_order_relaxed);
            state.take(internal::digestOf(call.reply, SystemClock().now()));
        }
        const std::lock_guard lock(mutex);
        --underWay;
        callEnded.notify_all();
    }
};

EvidencePeers::EvidencePeers(const HostSettings& settings, DetectionState& state, const FleetMembership& membership, PeerChannels& channels, Metrics& metrics)
    : m_implementation(std::make_unique<Implementation>(settings, state, membership, channels, metrics))
{
}

EvidencePeers::~EvidencePeers()
{
    std::unique_lock lock(m_implementation->mutex);
    m_implementation->callEnded.wait(lock, [this] { return m_implementation->underWay == 0; });
}

void EvidencePeers::exchange()
{
    Implementation& self = *m_implementation;
    const auto message = internal::messageFor(self.state.digest());
    const bool something = internal::saysSomething(message);
    // The round after the last news tells the peers that there is none any more.
    const bool worthIt = something || self.saidSomething;
    self.saidSomething = something;
    if (!worthIt)
        return;
    const std::uint64_t news = internal::newsIn(message);
    const bool isNews = news > self.newsBefore || !something;
    self.newsBefore = news;
    if (!isNews && ++self.quietRounds < internal::quietRoundsBetweenRepeats)
        return;
    self.quietRounds = 0;
    const auto peers = self.membership.peers();
    const std::size_t count = std::min(peers.size(), internal::peersPerRound);
    for (std::size_t step = 0; step < count; ++step)
        self.tell(peers[(self.nextPeer + step) % peers.size()], message);
    self.nextPeer += count;
}

grpc::Service& EvidencePeers::service() { return m_implementation->service; }

} // namespace lacewingsail
