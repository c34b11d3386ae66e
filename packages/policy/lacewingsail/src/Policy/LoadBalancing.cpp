#include <lacewingsail/Policy.h>

#include <algorithm>

namespace lacewingsail {

namespace internal {

    // One in this many choices takes the first server drawn if it has capacity, so that the latency of every server is
    // measured from time to time.
    constexpr std::uint64_t choicesPerExploration = 8;

    bool eligible(const Candidate& candidate) { return candidate.serving && !candidate.tried; }

    // The reported load is older than the local count; the local count in turn does not include other hosts.
    int candidateLoad(const Candidate& candidate) { return std::max(candidate.inFlight, candidate.reportedLoad); }

    bool hasCapacity(const Candidate& candidate) { return !candidate.overloaded && candidateLoad(candidate) < candidate.slots.value; }

    bool eligibleWithCapacity(const Candidate& candidate) { return eligible(candidate) && hasCapacity(candidate); }

    bool eligibleInLocalZone(const Candidate& candidate) { return eligibleWithCapacity(candidate) && candidate.sameZone; }

    template <typename Predicate>
    std::size_t countMatching(std::span<const Candidate> candidates, Predicate predicate)
    {
        std::size_t count = 0;
        for (const Candidate& candidate : candidates)
            count += predicate(candidate) ? 1 : 0;
        return count;
    }

    template <typename Predicate>
    std::size_t findMatching(std::span<const Candidate> candidates, Predicate predicate, std::size_t ordinal)
    {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (predicate(candidates[index]) && ordinal-- == 0)
                return index;
        }
        return candidates.size();
    }

    // During warm-up a server is drawn as often as the others, but gets only its share of the requests.
    bool isSkippedDuringWarmup(const Candidate& candidate, std::uint64_t random)
    {
        constexpr std::uint64_t whole = 100;
        return (random >> 16) % whole >= static_cast<std::uint64_t>(candidate.warmupShare.value);
    }

    bool isPreferable(const Candidate& left, const Candidate& right)
    {
        // Compares load per slot without a division.
        const auto leftLoad = static_cast<std::int64_t>(candidateLoad(left)) * right.slots.value;
        const auto rightLoad = static_cast<std::int64_t>(candidateLoad(right)) * left.slots.value;
        // Small differences in latency are random; a server that always lost by them would never be measured again.
        return leftLoad != rightLoad ? leftLoad < rightLoad : left.latency * 2 < right.latency;
    }

    template <typename Predicate>
    std::optional<std::size_t> betterOfTwoRandom(std::span<const Candidate> candidates, Predicate predicate, std::uint64_t random)
    {
        const std::size_t count = countMatching(candidates, predicate);
        if (count == 0)
            return std::nullopt;
        const std::size_t firstOrdinal = random % count;
        const std::size_t first = findMatching(candidates, predicate, firstOrdinal);
        if (count == 1)
            return first;
        const std::size_t step = 1 + (random >> 32) % (count - 1);
        const std::size_t second = findMatching(candidates, predicate, (firstOrdinal + step) % count);
        const bool explores = (random >> 24) % choicesPerExploration == 0 && hasCapacity(candidates[first]);
        const std::size_t better = !explores && isPreferable(candidates[second], candidates[first]) ? second : first;
        return isSkippedDuringWarmup(candidates[better], random) ? first + second - better : better;
    }

} // namespace internal

std::optional<std::size_t> chooseRoundRobin(std::span<const Candidate> candidates, std::uint64_t turn)
{
    const std::size_t count = internal::countMatching(candidates, internal::eligible);
    if (count == 0)
        return std::nullopt;
    return internal::findMatching(candidates, internal::eligible, turn % count);
}

std::optional<std::size_t> chooseBackendServer(std::span<const Candidate> candidates, std::uint64_t random)
{
    if (const auto inLocalZone = internal::betterOfTwoRandom(candidates, internal::eligibleInLocalZone, random))
        return inLocalZone;
    if (const auto withCapacity = internal::betterOfTwoRandom(candidates, internal::eligibleWithCapacity, random))
        return withCapacity;
    return internal::betterOfTwoRandom(candidates, internal::eligible, random);
}

} // namespace lacewingsail
