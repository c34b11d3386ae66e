#include "FreePort.h"

#include <lacewingsail/Exchange.h>

#include <lacewingsail/exchange.grpc.pb.h>

#include <doctest/doctest.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace lacewingsail;
using lacewingsail::testing::freePort;

namespace {

/// \brief An event loop whose tasks run when the test says so.
class HeldLoop final : public EventLoop {
public:
    void post(Handler task) override
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        m_arrived.notify_all();
    }
    void after(std::chrono::milliseconds, Handler task) override { post(std::move(task)); }

    void awaitTask()
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait(lock, [this] { return !m_tasks.empty(); });
    }

    std::size_t taskCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_tasks.size();
    }

    void runOne()
    {
        awaitTask();
        std::unique_lock lock(m_mutex);
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<Handler> m_tasks;
};

struct GatewayCallsFixture {
    GatewayCalls::Handlers handlers { [](const protocol::ExchangeRequest&, protocol::ExchangeReply&) {}, [](const TokenDemand&) { return std::optional<TokenGrant>(); },
        [](const PlacementCell&, const PlacementDemand&, const DecisionCallback& callback) { callback(std::nullopt); }, [](std::span<const PlacementOutcome>) {} };
    HeldLoop callerLoop;
    HeldLoop calledLoop;
    Endpoint calledEndpoint { "127.0.0.1", freePort() };
    std::error_code error;
    std::unique_ptr<GatewayCalls> caller = std::make_unique<GatewayCalls>(callerLoop, Endpoint { "127.0.0.1", freePort() }, handlers, error);
    std::unique_ptr<GatewayCalls> called = std::make_unique<GatewayCalls>(calledLoop, calledEndpoint, handlers, error);

    GatewayCallsFixture() { REQUIRE_FALSE(error); }

    // On a busy machine a call may fail at its deadline before it has reached the other host; it is then made again.
    void exchangeUntilReceived(const std::function<void(const protocol::ExchangeReply*)>& callback)
    {
        do {
            while (callerLoop.taskCount() > 0)
                callerLoop.runOne();
            caller->exchange(calledEndpoint, std::make_unique<protocol::ExchangeRequest>(), callback);
            while (calledLoop.taskCount() == 0 && callerLoop.taskCount() == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        } while (calledLoop.taskCount() == 0);
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewayCallsFixture, "exchange, called host answers, reply reaches the caller's loop")
{
    bool answered = false;
    exchangeUntilReceived([&](const protocol::ExchangeReply* reply) { answered = reply != nullptr; });
    calledLoop.runOne();
    callerLoop.runOne();
    CHECK(answered);
}

// The event loop of a host that stops runs no further tasks. The shutdown of its server must not wait for their answers.
TEST_CASE_FIXTURE(GatewayCallsFixture, "destructor, call that the event loop does not answer any more, fails the call and returns")
{
    bool failed = false;
    exchangeUntilReceived([&](const protocol::ExchangeReply* reply) { failed = reply == nullptr; });
    called.reset();
    callerLoop.runOne();
    CHECK(failed);
}

// The callback of a call runs on a thread of the library, which the destruction must not leave behind.
TEST_CASE_FIXTURE(GatewayCallsFixture, "destructor, own call in flight, cancels the call before it returns")
{
    bool failed = false;
    exchangeUntilReceived([&](const protocol::ExchangeReply* reply) { failed = reply == nullptr; });
    caller.reset();
    CHECK(callerLoop.taskCount() == 1);
    callerLoop.runOne();
    CHECK(failed);
}

namespace {

/// \brief The called host answers demands when the test says so.
struct HeldPlacementFixture : GatewayCallsFixture {
    DecisionCallback held;
    std::vector<std::uint64_t> cancelled;
    std::unique_ptr<GatewayCalls> coordinator;
    Endpoint coordinatorEndpoint { "127.0.0.1", freePort() };
    PlacementDemand demand;
    std::optional<HostCalls::PlaceCallResult> result;

    HeldPlacementFixture()
    {
        GatewayCalls::Handlers holding = handlers;
        holding.place = [this](const PlacementCell&, const PlacementDemand&, DecisionCallback callback) { held = std::move(callback); };
        holding.recordOutcomes = [this](std::span<const PlacementOutcome> outcomes) {
            for (const PlacementOutcome& outcome : outcomes)
                cancelled.push_back(outcome.placementId);
        };
        coordinator = std::make_unique<GatewayCalls>(calledLoop, coordinatorEndpoint, holding, error);
        REQUIRE_FALSE(error);
        demand.placementId = 7;
    }

    // On a busy machine a call may fail at its deadline before it has reached the other host; it is then made again.
    void placeUntilHeld()
    {
        while (!held) {
            result.reset();
            caller->place(coordinatorEndpoint, {}, demand, {}, [this](const HostCalls::PlaceCallResult& answer) { result = answer; });
            while (calledLoop.taskCount() == 0 && callerLoop.taskCount() == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            while (calledLoop.taskCount() > 0)
                calledLoop.runOne();
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(HeldPlacementFixture, "place, caller's time is over while its demand is held, the demand is cancelled")
{
    placeUntilHeld();
    callerLoop.runOne();
    REQUIRE(result);
    CHECK_FALSE(result->answered);
    while (cancelled.empty())
        calledLoop.runOne();
    CHECK(cancelled.front() == demand.placementId);
    // The coordinator answers a cancelled demand too.
    held(std::nullopt);
}

TEST_CASE_FIXTURE(HeldPlacementFixture, "destructor, demand is held, fails the call and returns")
{
    placeUntilHeld();
    coordinator.reset();
    callerLoop.runOne();
    REQUIRE(result);
    CHECK_FALSE(result->answered);
}

TEST_CASE_FIXTURE(HeldPlacementFixture, "place, demand is answered in a later turn, reply reaches the caller's loop")
{
    // On a busy machine the caller may have given up in between.
    for (int attempt = 0; attempt < 20 && !(result && result->answered); ++attempt) {
        held = nullptr;
        placeUntilHeld();
        held(PlacementDecision { BackendServerId("i-1"), demand.placementId, 0, {}, false, false });
        callerLoop.runOne();
    }
    REQUIRE(result);
    REQUIRE(result->reply);
    CHECK(result->reply->server == BackendServerId("i-1"));
}
