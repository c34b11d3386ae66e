#pragma once

#include <lacewingsail/ConfigurationSync.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief What the fakes of one log share: its streams, what has expired, and its faults.
struct FakeLog {
    struct Stream {
        std::vector<std::string> records;
        std::size_t earliest = 0;
    };
    std::map<std::string, Stream, std::less<>> streams;
    bool away = false;
    int answersToLose = 0;
    std::size_t pageSize = 100;
    int appends = 0;

    std::size_t append(const std::string& stream, const std::string& body)
    {
        streams[stream].records.push_back(body);
        return streams[stream].records.size() - 1;
    }

    void expireUpTo(const std::string& stream, std::size_t earliest)
    {
        Stream& each = streams[stream];
        each.earliest = std::max(each.earliest, std::min(earliest, each.records.size()));
    }

    LogPage page(const std::string& stream, LogOffset from)
    {
        const Stream& each = streams[stream];
        LogPage page;
        page.earliest = LogOffset { each.earliest };
        std::size_t offset = std::max<std::size_t>(number(from), each.earliest);
        for (; offset < each.records.size() && page.records.size() < pageSize; ++offset)
            page.records.push_back({ LogOffset { offset }, each.records[offset] });
        page.next = LogOffset { offset };
        return page;
    }
};

/// \brief A client of a FakeLog.
class FakeLogService final : public LogService {
public:
    explicit FakeLogService(FakeLog& log)
        : m_log(log)
    {
    }

    LogOffset append(std::string_view stream, std::string_view body, std::error_code& error) override
    {
        error.clear();
        ++m_log.appends;
        if (m_log.away) {
            error = ResultCode::LogUnavailable;
            return {};
        }
        const std::size_t offset = m_log.append(std::string(stream), std::string(body));
        if (m_log.answersToLose > 0) {
            --m_log.answersToLose;
            error = ResultCode::LogUnavailable;
        }
        return LogOffset { offset };
    }

    LogPage read(std::string_view stream, LogOffset from, std::chrono::milliseconds, std::error_code& error) override
    {
        error.clear();
        if (m_log.away) {
            error = ResultCode::LogUnavailable;
            return {};
        }
        return m_log.page(std::string(stream), from);
    }

private:
    FakeLog& m_log;
};

/// \brief A list of hosts that stays as it is.
class FakeHostList final : public HostList {
public:
    explicit FakeHostList(std::vector<Host> hosts)
        : m_hosts(std::move(hosts))
    {
    }

    std::vector<Host> hosts(std::error_code& error) override
    {
        error.clear();
        return m_hosts;
    }

private:
    const std::vector<Host> m_hosts;
};

/// \returns hosts named "h0", "h1" and so on, spread over three zones.
inline std::vector<Host> someHosts(std::size_t count)
{
    std::vector<Host> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        Host host;
        host.id = HostId("h" + std::to_string(index));
        host.zone = ZoneId("z" + std::to_string(index % 3));
        hosts.push_back(host);
    }
    return hosts;
}

/// \returns a small valid configuration whose account has the given rate.
inline Configuration smallConfiguration(std::int64_t rate)
{
    Configuration configuration;
    BackendServer server;
    server.id = BackendServerId("s1");
    server.zone = ZoneId("z1");
    server.endpoint = { "127.0.0.1", 9000 };
    Service service;
    service.id = ServiceId("archive");
    service.backendServers = { server };
    Route route;
    route.id = RouteId("files");
    route.method = "GET";
    route.pathPrefix = "/files";
    route.service = service.id;
    ClientAccount account;
    account.id = ClientAccountId("norrland");
    account.rate = { rate };
    account.burst = wholeTokens(5);
    configuration.services = { service };
    configuration.routes = { route };
    configuration.accounts = { account };
    return configuration;
}

} // namespace lacewingsail
