#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // One choice in this many takes the first drawn, so that every server is measured now and then.
    constexpr std::uint64_t choicesPerExploration = 8;

    bool eligible(const Candidate& candidate) { return candidate.serving && !candidate.tried; }

    // The report is older than the own count, which in turn knows nothing of the other hosts.
    int loadOf(const Candidate& candidate) { return std::max(candidate.inFlight, candidate.reportedLoad); }

    bool hasRoom(const Candidate& candidate) { return !candidate.overloaded && loadOf(candidate) < candidate.slots.value; }

    bool eligibleWithRoom(const Candidate& candidate) { return eligible(candidate) && hasRoom(candidate); }

    bool eligibleNear(const Candidate& candidate) { return eligibleWithRoom(candidate) && candidate.sameZone; }

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
        return (random >> 16) % whole >= static_cast<std::uint64_t>(candidate.warmupShare.value);
    }

    bool lessLoaded(const Candidate& left, const Candidate& right)
    {
        // Load is compared as a share of the slots, without dividing.
        const auto leftLoad = static_cast<std::int64_t>(loadOf(left)) * right.slots.value;
        const auto rightLoad = static_cast<std::int64_t>(loadOf(right)) * left.slots.value;
        // Small differences in latency are chance; a server that always lost by them would never be measured again.
        return leftLoad != rightLoad ? leftLoad < rightLoad : left.latency * 2 < right.latency;
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
        const bool explores = (random >> 24) % choicesPerExploration == 0 && hasRoom(candidates[first]);
        const std::size_t better = !explores && lessLoaded(candidates[second], candidates[first]) ? second : first;
        return declines(candidates[better], random) ? first + second - better : better;
    }

} // namespace internal

std::optional<std::size_t> chooseRoundRobin(std::span<const Candidate> candidates, std::uint64_t turn)
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
    if (const auto roomy = internal::betterOfTwo(candidates, internal::eligibleWithRoom, random))
        return roomy;
    return internal::betterOfTwo(candidates, internal::eligible, random);
}

} // namespace lacewingsail
