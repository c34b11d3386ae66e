#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewingsail {

/// \returns a 64-bit hash of \p text, the same on every host and in every build.
std::uint64_t stableHash(std::string_view text);

/// \returns the weight of \p candidate for \p key in rendezvous hashing; the candidate with the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// \brief Transparent hash: a table keyed by std::string can be searched by std::string_view without a copy.
struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name set by the standard library
    std::size_t operator()(std::string_view text) const { return stableHash(text); }
};

template <typename Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

} // namespace lacewingsail
