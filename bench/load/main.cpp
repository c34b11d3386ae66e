/// \brief `bench-load`: sends requests at a steady rate to one or more targets, interleaved in one run, and prints
/// one JSON line for each target with the distribution of the times to answer.
///
/// The arrival times are fixed before the run (open loop): a slow answer does not delay the requests behind it, and
/// the time of a request counts from when it should have been sent.

#include <lacewingsail/Observe.h>
#include <lacewingsail/World.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <popt.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <vector>

namespace lacewingsail::bench {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds requestTimeout { 10 };
    constexpr std::chrono::seconds settleTime { 1 };

    struct Options {
        std::vector<Endpoint> targets;
        int rate = 1000;
        int seconds = 5;
        int connections = 32;
        std::string path = "/clocks/free";
        std::string secret;
    };

    struct Totals {
        std::vector<std::chrono::microseconds> times;
        int failures = 0;
        int refusals = 0;
    };

    using Clock = std::chrono::steady_clock;

    /// \brief One target: requests wait here for one of its connections.
    class Target {
    public:
        Target(net::io_context& context, const Options& options, Endpoint endpoint)
            : m_context(context)
            , m_options(options)
            , m_endpoint(std::move(endpoint))
            , m_wake(context, Clock::time_point::max())
        {
        }

        void start()
        {
            for (int index = 0; index < m_options.connections; ++index)
                net::co_spawn(m_context, work(), net::detached);
        }

        void arrive(Clock::time_point due)
        {
            m_due.push_back(due);
            m_wake.cancel_one();
        }

        const Endpoint& endpoint() const { return m_endpoint; }
        Totals& totals() { return m_totals; }

    private:
        net::awaitable<void> work()
        {
            std::unique_ptr<beast::tcp_stream> stream;
            for (;;) {
                while (m_due.empty()) {
                    boost::system::error_code ignored;
                    co_await m_wake.async_wait(net::redirect_error(net::use_awaitable, ignored));
                }
                const Clock::time_point due = m_due.front();
                m_due.pop_front();
                co_await one(stream, due);
            }
        }

        net::awaitable<void> one(std::unique_ptr<beast::tcp_stream>& stream, Clock::time_point due)
        {
            boost::system::error_code error;
            if (!stream) {
                stream = std::make_unique<beast::tcp_stream>(m_context);
                stream->expires_after(requestTimeout);
                co_await stream->async_connect(net::ip::tcp::endpoint(net::ip::make_address(m_endpoint.address), m_endpoint.port), net::redirect_error(net::use_awaitable, error));
                stream->socket().set_option(net::ip::tcp::no_delay(true), error);
            }
            http::request<http::empty_body> request(http::verb::get, m_options.path, 11);
            request.set(http::field::host, text(m_endpoint));
            request.set("X-Request-Id", "load");
            if (!m_options.secret.empty())
                request.set(http::field::authorization, "Bearer " + m_options.secret);
            stream->expires_after(requestTimeout);
            if (!error)
                co_await http::async_write(*stream, request, net::redirect_error(net::use_awaitable, error));
            http::response<http::string_body> response;
            beast::flat_buffer buffer;
            if (!error)
                co_await http::async_read(*stream, buffer, response, net::redirect_error(net::use_awaitable, error));
            note(error, response.result_int(), due);
            if (error || !response.keep_alive())
                stream.reset();
        }

        void note(const boost::system::error_code& error, unsigned status, Clock::time_point due)
        {
            if (error) {
                ++m_totals.failures;
                return;
            }
            if (status >= 400)
                ++m_totals.refusals;
            m_totals.times.push_back(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - due));
        }

        net::io_context& m_context;
        const Options& m_options;
        const Endpoint m_endpoint;
        net::steady_timer m_wake;
        std::deque<Clock::time_point> m_due;
        Totals m_totals;
    };

    net::awaitable<void> generate(net::io_context& context, const Options& options, std::vector<std::unique_ptr<Target>>& targets)
    {
        const auto begin = Clock::now();
        const std::int64_t count = static_cast<std::int64_t>(options.rate) * options.seconds;
        net::steady_timer timer(context);
        for (std::int64_t index = 0; index < count; ++index) {
            const auto due = begin + std::chrono::nanoseconds(index * 1'000'000'000 / options.rate);
            if (due > Clock::now()) {
                timer.expires_at(due);
                co_await timer.async_wait(net::use_awaitable);
            }
            for (auto& target : targets)
                target->arrive(due);
        }
        timer.expires_after(settleTime);
        co_await timer.async_wait(net::use_awaitable);
        context.stop();
    }

    std::int64_t quantile(const std::vector<std::chrono::microseconds>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto position = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
        return sorted[position].count();
    }

    void report(const Options& options, Target& target)
    {
        Totals& totals = target.totals();
        std::ranges::sort(totals.times);
        std::cout << boost::json::serialize(boost::json::object {
            { "target", text(target.endpoint()) }, { "rate_per_second", options.rate }, { "seconds", options.seconds },
            { "answers", totals.times.size() }, { "refusals", totals.refusals }, { "failures", totals.failures },
            { "p50_us", quantile(totals.times, 0.5) }, { "p90_us", quantile(totals.times, 0.9) },
            { "p99_us", quantile(totals.times, 0.99) }, { "p999_us", quantile(totals.times, 0.999) } })
                  << '\n';
    }

    Options parseOptions(int argumentCount, const char** arguments)
    {
        Options options;
        char* target = nullptr;
        char* path = nullptr;
        char* secret = nullptr;
        const poptOption table[] = {
            { "target", 't', POPT_ARG_STRING, &target, 1, "send here; may be given several times", "IP:PORT" },
            { "rate", 'r', POPT_ARG_INT, &options.rate, 0, "requests a second to each target", "N" },
            { "seconds", 's', POPT_ARG_INT, &options.seconds, 0, "duration", "N" },
            { "connections", 'c', POPT_ARG_INT, &options.connections, 0, "connections to each target", "N" },
            { "path", 'p', POPT_ARG_STRING, &path, 0, "path of the requests", "PATH" },
            { "secret", 'k', POPT_ARG_STRING, &secret, 0, "secret of the key to send", "SECRET" },
            POPT_AUTOHELP POPT_TABLEEND
        };
        poptContext context = poptGetContext("bench-load", argumentCount, arguments, table, 0);
        int result = 0;
        while ((result = poptGetNextOpt(context)) > 0) {
            if (!parseEndpoint(target, options.targets.emplace_back()))
                result = -2;
        }
        if (result < -1 || options.targets.empty() || options.rate <= 0 || options.seconds <= 0 || options.connections <= 0) {
            poptPrintUsage(context, stderr, 0);
            std::exit(2);
        }
        if (path)
            options.path = path;
        if (secret)
            options.secret = secret;
        poptFreeContext(context);
        return options;
    }

    int run(const Options& options)
    {
        net::io_context context { 1 };
        std::vector<std::unique_ptr<Target>> targets;
        for (const Endpoint& endpoint : options.targets) {
            targets.push_back(std::make_unique<Target>(context, options, endpoint));
            targets.back()->start();
        }
        net::co_spawn(context, generate(context, options, targets), net::detached);
        context.run();
        for (auto& target : targets)
            report(options, *target);
        return 0;
    }

} // namespace

} // namespace lacewingsail::bench

int main(int argumentCount, char** arguments)
{
    using namespace lacewingsail::bench;
    return run(parseOptions(argumentCount, const_cast<const char**>(arguments)));
}
