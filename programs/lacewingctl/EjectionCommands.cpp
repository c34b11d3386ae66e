#include "Command.h"
#include "Hosts.h"

namespace lacewingsail {

namespace {

    constexpr long long defaultPinSeconds = 600;

    std::vector<std::string> hostsWith(const std::vector<HostAnswer>& answers, bool error)
    {
        std::vector<std::string> names;
        for (const HostAnswer& answer : answers) {
            if (static_cast<bool>(answer.error) == error)
                names.push_back(answer.host.id.value());
        }
        return names;
    }

    // Tells every listed host. Each decides for its own snapshot, so the answer names those that took it.
    Outcome tellHosts(const Invocation& invocation, const std::string& target, boost::json::object order)
    {
        order["service"] = invocation.arguments[0];
        order["server"] = invocation.arguments[1];
        order["author"] = invocation.author();
        std::error_code listError;
        const std::vector<Host> hosts = listHosts(invocation, listError);
        if (listError)
            return failure(listError, "host list " + text(invocation.hostList));
        const auto answers = askHosts(invocation, hosts, "POST", target, boost::json::serialize(order));
        const auto took = hostsWith(answers, false);
        const auto others = hostsWith(answers, true);
        Outcome outcome;
        outcome.fields["hosts"] = took.size();
        outcome.text = "taken by hosts=" + std::to_string(took.size()) + " of=" + std::to_string(answers.size()) + '\n';
        if (took.empty())
            return failure(ResultCode::InvalidArgument, "no host took it; see lacewingctl status for the services and servers");
        if (!others.empty())
            outcome.detail = "not taken by " + joinNames(others);
        return outcome;
    }

} // namespace

Outcome runConfirm(const Invocation& invocation) { return tellHosts(invocation, "/confirmations", {}); }

Outcome runPin(const Invocation& invocation)
{
    const std::string as = invocation.option("as", "serving");
    if (as != "serving" && as != "ejected")
        return failure(ResultCode::InvalidArgument, "--as must be serving or ejected");
    return tellHosts(invocation, "/pins", { { "as", as }, { "seconds", invocation.number("for", defaultPinSeconds) } });
}

} // namespace lacewingsail
