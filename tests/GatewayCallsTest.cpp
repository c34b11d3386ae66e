#include "FreePort.h"

#include <lacewingsail/Exchange.h>

#include <lacewingsail/exchange.grpc.pb.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
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

namespace {

/// \brief A host that answers each call with the same frames of HTTP/2.
class FrameServer {
public:
    enum class Type : char {
        Data = 0,
        Headers = 1,
        Reset = 3,
        Settings = 4,
        GoAway = 7,
    };
    enum class End {
        KeepConnection,
        CloseConnection,
    };
    struct Frame {
        Type type;
        char flags;
        std::string payload;
    };

    static constexpr char endStream = 1;
    static constexpr char endHeaders = 4;

    FrameServer(std::vector<Frame> answer, End end)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(m_endpoint.port);
        const int reuse = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        m_thread = std::thread([this] { serve(); });
    }
    ~FrameServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    const Endpoint& endpoint() const { return m_endpoint; }
    int answered() const { return m_answered; }

private:
    static constexpr std::size_t prefaceBytes = 24;
    static constexpr std::size_t frameHeaderBytes = 9;

    void serve()
    {
        for (int connection = ::accept(m_listener, nullptr, nullptr); connection >= 0; connection = ::accept(m_listener, nullptr, nullptr)) {
            serveConnection(connection);
            ::close(connection);
        }
    }

    void serveConnection(int connection)
    {
        send(connection, { Type::Settings, 0, {} }, std::string(4, '\0'));
        if (!receive(connection, prefaceBytes))
            return;
        while (const auto header = receive(connection, frameHeaderBytes)) {
            const auto byteAt = [&header](std::size_t index) { return static_cast<std::size_t>(static_cast<unsigned char>((*header)[index])); };
            if (!receive(connection, byteAt(0) << 16 | byteAt(1) << 8 | byteAt(2)))
                return;
            const bool endsRequest = byteAt(3) <= static_cast<std::size_t>(Type::Headers) && (byteAt(4) & endStream) != 0;
            if (!endsRequest)
                continue;
            for (const Frame& frame : m_answer)
                send(connection, frame, header->substr(5));
            ++m_answered;
            if (m_end == End::CloseConnection)
                return;
        }
    }

    static void send(int connection, const Frame& frame, const std::string& stream)
    {
        std::string bytes;
        for (const int shift : { 16, 8, 0 })
            bytes += static_cast<char>(frame.payload.size() >> shift);
        bytes += static_cast<char>(frame.type);
        bytes += frame.flags;
        bytes += (frame.type == Type::GoAway ? std::string(4, '\0') : stream) + frame.payload;
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    static std::optional<std::string> receive(int connection, std::size_t size)
    {
        std::string bytes(size, '\0');
        if (size > 0 && ::recv(connection, bytes.data(), size, MSG_WAITALL) != static_cast<ssize_t>(size))
            return std::nullopt;
        return bytes;
    }

    const std::vector<Frame> m_answer;
    const End m_end;
    const Endpoint m_endpoint { "127.0.0.1", freePort() };
    const int m_listener;
    std::atomic<int> m_answered { 0 };
    std::thread m_thread;
};

using Frame = FrameServer::Frame;
using FrameType = FrameServer::Type;

// Literal fields without indexing.
std::string encodeFields(const std::vector<std::pair<std::string, std::string>>& fields)
{
    std::string block;
    for (const auto& [name, value] : fields)
        block += std::string(1, '\0') + static_cast<char>(name.size()) + name + static_cast<char>(value.size()) + value;
    return block;
}

Frame head(const std::string& status, const std::vector<std::pair<std::string, std::string>>& more = {})
{
    std::vector<std::pair<std::string, std::string>> fields { { ":status", status }, { "content-type", "application/grpc" } };
    fields.insert(fields.end(), more.begin(), more.end());
    return { FrameType::Headers, FrameServer::endHeaders, encodeFields(fields) };
}

// An empty message behind its prefix.
const Frame message { FrameType::Data, 0, std::string(5, '\0') };
const Frame trailer { FrameType::Headers, FrameServer::endHeaders | FrameServer::endStream, encodeFields({ { "grpc-status", "0" } }) };

/// \returns whether a call that is answered by \p frames has a reply.
bool hasReply(GatewayCallsFixture& fixture, const std::vector<Frame>& frames, FrameServer::End end = FrameServer::End::KeepConnection)
{
    const FrameServer server(frames, end);
    bool replied = false;
    // On a busy machine a call may fail at its deadline before it has reached the server; it is then made again.
    while (server.answered() == 0) {
        fixture.caller->exchange(server.endpoint(), std::make_unique<protocol::ExchangeRequest>(), [&](const protocol::ExchangeReply* reply) { replied = reply != nullptr; });
        fixture.callerLoop.runOne();
    }
    // Ends the connection, which the server waits for.
    fixture.caller.reset();
    std::error_code error;
    fixture.caller = std::make_unique<GatewayCalls>(fixture.callerLoop, Endpoint { "127.0.0.1", freePort() }, fixture.handlers, error);
    REQUIRE_FALSE(error);
    return replied;
}

} // namespace

TEST_CASE_FIXTURE(GatewayCallsFixture, "exchange, whole answer of a host, is a reply")
{
    CHECK(hasReply(*this, { head("200"), message, trailer }));
}

TEST_CASE_FIXTURE(GatewayCallsFixture, "exchange, answer with another status, is no reply")
{
    for (const char* status : { "000", "099", "101", "503", "600", "abc", "" }) {
        CAPTURE(status);
        CHECK_FALSE(hasReply(*this, { head(status), message, trailer }));
    }
}

TEST_CASE_FIXTURE(GatewayCallsFixture, "exchange, answer that is broken off, is no reply")
{
    const Frame reset { FrameType::Reset, 0, std::string(4, '\0') };
    const Frame cut { FrameType::Data, 0, std::string(5, '\x01') };
    CHECK_FALSE(hasReply(*this, { head("200"), message, reset }));
    CHECK_FALSE(hasReply(*this, { head("200"), message }, FrameServer::End::CloseConnection));
    CHECK_FALSE(hasReply(*this, { head("200"), cut, trailer }));
    CHECK_FALSE(hasReply(*this, { head("200"), trailer }));
}

TEST_CASE_FIXTURE(GatewayCallsFixture, "exchange, message that cannot be parsed, is no reply")
{
    for (const std::string bytes : { "\xff", "\x08", "\x0a\x05x" }) {
        CAPTURE(bytes);
        const Frame malformed { FrameType::Data, 0, std::string(4, '\0') + static_cast<char>(bytes.size()) + bytes };
        CHECK_FALSE(hasReply(*this, { head("200"), malformed, trailer }));
    }
}
