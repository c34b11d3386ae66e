#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace lacewingsail {

/// \brief Quantity of request tokens, in millionths of a token, so that sums and refills are exact integers.
struct MicroTokens {
    std::int64_t value = 0;

    auto operator<=>(const MicroTokens&) const = default;
    MicroTokens operator+(MicroTokens other) const { return { value + other.value }; }
    MicroTokens operator-(MicroTokens other) const { return { value - other.value }; }
};

/// \brief One whole token: the price of one request.
constexpr MicroTokens oneToken { 1'000'000 };

/// \returns \p count whole tokens.
constexpr MicroTokens wholeTokens(std::int64_t count) { return { count * oneToken.value }; }

/// \brief Refill rate in tokens per second.
struct TokensPerSecond {
    std::int64_t value = 0;

    auto operator<=>(const TokensPerSecond&) const = default;
};

/// \returns what \p rate yields in \p elapsed, rounded down. One token a second is one micro-token a microsecond.
constexpr MicroTokens refill(TokensPerSecond rate, std::chrono::microseconds elapsed) { return { rate.value * elapsed.count() }; }

/// \brief Rate at which requests are sent, per second.
struct RequestsPerSecond {
    double value = 0;

    auto operator<=>(const RequestsPerSecond&) const = default;
};

/// \brief Share of a whole, in percent.
struct Percent {
    int value = 0;

    auto operator<=>(const Percent&) const = default;
};

/// \brief Requests that a backend server works on at the same time.
struct SlotCount {
    int value = 0;

    auto operator<=>(const SlotCount&) const = default;
};

} // namespace lacewingsail
