#include "Hosts.h"

namespace lacewingsail {

namespace {

    // The first answer of a host that refuses the secret says more than "does not answer".
    std::error_code worstOf(const std::vector<HostAnswer>& answers)
    {
        std::error_code worst;
        for (const HostAnswer& answer : answers) {
            if (answer.error == ResultCode::NotAuthorized)
                return answer.error;
            if (answer.error)
                worst = answer.error;
        }
        return worst;
    }

    std::string lineOf(const HostAnswer& answer)
    {
        if (answer.error)
            return "host=" + answer.host.id.value() + " answers=no\n";
        return boost::json::serialize(answer.body) + '\n';
    }

} // namespace

Outcome runStatus(const Invocation& invocation)
{
    std::error_code listError;
    const std::vector<Host> hosts = listHosts(invocation, listError);
    if (listError)
        return failure(listError, "host list " + text(invocation.hostList));
    const auto answers = askHosts(invocation, hosts, "GET", "/status");
    Outcome outcome;
    outcome.error = worstOf(answers);
    outcome.detail = joinNames(silentHosts(answers));
    boost::json::array rows;
    for (const HostAnswer& answer : answers) {
        outcome.text += lineOf(answer);
        if (!answer.error)
            rows.push_back(answer.body);
    }
    outcome.fields["hosts"] = std::move(rows);
    return outcome;
}

} // namespace lacewingsail
