#include <lacewingsail/Policy.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    // Table nodes, ids and digests of one booking.
    constexpr std::size_t bytesOfBooking = 400;
    constexpr std::size_t fewAges = 64;
    // A claimant's clock and scheduling may run behind those of who reads its claim.
    constexpr std::chrono::seconds runningMargin { 2 };

    // No account name or key holds a line break.
    std::string nameOf(const ClientAccountId& account, const std::string& key) { return account.value() + '\n' + key; }

    std::size_t bytesOf(const std::string& name, const Booking& booking)
    {
        return bytesOfBooking + 2 * name.size() + booking.response.contentType.size() + booking.response.body.size();
    }

    ClaimDecision decisionOn(const Booking& booking, const BookingClaim& claim, MonotonicTime now)
    {
        if (booking.fingerprint != claim.fingerprint)
            return { ClaimVerdict::DifferentRequest, {} };
        if (!booking.finished)
            return { now < booking.runningUntil ? ClaimVerdict::InProgress : ClaimVerdict::Unknown, {} };
        if (booking.result != BookingResult::Answered)
            return { ClaimVerdict::Unknown, {} };
        if (!booking.response.bodyKept)
            return { ClaimVerdict::ResponseNotRecorded, {} };
        return { ClaimVerdict::Replay, booking.response };
    }

    void erase(BookingFold& fold, TextMap<Booking>::iterator found)
    {
        fold.estimatedBytes -= bytesOf(found->first, found->second);
        fold.bookings.erase(found);
    }

    bool isCurrent(const BookingFold& fold, const BookingFold::ExpiryEntry& age)
    {
        const auto found = fold.bookings.find(age.name);
        return found != fold.bookings.end() && found->second.owner == age.owner;
    }

    // Keys that were given up leave their expiryQueue behind; without this a key claimed again and again would grow the list.
    void dropStaleAges(BookingFold& fold)
    {
        if (fold.expiryQueue.size() > 2 * fold.bookings.size() + fewAges)
            std::erase_if(fold.expiryQueue, [&fold](const BookingFold::ExpiryEntry& age) { return !isCurrent(fold, age); });
    }

} // namespace internal

ClaimDecision apply(BookingFold& fold, const BookingClaim& claim, MonotonicTime now)
{
    assert(!claim.key.empty() && !claim.request.empty());
    const std::string name = internal::nameOf(claim.account, claim.key);
    const auto [found, isFirst] = fold.bookings.try_emplace(name);
    Booking& booking = found->second;
    if (!isFirst)
        return booking.owner == claim.request ? ClaimDecision { ClaimVerdict::InProgress, {} } : internal::decisionOn(booking, claim, now);
    booking.owner = claim.request;
    booking.fingerprint = claim.fingerprint;
    booking.runningUntil = now + claim.deadline + internal::runningMargin;
    fold.estimatedBytes += internal::bytesOf(name, booking);
    fold.expiryQueue.push_back({ now, name, claim.request });
    internal::dropStaleAges(fold);
    return { ClaimVerdict::Run, {} };
}

bool apply(BookingFold& fold, const BookingOutcome& outcome)
{
    const auto found = fold.bookings.find(internal::nameOf(outcome.account, outcome.key));
    if (found == fold.bookings.end() || found->second.owner != outcome.request || found->second.finished)
        return false;
    if (outcome.result == BookingResult::NotRun) {
        internal::erase(fold, found);
        return true;
    }
    Booking& booking = found->second;
    fold.estimatedBytes -= internal::bytesOf(found->first, booking);
    booking.finished = true;
    booking.result = outcome.result;
    booking.response = outcome.response;
    fold.estimatedBytes += internal::bytesOf(found->first, booking);
    return true;
}

// The time counts from the reading, which is later than the append: no key is forgotten too soon.
void removeExpired(BookingFold& fold, MonotonicTime now, Duration retention)
{
    while (!fold.expiryQueue.empty() && now - fold.expiryQueue.front().readAt >= retention) {
        const BookingFold::ExpiryEntry& oldest = fold.expiryQueue.front();
        if (internal::isCurrent(fold, oldest))
            internal::erase(fold, fold.bookings.find(oldest.name));
        fold.expiryQueue.pop_front();
    }
}

const Booking* findBooking(const BookingFold& fold, const ClientAccountId& account, const std::string& key)
{
    const auto found = fold.bookings.find(internal::nameOf(account, key));
    return found == fold.bookings.end() ? nullptr : &found->second;
}

} // namespace lacewingsail
