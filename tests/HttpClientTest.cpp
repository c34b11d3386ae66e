#include "ProxyFixture.h"

#include <lacewingsail/Http.h>

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace lacewingsail;
using lacewingsail::testing::ScriptedBackend;

namespace {

constexpr std::chrono::seconds generousTimeout { 30 };

// A server whose answers to /wait are held back until the fixture ends.
struct HttpClientFixture {
    std::mutex mutex;
    std::condition_variable changed;
    bool waiting = false;
    bool released = false;
    std::error_code error;
    Endpoint endpoint;
    std::unique_ptr<HttpServer> server;

    HttpClientFixture()
    {
        // The first free port of a range that nothing else of the tests uses.
        for (std::uint16_t port = 28100; port < 28200; ++port) {
            endpoint = { "127.0.0.1", port };
            server = std::make_unique<HttpServer>(
                endpoint, 2, [this](const HttpRequest& request) { return answer(request); }, error);
            if (!error)
                break;
        }
        REQUIRE_FALSE(error);
    }

    ~HttpClientFixture()
    {
        const std::lock_guard lock(mutex);
        released = true;
        changed.notify_all();
    }

    HttpResponse answer(const HttpRequest& request)
    {
        std::unique_lock lock(mutex);
        if (request.target == "/wait") {
            waiting = true;
            changed.notify_all();
            changed.wait(lock, [this] { return released; });
        }
        return { 200, {}, request.body };
    }
};

} // namespace

TEST_CASE_FIXTURE(HttpClientFixture, "send, two requests on a kept connection, each has its own answer")
{
    HttpClient client(endpoint);
    CHECK(client.send({ "POST", "/", {}, "one" }, generousTimeout, error).body == "one");
    CHECK(client.send({ "POST", "/", {}, "two" }, generousTimeout, error).body == "two");
    CHECK_FALSE(error);
}

TEST_CASE_FIXTURE(HttpClientFixture, "interrupt, request under way, fails it and every later one")
{
    HttpClient client(endpoint);
    std::error_code waitError;
    std::thread sender([&] { client.send({ "GET", "/wait", {}, {} }, generousTimeout, waitError); });
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return waiting; });
    }
    client.interrupt();
    sender.join();
    CHECK(waitError);
    client.send({ "GET", "/", {}, {} }, generousTimeout, error);
    CHECK(error);
}

TEST_CASE("send, surplus response after the first one, is not taken for the second one")
{
    const ScriptedBackend server([](const std::string&, int count) -> ScriptedBackend::Reply {
        const std::string response = "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n" + std::to_string(count % 10);
        return { response + response };
    });
    HttpClient client(server.endpoint());
    std::error_code error;
    const std::string first = client.send({ "GET", "/", {}, {} }, generousTimeout, error).body;
    const std::string second = client.send({ "GET", "/", {}, {} }, generousTimeout, error).body;
    CHECK_FALSE(error);
    CHECK(first != second);
    CHECK(server.connections() == 2);
}

TEST_CASE("send, response that is no valid message, is an error")
{
    const std::string length = "Content-Length: 1\r\n";
    for (const std::string& response : { "HTTP/1.1 000 X\r\n" + length + "\r\n1", "HTTP/1.1 101 X\r\n" + length + "\r\n1", "HTTP/1.1 600 X\r\n" + length + "\r\n1", "HTTP/1.1 200 X\r\nA: 1\r\n B: 1\r\n" + length + "\r\n1",
             "HTTP/1.1 200 X\r\nA B: 1\r\n" + length + "\r\n1", "HTTP/1.1 200 X\r\nA\x01: 1\r\n" + length + "\r\n1", "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n" + length + "\r\n1",
             std::string("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nA: 1\r\n B: 1\r\n\r\n"), std::string("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n1") }) {
        CAPTURE(response);
        const ScriptedBackend server([&](const std::string&, int) -> ScriptedBackend::Reply { return { response, ScriptedBackend::Reply::Then::Close }; });
        HttpClient client(server.endpoint());
        std::error_code error;
        const HttpResponse received = client.send({ "GET", "/", {}, {} }, generousTimeout, error);
        CHECK(error);
        CHECK(received.body.empty());
    }
}

TEST_CASE("send, response in chunks or up to the end of the connection, is whole")
{
    for (const std::string response : { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n1\r\n2\r\n0\r\nA: 1\r\n\r\n", "HTTP/1.1 200 X\r\n\r\n12", "HTTP/1.0 200 X\r\n\r\n12", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n12" }) {
        CAPTURE(response);
        const ScriptedBackend server([&](const std::string&, int) -> ScriptedBackend::Reply { return { response, ScriptedBackend::Reply::Then::Close }; });
        HttpClient client(server.endpoint());
        std::error_code error;
        CHECK(client.send({ "GET", "/", {}, {} }, generousTimeout, error).body == "12");
        CHECK_FALSE(error);
    }
}
