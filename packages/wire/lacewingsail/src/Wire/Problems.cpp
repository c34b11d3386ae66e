#include <lacewingsail/Wire.h>

namespace lacewingsail {

std::string text(const Problems& problems)
{
    std::string lines;
    for (const Problem& problem : problems)
        lines += problem.path + ": " + problem.reason + '\n';
    return lines;
}

} // namespace lacewingsail
