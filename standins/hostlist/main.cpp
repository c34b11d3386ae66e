/// \brief Stand-in for the platform's lagging list of live and leaving hosts.
///
/// GET  /hosts?viewer=ID   the list, as of the lag ago
/// POST /control  {"hosts":[...], "lag_ms":n, "views":{"VIEWER":{"HOST":"IP:PORT"}}}
///   hosts replaces the list; views replaces, for one viewer, the address at which it reaches another host's peer
///   listener, so that a test can put a relay into a single direction of a single link.

#include "../common/Options.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Wire.h>

#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>

namespace lacewingsail::standins {

namespace json = boost::json;

namespace {

    constexpr int handlerThreads = 8;

    class ListStore {
    public:
        HttpResponse answer(const HttpRequest& request)
        {
            if (pathOf(request.target) == "/control")
                return control(request);
            if (pathOf(request.target) == "/hosts")
                return list(queryValue(request.target, "viewer", ""));
            return { 404, {}, "no such resource\n" };
        }

    private:
        using Clock = std::chrono::steady_clock;

        struct Edition {
            Clock::time_point since;
            std::vector<Host> hosts;
        };

        HttpResponse control(const HttpRequest& request)
        {
            const json::object settings = json::parse(request.body).as_object();
            const std::lock_guard lock(m_mutex);
            if (const auto* value = settings.if_contains("lag_ms"))
                m_lag = std::chrono::milliseconds(value->as_int64());
            if (const auto* views = settings.if_contains("views"))
                readViews(views->as_object());
            if (settings.contains("hosts")) {
                Problems problems;
                auto hosts = parseHostList(json::serialize(json::object { { "hosts", settings.at("hosts") } }), problems);
                if (!hosts)
                    return { 400, {}, text(problems) };
                m_editions.push_back({ Clock::now(), std::move(*hosts) });
            }
            return { 200, {}, "{}" };
        }

        void readViews(const json::object& views)
        {
            m_views.clear();
            for (const auto& viewer : views) {
                for (const auto& host : viewer.value().as_object())
                    parseEndpoint(std::string(host.value().as_string()), m_views[std::string(viewer.key())][std::string(host.key())]);
            }
        }

        HttpResponse list(const std::string& viewer)
        {
            const std::lock_guard lock(m_mutex);
            const auto visible = Clock::now() - m_lag;
            while (m_editions.size() > 1 && m_editions[1].since <= visible)
                m_editions.pop_front();
            std::vector<Host> hosts;
            if (!m_editions.empty() && m_editions.front().since <= visible)
                hosts = m_editions.front().hosts;
            for (Host& host : hosts) {
                const auto& view = m_views[viewer];
                if (const auto found = view.find(host.id.value()); found != view.end())
                    host.peers = found->second;
            }
            return { 200, {}, formatHostList(hosts) };
        }

        std::mutex m_mutex;
        std::chrono::milliseconds m_lag { 0 };
        std::deque<Edition> m_editions;
        std::map<std::string, std::map<std::string, Endpoint>> m_views;
    };

    HttpResponse answerSafely(ListStore& store, const HttpRequest& request)
    {
        try {
            return store.answer(request);
        } catch (const std::exception& problem) {
            return { 400, {}, std::string(problem.what()) + '\n' };
        }
    }

} // namespace

} // namespace lacewingsail::standins

int main(int argumentCount, char** arguments)
{
    using namespace lacewingsail;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto options = standins::parseOptions(argumentCount, const_cast<const char**>(arguments));
    standins::ListStore store;
    std::error_code error;
    const HttpServer server(
        options.listen.front(), standins::handlerThreads, [&](const HttpRequest& request) { return standins::answerSafely(store, request); }, error);
    if (error) {
        std::cerr << "standin-host-list: " << error.message() << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
