#include <lacewingsail/Exchange.h>

#include "ExchangeCodec.h"

#include <lacewingsail/PeerCalls.h>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <cmath>
#include <condition_variable>
#include <mutex>
#include <set>

namespace lacewingsail {

namespace internal {

    // Many times the round trip between zones (2 ms) and a few times what a host at a fifth of its speed needs to respond.
    constexpr std::chrono::milliseconds exchangeTimeout { 400 };
    // A client request waits for the tokens. No other host can grant them, so that a slow coordinator is given about a quarter of
    // the latency objectives.
    constexpr std::chrono::milliseconds tokenTimeout { 400 };

    // A response body of some hundred kilobytes occupies a link of 10 Mbit/s for this long, and the coordinator's replies wait
    // behind it.
    constexpr std::chrono::milliseconds placementTimeout { 200 };

    /// \brief A call in flight; lives until it is answered or has failed.
    template <typename Request, typename Reply>
    struct Call {
        grpc::ClientContext context;
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<Request> request;
        Reply reply;
    };

    /// \brief A call for a placement, which may be answered late.
    class PlaceReactor final : public grpc::ServerUnaryReactor {
    public:
        using Cancel = std::function<void(std::uint64_t placementId)>;

        explicit PlaceReactor(Cancel cancel)
            : m_cancel(std::move(cancel))
        {
        }

        void setPlacementId(std::uint64_t placementId) { m_placementId = placementId; }

        // NOLINTNEXTLINE(readability-identifier-naming): named by gRPC
        void OnDone() override { delete this; }

        // The caller waits no longer, or its host is lost.
        // NOLINTNEXTLINE(readability-identifier-naming): named by gRPC
        void OnCancel() override
        {
            if (const std::uint64_t placementId = m_placementId; placementId != 0)
                m_cancel(placementId);
        }

    private:
        Cancel m_cancel;
        std::atomic<std::uint64_t> m_placementId { 0 };
    };

    /// \brief Answers calls on the event loop's thread.
    class GatewayService final : public protocol::Gateways::CallbackService {
    public:
        GatewayService(EventLoop& loop, GatewayCalls::Handlers handlers)
            : m_loop(loop)
            , m_handlers(std::move(handlers))
        {
        }

        // NOLINTNEXTLINE(readability-identifier-naming): named by gRPC
        grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const protocol::ExchangeRequest* request, protocol::ExchangeReply* reply) override
        {
            return answerOnLoop(*context, [this, request, reply] { m_handlers.exchange(*request, *reply); });
        }

        // NOLINTNEXTLINE(readability-identifier-naming): named by gRPC
        grpc::ServerUnaryReactor* TakeTokens(grpc::CallbackServerContext* context, const protocol::TokenRequest* request, protocol::TokenReply* reply) override
        {
            return answerOnLoop(*context, [this, request, reply] {
                const auto result = m_handlers.grantTokens({ ClientAccountId(request->account()), static_cast<int>(request->wanted()) });
                reply->set_unknown(!result);
                if (result) {
                    reply->set_granted(static_cast<std::uint32_t>(result->granted));
                    reply->set_retry_after_ms(static_cast<std::uint32_t>(result->retryAfter.count()));
                }
            });
        }

        // NOLINTNEXTLINE(readability-identifier-naming): named by gRPC
        grpc::ServerUnaryReactor* Place(grpc::CallbackServerContext* /*context*/, const protocol::PlaceRequest* request, protocol::PlaceReply* reply) override
        {
            // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): deletes itself, as gRPC has it
            auto* reactor = new PlaceReactor([this](std::uint64_t placementId) { m_loop.post([this, placementId] { cancelPlacement(placementId); }); });
            if (!recordUnanswered(reactor)) {
                reactor->Finish(stopped());
                return reactor;
            }
            m_loop.post([this, reactor, request, reply] {
                if (isUnanswered(reactor))
                    handlePlace(*reactor, *request, *reply);
            });
            return reactor;
        }

        /// \brief Fails all calls that are not answered, and those that still come. To be called once the event loop runs no more:
        /// the shutdown of a server waits until each of its calls has been answered.
        void close()
        {
            std::set<grpc::ServerUnaryReactor*> unanswered;
            {
                const std::lock_guard lock(m_mutex);
                m_closed = true;
                unanswered.swap(m_unanswered);
            }
            for (grpc::ServerUnaryReactor* reactor : unanswered)
                reactor->Finish(stopped());
        }

    private:
        static grpc::Status stopped() { return { grpc::StatusCode::UNAVAILABLE, "the host has stopped" }; }

