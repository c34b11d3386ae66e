#include <lacewingsail/ConfigurationSync.h>

#include <lacewingsail/peer.grpc.pb.h>
#include <lacewingsail/PeerCalls.h>

#include <condition_variable>
#include <random>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds exchangeInterval { 500 };
    constexpr std::chrono::milliseconds exchangeTimeout { 1000 };

    protocol::Exchange describe(const HostSettings& settings, const ConfigurationState& state)
    {
        protocol::Exchange message;
        message.set_host(settings.id.value());
        message.set_zone(settings.zone.value());
        message.set_configuration_version(number(state.version()));
        const auto withdrawn = state.withdrawn();
        message.set_withdrawn_key_count(withdrawn->size());
        for (const KeyId& key : *withdrawn)
            message.add_withdrawn_keys(key.value());
        return message;
    }

    void takeWithdrawals(const protocol::Exchange& message, ConfigurationState& state)
    {
        std::vector<KeyId> keys;
        for (const std::string& key : message.withdrawn_keys())
            keys.emplace_back(key);
        state.withdraw(keys);
    }

    class ConfigurationService final : public protocol::Peer::Service {
    public:
        ConfigurationService(const HostSettings& settings, ConfigurationState& state)
            : m_settings(settings)
            , m_state(state)
        {
        }

        grpc::Status Swap(grpc::ServerContext* context, const protocol::Exchange* request, protocol::Exchange* reply) override // NOLINT(readability-identifier-naming): generated name
        {
            if (!isFromFleet(*context, m_settings.fleetSecret))
                return notFromFleet();
            takeWithdrawals(*request, m_state);
            *reply = describe(m_settings, m_state);
            return grpc::Status::OK;
        }

        grpc::Status PullConfiguration(grpc::ServerContext* context, const protocol::ConfigurationRequest* request, protocol::ConfigurationReply* reply) override // NOLINT(readability-identifier-naming): generated name
        {
            if (!isFromFleet(*context, m_settings.fleetSecret))
                return notFromFleet();
            const auto version = number(m_state.version());
            if (version > request->held_version()) {
                reply->set_version(version);
                reply->set_text(m_state.currentRecord());
            }
            return grpc::Status::OK;
        }

    private:
        const HostSettings& m_settings;
        ConfigurationState& m_state;
    };

} // namespace internal

struct ConfigurationPeers::Implementation {
    Implementation(const HostSettings& hostSettings, ConfigurationState& configurationState, const FleetMembership& fleet, PeerChannels& peerChannels)
        : settings(hostSettings)
        , state(configurationState)
        , membership(fleet)
        , channels(peerChannels)
    {
    }

    const HostSettings& settings;
    ConfigurationState& state;
    const FleetMembership& membership;
    PeerChannels& channels;
    internal::ConfigurationService service { settings, state };
    std::mutex mutex;
    std::condition_variable stopRequested;
    bool stopping = false;
    std::thread thread;

    void exchangeWith(const Host& peer)
    {
        const auto stub = protocol::Peer::NewStub(channels.to(peer.peers));
        grpc::ClientContext context;
        prepareCall(context, settings.fleetSecret, internal::exchangeTimeout);
        protocol::Exchange reply;
        if (!stub->Swap(&context, internal::describe(settings, state), &reply).ok())
            return;
        internal::takeWithdrawals(reply, state);
        if (reply.configuration_version() > number(state.version()))
            pullFrom(*stub);
    }

    void pullFrom(protocol::Peer::StubInterface& stub)
    {
        grpc::ClientContext context;
        prepareCall(context, settings.fleetSecret, internal::exchangeTimeout);
        protocol::ConfigurationRequest request;
        request.set_host(settings.id.value());
        request.set_held_version(number(state.version()));
        protocol::ConfigurationReply reply;
        if (stub.PullConfiguration(&context, request, &reply).ok() && !reply.text().empty())
            state.adopt(ConfigurationVersion { reply.version() }, reply.text());
    }

    void run()
    {
        std::minstd_rand random(static_cast<unsigned>(std::hash<HostId> {}(settings.id)));
        std::unique_lock lock(mutex);
        while (!stopRequested.wait_for(lock, internal::exchangeInterval, [this] { return stopping; })) {
            lock.unlock();
            const auto peers = membership.peers();
            if (!peers.empty())
                exchangeWith(peers[random() % peers.size()]);
            lock.lock();
        }
    }
};

ConfigurationPeers::ConfigurationPeers(const HostSettings& settings, ConfigurationState& state, const FleetMembership& membership, PeerChannels& channels)
    : m_implementation(std::make_unique<Implementation>(settings, state, membership, channels))
{
    m_implementation->thread = std::thread([this] { m_implementation->run(); });
}

ConfigurationPeers::~ConfigurationPeers()
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->stopping = true;
    }
    m_implementation->stopRequested.notify_all();
    m_implementation->thread.join();
}

grpc::Service& ConfigurationPeers::service() { return m_implementation->service; }

} // namespace lacewingsail
