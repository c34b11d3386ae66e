#include "Command.h"

#include <lacewingsail/Http.h>

#include <iostream>

namespace lacewingsail {

namespace {

    constexpr std::chrono::seconds hostTimeout { 2 };

} // namespace

int runStatus(const Invocation& invocation)
{
    std::error_code listError;
    const std::vector<Host> hosts = listHosts(invocation, listError);
    if (listError)
        return fail(listError, "host list " + text(invocation.hostList));
    int exitCode = 0;
    for (const Host& host : hosts) {
        std::error_code error;
        const HttpRequest request { "GET", "/status", { { "Authorization", "Bearer " + invocation.fleetSecret } }, {} };
        const HttpResponse response = HttpClient(host.operators).send(request, hostTimeout, error);
        if (error || response.status != 200) {
            std::cerr << "lacewingctl: host " << host.id.value() << " does not answer\n";
            exitCode = exitCodeOf(ResultCode::HostUnreachable);
            continue;
        }
        std::cout << response.body;
    }
    return exitCode;
}

} // namespace lacewingsail