        template <typename Answer>
        grpc::ServerUnaryReactor* answerOnLoop(grpc::CallbackServerContext& context, Answer answer)
        {
            auto* reactor = context.DefaultReactor();
            if (!recordUnanswered(reactor)) {
                reactor->Finish(stopped());
                return reactor;
            }
            m_loop.post([this, reactor, answer = std::move(answer)] {
                // A call that has failed meanwhile takes its messages with it.
                if (!takeUnanswered(reactor))
                    return;
                answer();
                reactor->Finish(grpc::Status::OK);
            });
            return reactor;
        }

        bool recordUnanswered(grpc::ServerUnaryReactor* reactor)
        {
            const std::lock_guard lock(m_mutex);
            return !m_closed && m_unanswered.insert(reactor).second;
        }

        bool takeUnanswered(grpc::ServerUnaryReactor* reactor)
        {
            const std::lock_guard lock(m_mutex);
            return m_unanswered.erase(reactor) != 0;
        }

        bool isUnanswered(grpc::ServerUnaryReactor* reactor)
        {
            const std::lock_guard lock(m_mutex);
            return m_unanswered.contains(reactor);
        }

        // While a call is unanswered its messages exist: it is finished on this thread, or by close() once the loop runs no more.
        void handlePlace(PlaceReactor& reactor, const protocol::PlaceRequest& request, protocol::PlaceReply& reply)
        {
            std::vector<PlacementOutcome> outcomes;
            for (const protocol::PlacementOutcome& outcome : request.outcomes())
                outcomes.push_back(decode(outcome));
            m_handlers.recordOutcomes(outcomes);
            if (!request.has_demand()) {
                if (takeUnanswered(&reactor))
                    reactor.Finish(grpc::Status::OK);
                return;
            }
            const PlacementDemand demand = decode(request.demand());
            reactor.setPlacementId(demand.placementId);
            m_handlers.place(decodeCell(request.demand()), demand, [this, &reactor, &reply](const std::optional<PlacementDecision>& decision) {
                if (!takeUnanswered(&reactor))
                    return;
                encodeDecision(decision, reply);
                reactor.Finish(grpc::Status::OK);
            });
        }

        static void encodeDecision(const std::optional<PlacementDecision>& decision, protocol::PlaceReply& reply)
        {
            reply.set_unknown(!decision);
            if (!decision)
                return;
            reply.set_server(decision->server ? decision->server->value() : std::string());
            reply.set_number(decision->placementId);
            reply.set_room_after_ms(static_cast<std::uint32_t>(decision->retryAfter.count()));
            reply.set_allowance_used(decision->retryBudgetExhausted);
            reply.set_waits(decision->shouldWait);
            reply.set_refused_share(static_cast<std::uint32_t>(std::lround(decision->refusedShare * hundredths)));
            reply.set_loss(static_cast<std::uint32_t>(decision->expectedLoss * hundredths));
        }

        void cancelPlacement(std::uint64_t placementId)
        {
            PlacementOutcome cancellation;
            cancellation.placementId = placementId;
            m_handlers.recordOutcomes(std::span(&cancellation, 1));
        }

        EventLoop& m_loop;
        GatewayCalls::Handlers m_handlers;
        std::mutex m_mutex;
        std::set<grpc::ServerUnaryReactor*> m_unanswered;
        bool m_closed = false;
    };

    /// \brief The calls of this host to others that are in flight.
    class OutgoingCalls {
    public:
        void add(grpc::ClientContext& context)
        {
            const std::lock_guard lock(m_mutex);
            m_contexts.insert(&context);
        }

        void remove(grpc::ClientContext& context)
        {
            const std::lock_guard lock(m_mutex);
            m_contexts.erase(&context);
            m_removed.notify_all();
        }

        /// \brief Cancels all calls and waits until they have ended.
        void cancelAll()
        {
            std::unique_lock lock(m_mutex);
            for (grpc::ClientContext* context : m_contexts)
                context->TryCancel();
            m_removed.wait(lock, [this] { return m_contexts.empty(); });
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_removed;
        std::set<grpc::ClientContext*> m_contexts;
    };

} // namespace internal

struct GatewayCalls::Implementation {
    EventLoop& loop;
    internal::GatewayService service;
    internal::OutgoingCalls outgoing;
    PeerChannels channels;
    std::unique_ptr<PeerServer> server;

