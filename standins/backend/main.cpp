/// \brief Stand-in for backend servers: one process plays several, one for each --listen.
///
/// Towards the fleet, each server answers
///   GET  .../archive/NAME?bytes=N   N bytes that depend on NAME only, with Range and a strong ETag
///   POST anything                   one effect, counted; the answer names it
///   GET  /health                    healthy, whatever the faults, unless told otherwise
///   GET  anything else              a small JSON answer that names the server and the path
/// It works on `slots` requests at a time, queues some more, and sheds the rest.
///
/// On the control listener
///   POST /faults   {"server":"IP:PORT", "stall":bool, "slow_ms":n, "error":bool, "wrong":bool, "truncate_after":n,
///                   "stall_after":n, "shed":bool, "leaving":bool, "unhealthy":bool, "slots":n, "work_ms":n,
///                   "flap_ms":n, "cold_ms":n, "surplus":bool, "load_says":n}
///     wrong sends the answer to the server's previous request, surplus sends each small answer twice, flap_ms
///     stalls in every other period of n ms, cold_ms starts the server anew: slow at first, less so until n ms have
///     passed; load_says reports n requests whatever the load.
///   GET  /effects  every effect: server, request id, idempotency key, path
///   GET  /seen     counts of requests for each server, and of requests that carried a key
///   POST /watch    {"text":"..."}: a request with this text in any field, its target or its body carried a key
///   GET  /requests every request but probes: server, request id, path, when it was received and when it was run (0 if it
///                  was not), in seconds of the machine's monotonic clock

#include "../common/Options.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Policy.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace lacewingsail::standins {

