#include <lacewingsail/Policy.h>

#include <cassert>

namespace lacewingsail {

namespace internal {

    // Estimated memory for the table nodes, ids and digests of one booking.
    constexpr std::size_t bookingOverheadBytes = 400;
    constexpr std::size_t maxStaleEntries = 64;
    // Tolerance for the clock and scheduling delays of the claimant relative to the reader of the claim.
    constexpr std::chrono::seconds runningMargin { 2 };

    // Neither account names nor keys contain a line break.
    std::string bookingName(const ClientAccountId& account, const std::string& key) { return account.value() + '\n' + key; }

    std::size_t estimateBytes(const std::string& name, const Booking& booking)
    {
        return bookingOverheadBytes + 2 * name.size() + booking.response.contentType.size() + booking.response.body.size();
    }

    ClaimDecision decisionFor(const Booking& booking, const BookingClaim& claim, MonotonicTime now)
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
        fold.estimatedBytes -= estimateBytes(found->first, found->second);
        fold.bookings.erase(found);
    }

    bool isCurrent(const BookingFold& fold, const BookingFold::ExpiryEntry& entry)
    {
        const auto found = fold.bookings.find(entry.name);
        return found != fold.bookings.end() && found->second.owner == entry.owner;
    }

    // Released keys leave their entries in the queue; without this clean-up a key that is claimed and released repeatedly
    // would grow it without bound.
    void dropStaleEntries(BookingFold& fold)
    {
        if (fold.expiryQueue.size() > 2 * fold.bookings.size() + maxStaleEntries)
            std::erase_if(fold.expiryQueue, [&fold](const BookingFold::ExpiryEntry& entry) { return !isCurrent(fold, entry); });
    }

} // namespace internal

ClaimDecision apply(BookingFold& fold, const BookingClaim& claim, MonotonicTime now)
{
    assert(!claim.key.empty() && !claim.request.empty());
    const std::string name = internal::bookingName(claim.account, claim.key);
    const auto [found, inserted] = fold.bookings.try_emplace(name);
    Booking& booking = found->second;
    if (!inserted)
        return booking.owner == claim.request ? ClaimDecision { ClaimVerdict::InProgress, {} } : internal::decisionFor(booking, claim, now);
    booking.owner = claim.request;
    booking.fingerprint = claim.fingerprint;
    booking.runningUntil = now + claim.deadline + internal::runningMargin;
    fold.estimatedBytes += internal::estimateBytes(name, booking);
    fold.expiryQueue.push_back({ now, name, claim.request });
    internal::dropStaleEntries(fold);
    return { ClaimVerdict::Run, {} };
}

bool apply(BookingFold& fold, const BookingOutcome& outcome)
{
    const auto found = fold.bookings.find(internal::bookingName(outcome.account, outcome.key));
    if (found == fold.bookings.end() || found->second.owner != outcome.request || found->second.finished)
        return false;
    if (outcome.result == BookingResult::NotRun) {
        internal::erase(fold, found);
        return true;
    }
    Booking& booking = found->second;
    fold.estimatedBytes -= internal::estimateBytes(found->first, booking);
    booking.finished = true;
    booking.result = outcome.result;
    booking.response = outcome.response;
    fold.estimatedBytes += internal::estimateBytes(found->first, booking);
    return true;
}

// The retention starts when the claim is read, which is after its append, so no key is removed too early.
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
    const auto found = fold.bookings.find(internal::bookingName(account, key));
    return found == fold.bookings.end() ? nullptr : &found->second;
}

} // namespace lacewingsail