    /// \brief Starts \p call. \param callback called on the event loop with whether it was answered.
    template <typename CallPointer, typename Callback>
    void start(std::string_view method, CallPointer call, Callback callback)
    {
        outgoing.add(call->context);
        startCall(call->channel, call->context, protocol::Gateways::service_full_name(), method, *call->request, call->reply, [this, call, callback = std::move(callback)](bool answered) {
            loop.post([call, callback, answered] { callback(answered); });
            outgoing.remove(call->context);
        });
    }
};

GatewayCalls::GatewayCalls(EventLoop& loop, const Endpoint& listen, Handlers handlers, std::error_code& error)
    : m_implementation(new Implementation { loop, { loop, std::move(handlers) }, {}, {}, nullptr })
{
    m_implementation->server = std::make_unique<PeerServer>(listen, std::vector<grpc::Service*> { &m_implementation->service }, error);
}

GatewayCalls::~GatewayCalls()
{
    m_implementation->service.close();
    m_implementation->server.reset();
    m_implementation->outgoing.cancelAll();
}

void GatewayCalls::exchange(const Endpoint& endpoint, std::unique_ptr<protocol::ExchangeRequest> request, ExchangeCallback callback)
{
    auto call = std::make_shared<internal::Call<protocol::ExchangeRequest, protocol::ExchangeReply>>();
    call->channel = m_implementation->channels.to(endpoint);
    call->request = std::move(request);
    call->context.set_deadline(std::chrono::system_clock::now() + internal::exchangeTimeout);
    m_implementation->start("Exchange", call, [call, callback = std::move(callback)](bool ok) {
        callback(ok ? &call->reply : nullptr);
    });
}

void GatewayCalls::requestTokens(const Endpoint& endpoint, const TokenDemand& demand, TokenCallback callback)
{
    auto call = std::make_shared<internal::Call<protocol::TokenRequest, protocol::TokenReply>>();
    call->channel = m_implementation->channels.to(endpoint);
    call->request = std::make_unique<protocol::TokenRequest>();
    call->request->set_account(demand.account.value());
    call->request->set_wanted(static_cast<std::uint32_t>(demand.wanted));
    call->context.set_deadline(std::chrono::system_clock::now() + internal::tokenTimeout);
    m_implementation->start("TakeTokens", call, [call, callback = std::move(callback)](bool ok) {
        if (!ok || call->reply.unknown())
            return callback({ ok, std::nullopt });
        callback({ ok, TokenGrant { static_cast<int>(call->reply.granted()), std::chrono::milliseconds(call->reply.retry_after_ms()) } });
    });
}

namespace internal {

    using PlaceCall = Call<protocol::PlaceRequest, protocol::PlaceReply>;

    std::shared_ptr<PlaceCall> makePlaceCall(PeerChannels& channels, const Endpoint& endpoint, const std::vector<PlacementOutcome>& outcomes)
    {
        auto call = std::make_shared<PlaceCall>();
        call->channel = channels.to(endpoint);
        call->request = std::make_unique<protocol::PlaceRequest>();
        for (const PlacementOutcome& outcome : outcomes)
            encode(outcome, *call->request->add_outcomes());
        return call;
    }

    std::optional<PlacementDecision> decodePlaceReply(const protocol::PlaceReply& reply)
    {
        if (reply.unknown())
            return std::nullopt;
        PlacementDecision decision { std::nullopt, reply.number(), reply.loss() / hundredths, std::chrono::milliseconds(reply.room_after_ms()), reply.allowance_used(), reply.waits(), reply.refused_share() / hundredths };
        if (!reply.server().empty())
            decision.server = BackendServerId(reply.server());
        return decision;
    }

} // namespace internal

void GatewayCalls::place(const Endpoint& endpoint, const PlacementCell& cell, const PlacementDemand& demand, const std::vector<PlacementOutcome>& outcomes, PlacementCallback callback)
{
    const auto call = internal::makePlaceCall(m_implementation->channels, endpoint, outcomes);
    internal::encode(cell, demand, *call->request->mutable_demand());
    call->context.set_deadline(std::chrono::system_clock::now() + internal::placementTimeout);
    m_implementation->start("Place", call, [call, callback = std::move(callback)](bool ok) {
        callback({ ok, ok ? internal::decodePlaceReply(call->reply) : std::nullopt });
    });
}

void GatewayCalls::reportOutcomes(const Endpoint& endpoint, const std::vector<PlacementOutcome>& outcomes, DeliveryCallback callback)
{
    const auto call = internal::makePlaceCall(m_implementation->channels, endpoint, outcomes);
    call->context.set_deadline(std::chrono::system_clock::now() + internal::exchangeTimeout);
    m_implementation->start("Place", call, std::move(callback));
}

} // namespace lacewingsail
