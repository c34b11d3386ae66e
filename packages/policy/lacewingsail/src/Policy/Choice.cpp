#include <lacewingsail/Policy.h>

namespace lacewingsail {

namespace internal {

    bool eligible(const Candidate& candidate) { return candidate.serving && !candidate.tried; }

    bool hasRoom(const Candidate& candidate) { return candidate.inFlight < candidate.slots.value; }

    bool eligibleNear(const Candidate& candidate) { return eligible(candidate) && candidate.sameZone && hasRoom(candidate); }

    template <typename Predicate>
    std::size_t countOf(std::span<const Candidate> candidates, Predicate predicate)
    {
        std::size_t count = 0;
        for (const Candidate& candidate : candidates)
            count += predicate(candidate) ? 1 : 0;
        return count;
    }

    template <typename Predicate>
    std::size_t positionOf(std::span<const Candidate> candidates, Predicate predicate, std::size_t ordinal)
    {
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (predicate(candidates[position]) && ordinal-- == 0)
                return position;
        }
        return candidates.size();
    }

    // A server that warms up is drawn as often as the others, but then gets its share of the work only.
    bool declines(const Candidate& candidate, std::uint64_t random)
    {
        constexpr std::uint64_t whole = 100;
        return (random >> 16) % whole >= static_cast<std::uint64_t>(candidate.share.value);
    }

    bool lessLoaded(const Candidate& left, const Candidate& right)
    {
        // Load is compared as a share of the slots, without dividing.
        const auto leftLoad = static_cast<std::int64_t>(left.inFlight) * right.slots.value;
        const auto rightLoad = static_cast<std::int64_t>(right.inFlight) * left.slots.value;
        return leftLoad != rightLoad ? leftLoad < rightLoad : left.latency < right.latency;
    }

    template <typename Predicate>
    std::optional<std::size_t> betterOfTwo(std::span<const Candidate> candidates, Predicate predicate, std::uint64_t random)
    {
        const std::size_t count = countOf(candidates, predicate);
        if (count == 0)
            return std::nullopt;
        const std::size_t firstOrdinal = random % count;
        const std::size_t first = positionOf(candidates, predicate, firstOrdinal);
        if (count == 1)
            return first;
        const std::size_t step = 1 + (random >> 32) % (count - 1);
        const std::size_t second = positionOf(candidates, predicate, (firstOrdinal + step) % count);
        const std::size_t better = lessLoaded(candidates[second], candidates[first]) ? second : first;
        return declines(candidates[better], random) ? first + second - better : better;
    }

} // namespace internal

std::optional<std::size_t> chooseInTurn(std::span<const Candidate> candidates, std::uint64_t turn)
{
    const std::size_t count = internal::countOf(candidates, internal::eligible);
    if (count == 0)
        return std::nullopt;
    return internal::positionOf(candidates, internal::eligible, turn % count);
}

std::optional<std::size_t> chooseBackendServer(std::span<const Candidate> candidates, std::uint64_t random)
{
    if (const auto near = internal::betterOfTwo(candidates, internal::eligibleNear, random))
        return near;
    return internal::betterOfTwo(candidates, internal::eligible, random);
}

} // namespace lacewingsail
