#include <lacewingsail/Policy.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace lacewingsail {

std::optional<std::chrono::milliseconds> parseRefusalPeriod(std::string_view value)
{
    constexpr double maxSeconds = std::chrono::duration<double>(maxRefusalPeriod).count();
    // Excludes signs, infinities and values that are not numbers.
    if (value.empty() || std::isdigit(static_cast<unsigned char>(value.front())) == 0)
        return std::nullopt;
    double seconds = 0;
    const char* end = value.data() + value.size();
    const auto result = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    if (result.ptr != end || (result.ec != std::errc {} && result.ec != std::errc::result_out_of_range))
        return std::nullopt;
    if (result.ec == std::errc::result_out_of_range)
        return maxRefusalPeriod;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::min(seconds, maxSeconds) * 1000)));
}

} // namespace lacewingsail
