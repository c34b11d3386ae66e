#include "ExitCode.h"

#include <lacewingsail/World.h>

namespace lacewingsail {

namespace {

    constexpr int firstOperatorCode = 701;
    constexpr int operatorBase = 20;
    constexpr int requestBase = 10;

} // namespace

int exitCodeOf(const std::error_code& error)
{
    if (!error)
        return 0;
    if (error.category() != resultCategory())
        return 1;
    if (error.value() >= firstOperatorCode)
        return operatorBase + error.value() % 100;
    return requestBase + error.value() / 100;
}

} // namespace lacewingsail
