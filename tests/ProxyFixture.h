#pragma once

#include <lacewingsail/Proxy.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lacewingsail::testing {

/// \brief Everything up to the end of the connection, or to its first \p bytes bytes.
std::string readAll(int socket, std::size_t bytes = std::string::npos);

/// \brief A caller that sends raw bytes.
class RawCaller {
public:
    explicit RawCaller(const Endpoint&);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    void send(const std::string& bytes);
    /// \brief Reads one answer whose length is given.
    std::string answer();
    /// \brief Reads until the other side closes.
    std::string rest();

private:
    int m_socket;
    std::string m_buffer;
};

/// \brief A backend server that answers each request with scripted bytes; "{ID}" becomes the request's id.
class ScriptedBackend {
public:
    struct Reply {
        std::string bytes;
        enum class Then {
            GoOn,
            Close,
            Stall,
        } then
            = Then::GoOn;
    };
    using Script = std::function<Reply(const std::string& request, int count)>;

    explicit ScriptedBackend(Script);
    ~ScriptedBackend();

    Endpoint endpoint() const { return m_endpoint; }
    std::vector<std::string> requests() const;
    int connections() const { return m_connections; }

private:
    void accept();
    void serve(int socket);

    const Script m_script;
    // Set while the listener is made.
    Endpoint m_endpoint;
    const int m_listener;
    std::atomic<int> m_connections { 0 };
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// \brief A proxy in front of two backend servers that share one script.
struct ProxyFixture {
    explicit ProxyFixture(ScriptedBackend::Script);

    /// \brief Sends one request on a connection of its own and reads to the end.
    std::string exchange(const std::string& request) const;

    std::size_t requestCount() const { return first.requests().size() + second.requests().size(); }

    struct AdmitAll final : Admission {
        void admit(const ClientAccount&, MonotonicTime, Callback answer) override { answer(ResultCode::Ok); }
    };
    struct IgnoreEvidence final : EvidenceSink {
        void observe(const AttemptEvidence&) override { }
    };
    struct RunAll final : BookingClaims {
        void claim(BookingClaim, MonotonicTime, Callback answer) override { answer({ ClaimVerdict::Run, {} }); }
        void finish(BookingOutcome outcome) override { results.push_back(outcome.result); }
        std::vector<BookingResult> results;
    };

    ScriptedBackend first;
    ScriptedBackend second;
    HostSettings settings;
    SystemClock clock;
    SnapshotCell snapshot;
    AdmitAll admission;
    IgnoreEvidence evidence;
    Metrics metrics { 64 };
    Journal journal { 64 };
    RunAll bookings;
    std::unique_ptr<ProxyServer> proxy;
};

} // namespace lacewingsail::testing