namespace json = boost::json;
namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr int controlThreads = 2;
    constexpr int mostQueued = 24;
    constexpr std::size_t pieceBytes = 16 * 1024;
    constexpr std::chrono::milliseconds stallCheckInterval { 20 };
    constexpr std::chrono::milliseconds queueCheckInterval { 2 };
    constexpr std::int64_t coldestExtraMilliseconds = 200;

    struct Faults {
        bool stall = false;
        bool error = false;
        bool wrong = false;
        bool shed = false;
        bool leaving = false;
        bool unhealthy = false;
        bool surplus = false;
        std::int64_t slowMilliseconds = 0;
        std::int64_t workMilliseconds = 1;
        std::int64_t truncateAfter = -1;
        std::int64_t stallAfter = -1;
        std::int64_t slots = 6;
        std::int64_t flapMilliseconds = 0;
        std::int64_t coldMilliseconds = 0;
        std::int64_t loadSays = -1;
        std::chrono::steady_clock::time_point startedAt;
    };

    struct Effect {
        std::string server;
        std::string requestId;
        std::string idempotencyKey;
        std::string path;
    };

    struct SeenRequest {
        std::string server;
        std::string requestId;
        std::string path;
        double received = 0;
        double ran = 0;
    };

    double monotonicSeconds()
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    struct Server {
        std::string name;
        Faults faults;
        std::int64_t working = 0;
        std::int64_t waiting = 0;
        std::int64_t requests = 0;
        std::int64_t cancelled = 0;
        std::string previousRequestId;
        std::string previousBody;
    };

    /// \brief All servers of the process. The mutex is held for moments only.
    struct World {
        std::mutex mutex;
        std::map<std::string, Server> servers;
        std::vector<Effect> effects;
        std::vector<SeenRequest> requests;
        std::string keyText;
        std::int64_t requestsWithKey = 0;
    };

    using Request = http::request<http::string_body>;

    class Connection {
    public:
        Connection(World& world, std::string server, beast::tcp_stream stream)
            : m_world(world)
            , m_server(std::move(server))
            , m_stream(std::move(stream))
        {
            m_stream.expires_never();
        }

        net::awaitable<void> serve()
        {
            beast::flat_buffer buffer;
            bool keep = true;
            while (keep) {
                Request request;
                co_await http::async_read(m_stream, buffer, request, net::use_awaitable);
                keep = co_await answer(request);
            }
        }

    private:
        static std::int64_t millisecondsSince(std::chrono::steady_clock::time_point time)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - time).count();
        }

        Faults faults()
        {
            const std::lock_guard lock(m_world.mutex);
            Faults active = m_world.servers[m_server].faults;
            const std::int64_t age = millisecondsSince(active.startedAt);
            if (active.flapMilliseconds > 0 && age / active.flapMilliseconds % 2 == 0)
                active.stall = true;
            if (age < active.coldMilliseconds)
                active.slowMilliseconds += coldestExtraMilliseconds * (active.coldMilliseconds - age) / active.coldMilliseconds;
            return active;
        }

        net::awaitable<void> pause(std::chrono::milliseconds duration)
        {
            net::steady_timer timer(m_stream.get_executor(), duration);
            co_await timer.async_wait(net::use_awaitable);
        }

        bool peerGone()
        {
            boost::system::error_code error;
            char byte = 0;
            m_stream.socket().non_blocking(true, error);
            m_stream.socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
            return error && error != net::error::would_block;
        }

        // A stalled server neither answers nor closes; it gives up when the other side does.
        net::awaitable<void> stall()
        {
            while (!peerGone() && (faults().stall || faults().stallAfter >= 0))
                co_await pause(stallCheckInterval);
        }

        static bool carries(const Request& request, const std::string& text)
        {
            if (request.target().find(text) != std::string_view::npos || request.body().find(text) != std::string::npos)
                return true;
            return std::ranges::any_of(request, [&text](const auto& field) { return field.value().find(text) != std::string_view::npos; });
        }

        // Returns the place of the request in the list of all.
        std::size_t count(const Request& request)
        {
            const std::lock_guard lock(m_world.mutex);
            ++m_world.servers[m_server].requests;
            if (request.count(http::field::authorization) != 0 || (!m_world.keyText.empty() && carries(request, m_world.keyText)))
                ++m_world.requestsWithKey;
            m_world.requests.push_back({ m_server, std::string(request["X-Request-Id"]), std::string(request.target()), monotonicSeconds(), 0 });
            return m_world.requests.size() - 1;
        }

        void markRun(std::size_t place)
        {
            const std::lock_guard lock(m_world.mutex);
            m_world.requests[place].ran = monotonicSeconds();
        }

        // Takes a slot, waiting for one. Returns false if the queue is full or the caller has gone.
        net::awaitable<bool> takeSlot()
        {
            {
                const std::lock_guard lock(m_world.mutex);
                Server& server = m_world.servers[m_server];
                if (server.working < server.faults.slots) {
                    ++server.working;
                    co_return true;
                }
                if (server.waiting >= mostQueued)
                    co_return false;
                ++server.waiting;
            }
            for (;;) {
                co_await pause(queueCheckInterval);
                const bool gone = peerGone();
                const std::lock_guard lock(m_world.mutex);
                Server& server = m_world.servers[m_server];
                if (gone || server.working < server.faults.slots) {
                    --server.waiting;
                    server.working += gone ? 0 : 1;
                    server.cancelled += gone ? 1 : 0;
                    co_return !gone;
                }
            }
        }

        void releaseSlot()
        {
            const std::lock_guard lock(m_world.mutex);
            --m_world.servers[m_server].working;
        }

        std::string load()
        {
            const std::lock_guard lock(m_world.mutex);
            const Server& server = m_world.servers[m_server];
            const std::int64_t load = server.faults.loadSays >= 0 ? server.faults.loadSays : server.working + server.waiting;
            return std::to_string(load) + '/' + std::to_string(server.faults.slots);
        }

        template <typename Body>
        void complete(http::response<Body>& response, const Request& request, const Faults& active)
        {
            response.version(11);
            response.keep_alive(request.keep_alive());
            std::string id(request["X-Request-Id"]);
            {
                const std::lock_guard lock(m_world.mutex);
                Server& server = m_world.servers[m_server];
                const std::string previous = std::exchange(server.previousRequestId, id);
                if (active.wrong)
                    id = previous;
            }
            if (!id.empty())
                response.set("X-Request-Id", id);
            response.set("X-Load", load());
            response.set("X-Server", m_server);
        }

        // Remembers the body; a server that crosses answers sends the one before.
        std::string exchangeBody(std::string body, bool wrong)
        {
            const std::lock_guard lock(m_world.mutex);
            std::string previous = std::exchange(m_world.servers[m_server].previousBody, body);
            return wrong ? previous : body;
        }

        net::awaitable<bool> sendSmall(const Request& request, unsigned status, std::string body, const char* notRun = nullptr)
        {
            http::response<http::string_body> response;
            response.result(status);
            const Faults active = faults();
            complete(response, request, active);
            response.set(http::field::content_type, "application/json");
            if (notRun)
                response.set("X-Not-Run", notRun);
            response.body() = exchangeBody(std::move(body), active.wrong);
            response.prepare_payload();
            co_await http::async_write(m_stream, response, net::use_awaitable);
            if (active.surplus)
                co_await http::async_write(m_stream, response, net::use_awaitable);
            co_return response.keep_alive();
        }

        net::awaitable<bool> answer(const Request& request)
        {
            const Faults active = faults();
            if (request.target() == "/health")
                co_return co_await sendSmall(request, active.unhealthy ? 503 : 200, std::string("{}"));
            const std::size_t place = count(request);
            if (active.leaving)
                co_return co_await sendSmall(request, 503, std::string("{}"), "leaving");
            if (active.shed)
                co_return co_await sendSmall(request, 503, std::string("{}"), "shed");
            const bool taken = co_await takeSlot();
            if (!taken)
                co_return co_await sendSmall(request, 503, std::string("{}"), "shed");
            // The slot is given back however the request ends.
            const std::shared_ptr<void> slot(nullptr, [this](void*) { releaseSlot(); });
            markRun(place);
            co_return co_await work(request, active);
        }

        net::awaitable<bool> work(const Request& request, const Faults& active)
        {
            if (active.stall) {
                co_await stall();
                co_return false;
            }
            co_await pause(std::chrono::milliseconds(active.workMilliseconds + active.slowMilliseconds));
            if (active.error)
                co_return co_await sendSmall(request, 500, std::string("{\"error\":true}"));
            const std::string target(request.target());
            if (request.method() == http::verb::post)
                co_return co_await recordEffect(request);
            if (target.find("/archive/") != std::string::npos)
                co_return co_await sendArchive(request, active);
            co_return co_await sendSmall(request, 200, describe("server", "path", target));
        }

        std::string describe(const char* serverField, const char* pathField, const std::string& path) const
        {
            return json::serialize(json::object { { serverField, m_server }, { pathField, path } });
        }

        net::awaitable<bool> recordEffect(const Request& request)
        {
            {
                Effect effect;
                effect.server = m_server;
                effect.requestId = std::string(request["X-Request-Id"]);
                effect.idempotencyKey = std::string(request["Idempotency-Key"]);
                effect.path = std::string(request.target());
                const std::lock_guard lock(m_world.mutex);
                m_world.effects.push_back(std::move(effect));
            }
            co_return co_await sendSmall(request, 201, describe("by", "booked", std::string(request.target())));
        }

        static char archiveByte(std::uint64_t seed, std::uint64_t position)
        {
            return static_cast<char>('a' + (seed + position * 7 + position / 251) % 26);
        }

        struct Range {
            std::uint64_t first = 0;
            std::uint64_t end = 0;
            bool partial = false;
        };

        static Range rangeOf(const Request& request, std::uint64_t size, const std::string& etag)
        {
            Range range { 0, size, false };
            constexpr std::string_view prefix = "bytes=";
            const std::string field(request[http::field::range]);
            const std::string condition(request[http::field::if_range]);
            if (!field.starts_with(prefix) || (!condition.empty() && condition != etag))
                return range;
            range.first = std::min<std::uint64_t>(std::stoull(field.substr(prefix.size())), size);
            range.partial = true;
            return range;
        }

        net::awaitable<bool> sendArchive(const Request& request, const Faults& active)
        {
            const std::string target(request.target());
            const std::uint64_t size = std::stoull(queryValue(target, "bytes", "1000"));
            const std::uint64_t seed = stableHash(pathOf(target)) % 1000;
            const std::string etag = "\"" + std::to_string(seed) + '-' + std::to_string(size) + "\"";
            if (const auto match = request[http::field::if_match]; !match.empty() && match != etag)
                co_return co_await sendSmall(request, 412, std::string("{}"));
            const Range range = rangeOf(request, size, etag);
            http::response<http::empty_body> header;
            header.result(range.partial ? 206 : 200);
            complete(header, request, active);
            header.set(http::field::etag, etag);
            header.set(http::field::accept_ranges, "bytes");
            header.content_length(range.end - range.first);
            if (range.partial)
                header.set(http::field::content_range, "bytes " + std::to_string(range.first) + '-' + std::to_string(range.end - 1) + '/' + std::to_string(size));
            http::response_serializer<http::empty_body> serializer(header);
            co_await http::async_write_header(m_stream, serializer, net::use_awaitable);
            const bool sent = co_await sendBytes(seed, range);
            co_return sent&& request.keep_alive();
        }

        net::awaitable<bool> sendBytes(std::uint64_t seed, const Range& range)
        {
            std::string piece;
            std::uint64_t sent = 0;
            while (range.first + sent < range.end) {
                const Faults active = faults();
                if (active.truncateAfter >= 0 && sent >= static_cast<std::uint64_t>(active.truncateAfter)) {
                    m_stream.close();
                    co_return false;
                }
                if (active.stallAfter >= 0 && sent >= static_cast<std::uint64_t>(active.stallAfter)) {
                    co_await stall();
                    co_return false;
                }
                piece.clear();
                for (; piece.size() < pieceBytes && range.first + sent < range.end; ++sent)
                    piece += archiveByte(seed, range.first + sent);
                co_await net::async_write(m_stream, net::buffer(piece), net::use_awaitable);
            }
            co_return true;
        }

        World& m_world;
        const std::string m_server;
        beast::tcp_stream m_stream;
    };

    net::awaitable<void> serveConnection(World& world, std::string server, net::ip::tcp::socket socket)
    {
        Connection connection(world, std::move(server), beast::tcp_stream(std::move(socket)));
        co_await connection.serve();
    }

    net::awaitable<void> acceptConnections(World& world, net::ip::tcp::acceptor& acceptor, std::string server)
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(net::use_awaitable);
            socket.set_option(net::ip::tcp::no_delay(true));
            net::co_spawn(acceptor.get_executor(), serveConnection(world, server, std::move(socket)), [](std::exception_ptr) {});
        }
    }

    void setFlag(const json::object& settings, const char* name, bool& flag)
    {
        if (const auto* value = settings.if_contains(name))
            flag = value->as_bool();
    }

    void setNumber(const json::object& settings, const char* name, std::int64_t& number)
    {
        if (const auto* value = settings.if_contains(name))
            number = value->as_int64();
    }

    HttpResponse setFaults(World& world, const HttpRequest& request)
    {
        const json::object settings = json::parse(request.body).as_object();
        const std::lock_guard lock(world.mutex);
        const auto found = world.servers.find(std::string(settings.at("server").as_string()));
        if (found == world.servers.end())
            return { 404, {}, "no such server\n" };
        Faults& faults = found->second.faults;
        setFlag(settings, "stall", faults.stall);
        setFlag(settings, "error", faults.error);
        setFlag(settings, "wrong", faults.wrong);
        setFlag(settings, "shed", faults.shed);
        setFlag(settings, "leaving", faults.leaving);
        setFlag(settings, "unhealthy", faults.unhealthy);
        setNumber(settings, "slow_ms", faults.slowMilliseconds);
        setNumber(settings, "work_ms", faults.workMilliseconds);
        setNumber(settings, "truncate_after", faults.truncateAfter);
        setNumber(settings, "stall_after", faults.stallAfter);
        setNumber(settings, "slots", faults.slots);
        setFlag(settings, "surplus", faults.surplus);
        setNumber(settings, "flap_ms", faults.flapMilliseconds);
        setNumber(settings, "cold_ms", faults.coldMilliseconds);
        setNumber(settings, "load_says", faults.loadSays);
        faults.startedAt = std::chrono::steady_clock::now();
        return { 200, {}, "{}" };
    }

    HttpResponse effects(World& world)
    {
        const std::lock_guard lock(world.mutex);
        json::array list;
        for (const Effect& effect : world.effects)
            list.emplace_back(json::object { { "server", effect.server }, { "request", effect.requestId }, { "key", effect.idempotencyKey }, { "path", effect.path } });
        return { 200, {}, json::serialize(json::object { { "effects", std::move(list) } }) };
    }

    HttpResponse seen(World& world)
    {
        const std::lock_guard lock(world.mutex);
        json::object requests;
        json::object cancelled;
        for (const auto& [name, server] : world.servers) {
            requests[name] = server.requests;
            cancelled[name] = server.cancelled;
        }
        return { 200, {}, json::serialize(json::object { { "requests", std::move(requests) }, { "cancelled", std::move(cancelled) }, { "requests_with_key", world.requestsWithKey } }) };
    }

    HttpResponse requests(World& world)
    {
        const std::lock_guard lock(world.mutex);
        json::array list;
        for (const SeenRequest& request : world.requests)
            list.emplace_back(json::object { { "server", request.server }, { "request", request.requestId }, { "path", request.path }, { "received", request.received }, { "ran", request.ran } });
        return { 200, {}, json::serialize(json::object { { "requests", std::move(list) } }) };
    }

    HttpResponse watch(World& world, const HttpRequest& request)
    {
        const json::object settings = json::parse(request.body).as_object();
        const std::lock_guard lock(world.mutex);
        world.keyText = std::string(settings.at("text").as_string());
        return { 200, {}, "{}" };
    }

    HttpResponse control(World& world, const HttpRequest& request)
    {
        try {
            const std::string_view path = pathOf(request.target);
            if (path == "/faults")
                return setFaults(world, request);
            if (path == "/effects")
                return effects(world);
            if (path == "/seen")
                return seen(world);
            if (path == "/requests")
                return requests(world);
            if (path == "/watch")
                return watch(world, request);
            return { 404, {}, "no such resource\n" };
        } catch (const std::exception& problem) {
            return { 400, {}, std::string(problem.what()) + '\n' };
        }
    }

    int run(const Options& options)
    {
        World world;
        net::io_context context { 1 };
        std::vector<std::unique_ptr<net::ip::tcp::acceptor>> acceptors;
        for (const Endpoint& endpoint : options.listen) {
            const std::string name = text(endpoint);
            world.servers[name].name = name;
            const net::ip::tcp::endpoint address(net::ip::make_address(endpoint.address), endpoint.port);
            acceptors.push_back(std::make_unique<net::ip::tcp::acceptor>(context, address, true));
            net::co_spawn(context, acceptConnections(world, *acceptors.back(), name), net::detached);
        }
        std::unique_ptr<HttpServer> controlServer;
        if (options.control.port != 0) {
            std::error_code error;
            controlServer = std::make_unique<HttpServer>(
                options.control, controlThreads, [&world](const HttpRequest& request) { return control(world, request); }, error);
            if (error) {
                std::cerr << "standin-backend: " << error.message() << '\n';
                return 1;
            }
        }
        net::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
        context.run();
        return 0;
    }

} // namespace

} // namespace lacewingsail::standins

int main(int argumentCount, char** arguments)
{
    try {
        return lacewingsail::standins::run(lacewingsail::standins::parseOptions(argumentCount, const_cast<const char**>(arguments)));
    } catch (const std::exception& problem) {
        std::cerr << "standin-backend: " << problem.what() << '\n';
        return 1;
    }
}
