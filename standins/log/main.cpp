/// \brief Stand-in for the platform's append-only log service.
///
/// POST /streams/NAME/records            appends the body
/// GET  /streams/NAME/records?from=&wait_ms=   reads, waiting for a first record
/// POST /control  {"outage":bool, "slow_ms":n, "lose_answers":n, "retain_records":n, "retain_ms":n,
///                 "appends_per_second":n}   switches faults; 0 is no limit

#include "../common/Options.h"

#include <lacewingsail/Http.h>

#include <boost/json.hpp>

#include <condition_variable>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace lacewingsail::standins {

namespace json = boost::json;

namespace {

    constexpr int handlerThreads = 192;
    constexpr std::size_t largestPage = 500;

    using Clock = std::chrono::steady_clock;

    struct Record {
        std::string body;
        Clock::time_point appendedAt;
    };

    struct Stream {
        std::uint64_t earliest = 0;
        std::deque<Record> records;
    };

    struct Faults {
        bool outage = false;
        std::chrono::milliseconds delay { 0 };
        int lostAnswers = 0;
        std::size_t retainedRecords = 1'000'000;
        std::chrono::milliseconds retention { 0 };
        std::int64_t appendsPerSecond = 0;
    };

    class LogStore {
    public:
        HttpResponse answer(const HttpRequest& request)
        {
            if (pathOf(request.target) == "/control")
                return control(request);
            std::this_thread::sleep_for(delay());
            const std::string stream = streamOf(pathOf(request.target));
            if (stream.empty())
                return { 404, {}, "no such resource\n" };
            return request.method == "POST" ? append(stream, request.body) : read(stream, request.target);
        }

    private:
        static std::string streamOf(std::string_view path)
        {
            constexpr std::string_view prefix = "/streams/";
            constexpr std::string_view suffix = "/records";
            if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
                return {};
            return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
        }

        std::chrono::milliseconds delay()
        {
            const std::lock_guard lock(m_mutex);
            return m_faults.delay;
        }

        HttpResponse control(const HttpRequest& request)
        {
            const json::object settings = json::parse(request.body).as_object();
            const std::lock_guard lock(m_mutex);
            if (const auto* value = settings.if_contains("outage"))
                m_faults.outage = value->as_bool();
            if (const auto* value = settings.if_contains("slow_ms"))
                m_faults.delay = std::chrono::milliseconds(value->as_int64());
            if (const auto* value = settings.if_contains("lose_answers"))
                m_faults.lostAnswers = static_cast<int>(value->as_int64());
            if (const auto* value = settings.if_contains("retain_records"))
                m_faults.retainedRecords = static_cast<std::size_t>(value->as_int64());
            if (const auto* value = settings.if_contains("retain_ms"))
                m_faults.retention = std::chrono::milliseconds(value->as_int64());
            if (const auto* value = settings.if_contains("appends_per_second"))
                m_faults.appendsPerSecond = value->as_int64();
            m_changed.notify_all();
            return { 200, {}, "{}" };
        }

        HttpResponse append(const std::string& name, const std::string& body)
        {
            const std::lock_guard lock(m_mutex);
            if (m_faults.outage)
                return { 503, {}, "outage\n" };
            if (!withinLimit())
                return { 503, {}, "too many appends\n" };
            Stream& stream = m_streams[name];
            const std::uint64_t offset = stream.earliest + stream.records.size();
            stream.records.push_back({ body, Clock::now() });
            expire(stream);
            m_changed.notify_all();
            if (m_faults.lostAnswers > 0) {
                --m_faults.lostAnswers;
                return { 504, {}, "answer lost\n" };
            }
            return { 200, {}, json::serialize(json::object { { "offset", offset } }) };
        }

        // Counts appends of all streams in windows of a second.
        bool withinLimit()
        {
            const Clock::time_point now = Clock::now();
            if (now - m_windowBegan >= std::chrono::seconds(1)) {
                m_windowBegan = now;
                m_appendsInWindow = 0;
            }
            ++m_appendsInWindow;
            return m_faults.appendsPerSecond == 0 || m_appendsInWindow <= m_faults.appendsPerSecond;
        }

        bool isExpired(const Stream& stream) const
        {
            if (stream.records.size() > m_faults.retainedRecords)
                return true;
            return m_faults.retention.count() > 0 && Clock::now() - stream.records.front().appendedAt > m_faults.retention;
        }

        void expire(Stream& stream) const
        {
            while (!stream.records.empty() && isExpired(stream)) {
                stream.records.pop_front();
                ++stream.earliest;
            }
        }

        HttpResponse read(const std::string& name, std::string_view target)
        {
            const std::uint64_t from = std::stoull(queryValue(target, "from", "0"));
            const std::chrono::milliseconds wait(std::stoll(queryValue(target, "wait_ms", "0")));
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, wait, [&] {
                const Stream& stream = m_streams[name];
                return m_faults.outage || stream.earliest + stream.records.size() > from;
            });
            if (m_faults.outage)
                return { 503, {}, "outage\n" };
            expire(m_streams[name]);
            return page(m_streams[name], from);
        }

        static HttpResponse page(const Stream& stream, std::uint64_t from)
        {
            json::array records;
            std::uint64_t offset = std::max(from, stream.earliest);
            for (; offset < stream.earliest + stream.records.size() && records.size() < largestPage; ++offset)
                records.emplace_back(json::object { { "offset", offset }, { "body", stream.records[offset - stream.earliest].body } });
            return { 200, {}, json::serialize(json::object { { "earliest", stream.earliest }, { "next", offset }, { "records", std::move(records) } }) };
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::string, Stream> m_streams;
        Faults m_faults;
        Clock::time_point m_windowBegan;
        std::int64_t m_appendsInWindow = 0;
    };

    HttpResponse answerSafely(LogStore& store, const HttpRequest& request)
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
    standins::LogStore store;
    std::error_code error;
    const HttpServer server(
        options.listen.front(), standins::handlerThreads, [&](const HttpRequest& request) { return standins::answerSafely(store, request); }, error);
    if (error) {
        std::cerr << "standin-log: " << error.message() << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
