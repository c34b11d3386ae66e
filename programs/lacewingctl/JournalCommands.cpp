#include "Command.h"
#include "Hosts.h"

#include <iostream>
#include <map>
#include <thread>

namespace lacewingsail {

namespace {

    constexpr std::chrono::milliseconds watchInterval { 500 };

    std::vector<std::string> eventsOf(const HostAnswer& answer)
    {
        std::vector<std::string> lines;
        if (answer.error || !answer.body.is_object() || !answer.body.as_object().contains("events"))
            return lines;
        for (const auto& line : answer.body.at("events").as_array())
            lines.emplace_back(std::string(line.as_string()));
        return lines;
    }

    // Only what may stand in a query as it is; the journal's own words are made of nothing else.
    bool isPlain(const std::string& text)
    {
        return text.find_first_of(" &#%+\"\r\n") == std::string::npos;
    }

    void printLine(const Invocation& invocation, const HostId& host, const std::string& line)
    {
        if (invocation.output == OutputFormat::Json)
            std::cout << boost::json::serialize(boost::json::object { { "host", host.value() }, { "event", line } }) << std::endl;
        else
            std::cout << host.value() << ": " << line << std::endl;
    }

    // Where to read on in each host's journal.
    using Positions = std::map<HostId, std::uint64_t>;

    void printNews(const Invocation& invocation, const std::vector<Host>& hosts, Positions& positions)
    {
        for (const Host& host : hosts) {
            const HostAnswer answer = askHost(invocation, host, "GET", "/journal?after=" + std::to_string(positions[host.id]));
            for (const std::string& line : eventsOf(answer))
                printLine(invocation, host.id, line);
            if (!answer.error && answer.body.is_object() && answer.body.as_object().contains("next"))
                positions[host.id] = answer.body.at("next").to_number<std::uint64_t>();
        }
    }

} // namespace

Outcome runExplain(const Invocation& invocation)
{
    const std::string& subject = invocation.arguments.front();
    if (!isPlain(subject))
        return failure(ResultCode::InvalidArgument, "TEXT must be one plain word, such as the id of a request or the name of a backend server");
    std::error_code listError;
    const std::vector<Host> hosts = listHosts(invocation, listError);
    if (listError)
        return failure(listError, "host list " + text(invocation.hostList));
    const auto answers = askHosts(invocation, hosts, "GET", "/journal?contains=" + subject);
    Outcome outcome;
    boost::json::array rows;
    for (const HostAnswer& answer : answers) {
        for (const std::string& line : eventsOf(answer)) {
            rows.emplace_back(boost::json::object { { "host", answer.host.id.value() }, { "event", line } });
            outcome.text += answer.host.id.value() + ": " + line + '\n';
        }
    }
    if (rows.empty())
        outcome.text = "no host has noted anything about " + subject + '\n';
    outcome.fields["events"] = std::move(rows);
    const auto silent = silentHosts(answers);
    if (!silent.empty()) {
        outcome.error = ResultCode::HostUnreachable;
        outcome.detail = joinNames(silent);
    }
    return outcome;
}

Outcome runWatch(const Invocation& invocation)
{
    const SystemClock clock;
    const MonotonicTime giveUp = clock.now() + invocation.timeout();
    Positions positions;
    // Without a time-out it goes on until it is interrupted.
    while (!invocation.has("timeout") || clock.now() < giveUp) {
        std::error_code error;
        const std::vector<Host> hosts = listHosts(invocation, error);
        if (error)
            return failure(error, "host list " + text(invocation.hostList));
        printNews(invocation, hosts, positions);
        std::this_thread::sleep_for(watchInterval);
    }
    return {};
}

Outcome runDrain(const Invocation& invocation)
{
    const std::string& name = invocation.arguments.front();
    std::error_code error;
    for (const Host& host : listHosts(invocation, error)) {
        if (host.id.value() != name)
            continue;
        const HostAnswer answer = askHost(invocation, host, "POST", "/drain");
        if (answer.error)
            return failure(answer.error, name);
        Outcome outcome;
        outcome.fields["host"] = name;
        outcome.text = "draining host=" + name + '\n';
        return outcome;
    }
    if (error)
        return failure(error, "host list " + text(invocation.hostList));
    return failure(ResultCode::InvalidArgument, "no listed host is named " + name);
}

} // namespace lacewingsail
