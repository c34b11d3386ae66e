#include "Hosts.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Platform.h>

#include <algorithm>
#include <thread>

namespace lacewingsail {

namespace {

    constexpr std::size_t hostsAtATime = 16;
    constexpr int statusOk = 200;
    constexpr int statusForbidden = 403;

    void readBody(const HttpResponse& response, HostAnswer& answer)
    {
        boost::json::error_code parseError;
        answer.body = boost::json::parse(response.body, parseError);
        if (response.status == statusForbidden)
            answer.error = ResultCode::NotAuthorized;
        else if (response.status != statusOk || parseError)
            answer.error = ResultCode::HostUnreachable;
    }

} // namespace

std::vector<Host> listHosts(const Invocation& invocation, std::error_code& error)
{
    auto hosts = HttpHostList(invocation.hostList, {}).hosts(error);
    if (error)
        error = ResultCode::HostUnreachable;
    return hosts;
}

HostAnswer askHost(const Invocation& invocation, const Host& host, const char* method, const std::string& target, const std::string& body)
{
    HostAnswer answer;
    answer.host = host;
    const HttpRequest request { method, target, { { "Authorization", "Bearer " + invocation.fleetSecret } }, body };
    const HttpResponse response = HttpClient(host.operators).send(request, hostTimeout, answer.error);
    if (answer.error)
        answer.error = ResultCode::HostUnreachable;
    else
        readBody(response, answer);
    return answer;
}

std::vector<HostAnswer> askHosts(const Invocation& invocation, const std::vector<Host>& hosts, const char* method, const std::string& target, const std::string& body)
{
    std::vector<HostAnswer> answers(hosts.size());
    std::vector<std::thread> threads;
    const std::size_t lanes = std::min(hostsAtATime, hosts.size());
    for (std::size_t lane = 0; lane < lanes; ++lane) {
        threads.emplace_back([&, lane] {
            for (std::size_t index = lane; index < hosts.size(); index += lanes)
                answers[index] = askHost(invocation, hosts[index], method, target, body);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return answers;
}

std::string joinNames(const std::vector<std::string>& names)
{
    std::string result;
    for (const std::string& name : names)
        result += (result.empty() ? "" : ", ") + name;
    return result;
}

std::vector<std::string> silentHosts(const std::vector<HostAnswer>& answers)
{
    std::vector<std::string> names;
    for (const HostAnswer& answer : answers) {
        if (answer.error)
            names.push_back(answer.host.id.value());
    }
    return names;
}

} // namespace lacewingsail
