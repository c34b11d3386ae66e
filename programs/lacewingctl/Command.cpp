#include "Command.h"

#include <lacewingsail/Platform.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace lacewingsail {

int exitCodeOf(const std::error_code& error)
{
    if (!error)
        return 0;
    if (error.category() != resultCategory())
        return 1;
    return 10 + error.value() / 100;
}

int fail(const std::error_code& error, const std::string& detail)
{
    std::cerr << "lacewingctl: " << error.message();
    if (!detail.empty())
        std::cerr << ": " << detail;
    std::cerr << '\n';
    return exitCodeOf(error);
}

bool readFile(const std::string& name, std::string& content)
{
    std::ifstream stream(name);
    if (!stream) {
        std::cerr << "lacewingctl: cannot read " << name << '\n';
        return false;
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    content = buffer.str();
    return true;
}

std::vector<Host> listHosts(const Invocation& invocation, std::error_code& error)
{
    return HttpHostList(invocation.hostList, {}).hosts(error);
}

} // namespace lacewingsail
