#pragma once

#include <lacewingsail/World.h>

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace lacewingsail::standins {

/// \brief Reads `--listen IP:PORT` (may be repeated) and `--control IP:PORT`. Exits with 2 if they are wrong.
struct Options {
    std::vector<Endpoint> listen;
    Endpoint control;
};

inline Endpoint endpointOrExit(const char* value)
{
    Endpoint endpoint;
    if (!value || !parseEndpoint(value, endpoint)) {
        std::cerr << "not an IP number and a port: " << (value ? value : "(none)") << '\n';
        std::exit(2);
    }
    return endpoint;
}

inline Options parseOptions(int argumentCount, const char** arguments)
{
    char* listen = nullptr;
    char* control = nullptr;
    const poptOption table[] = {
        { "listen", 'l', POPT_ARG_STRING, &listen, 1, "listen here; may be given several times", "IP:PORT" },
        { "control", 'c', POPT_ARG_STRING, &control, 2, "take control requests here", "IP:PORT" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    Options options;
    poptContext context = poptGetContext(nullptr, argumentCount, arguments, table, 0);
    int result = 0;
    while ((result = poptGetNextOpt(context)) > 0) {
        if (result == 1)
            options.listen.push_back(endpointOrExit(listen));
        else
            options.control = endpointOrExit(control);
    }
    if (result < -1 || options.listen.empty()) {
        std::cerr << "usage: --listen IP:PORT [--control IP:PORT]\n";
        std::exit(2);
    }
    poptFreeContext(context);
    return options;
}

} // namespace lacewingsail::standins
