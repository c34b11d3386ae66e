/// \brief Feeds arbitrary text to the JSON codecs. The first byte chooses the codec. Besides crashes it looks for a
/// configuration that does not survive being written and read back.

#include <lacewingsail/Wire.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

using namespace lacewingsail;

void tryConfiguration(std::string_view text)
{
    Problems problems;
    const auto parsed = parseConfiguration(text, problems);
    if (!parsed)
        return;
    const auto again = parseConfiguration(formatConfiguration(*parsed), problems);
    if (again != parsed)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming): name set by libFuzzer
{
    if (size == 0)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    Problems problems;
    switch (data[0] % 5) {
    case 0:
        tryConfiguration(text);
        break;
    case 1:
        parseSettings(text, problems);
        break;
    case 2:
        parseConfigurationRecord(text, problems);
        break;
    case 3:
        parseKeyWithdrawal(text, problems);
        break;
    default:
        parseHostList(text, problems);
        break;
    }
    return 0;
}
