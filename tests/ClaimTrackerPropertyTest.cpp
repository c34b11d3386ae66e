#include <lacewingsail/Bookings.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <functional>
#include <iostream>

using namespace lacewingsail;

namespace {

constexpr std::size_t hosts = 3;
constexpr int keys = 2;
constexpr std::chrono::seconds claimDeadline { 5 };

/// \brief Three hosts on one stream. Appends are lost, delayed or not acknowledged, and each host reads at its own pace.
struct RandomFleet {
    struct Step {
        int action;
        int choice;
    };

    ManualClock clock;
    std::vector<std::unique_ptr<ClaimTracker>> trackers;
    std::vector<BookingBatch> log;
    std::vector<BookingBatch> late;
    std::array<std::size_t, hosts> positions {};
    std::vector<BookingClaim> running;
    std::map<std::string, int> sent;
    std::map<std::string, int> decisions;
    int requests = 0;

    RandomFleet()
    {
        clock.advance(std::chrono::hours(1));
        for (std::size_t host = 0; host < hosts; ++host) {
            trackers.push_back(std::make_unique<ClaimTracker>(HostId("host-" + std::to_string(host)), BookingLimits {}));
            trackers.back()->recordRead(clock.now());
        }
    }

    void claim(ClaimTracker& tracker, int choice)
    {
        const BookingClaim claim { ClientAccountId("norrland"), "key-" + std::to_string(choice % keys), "f", RequestId("r" + std::to_string(++requests)), claimDeadline };
        tracker.claim(
            claim, clock.now() + claimDeadline, [this, claim](const ClaimDecision& decision) {
                ++decisions[claim.request.value()];
                if (decision.verdict == ClaimVerdict::Run)
                    running.push_back(claim);
            },
            clock.now());
    }

    // Of eight choices, two append with acknowledgement, four append without, one appends late and one loses the batch.
    void append(ClaimTracker& tracker, int choice)
    {
        const auto batch = tracker.nextBatch(clock.now());
        if (!batch)
            return;
        if (choice % 4 != 0)
            log.push_back(*batch);
        else if (choice % 8 == 0)
            late.push_back(*batch);
        tracker.recordAppend(choice % 4 == 1, clock.now());
    }

    void deliverLate()
    {
        if (late.empty())
            return;
        log.push_back(late.back());
        late.pop_back();
    }

    void read(std::size_t host)
    {
        if (positions[host] < log.size())
            trackers[host]->applyBatch(log[positions[host]++], clock.now());
        trackers[host]->recordRead(clock.now());
    }

    // Continues a request whose claim has the verdict Run, possibly after a long pause: it is sent or finds no connection,
    // and the host may crash before it records the outcome.
    void continueRequest(ClaimTracker& tracker, int choice)
    {
        if (running.empty())
            return;
        const BookingClaim claim = running.front();
        running.erase(running.begin());
        const bool sends = choice % 3 != 0;
        if (sends)
            ++sent[claim.key];
        const bool crashes = choice % 5 == 0;
        if (!crashes)
            tracker.finish({ claim.account, claim.key, claim.request, sends ? BookingResult::Answered : BookingResult::NotRun, { 201, "", "", true } });
    }

    void apply(const Step& step)
    {
        const auto host = static_cast<std::size_t>(step.choice) % hosts;
        ClaimTracker& tracker = *trackers[host];
        const int choice = step.choice / static_cast<int>(hosts);
        switch (step.action) {
        case 0:
            return claim(tracker, choice);
        case 1:
            return append(tracker, choice);
        case 2:
            return deliverLate();
        case 3:
            return continueRequest(tracker, choice);
        case 4:
            clock.advance(std::chrono::milliseconds(choice * 100));
            return tracker.tick(clock.now());
        default:
            return read(host);
        }
    }
};

bool holdsFor(std::uint64_t seed, const std::function<void()>& property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 300;
    params.maxSize = 400;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    if (!result.is<rc::detail::SuccessResult>())
        rc::detail::printResultMessage(result, std::cerr);
    return result.is<rc::detail::SuccessResult>();
}

rc::Gen<RandomFleet::Step> anyStep()
{
    return rc::gen::construct<RandomFleet::Step>(rc::gen::inRange(0, 9), rc::gen::inRange(0, 120));
}

void showValue(const RandomFleet::Step& step, std::ostream& stream) { stream << step.action << '/' << step.choice; }

void sendsKeyAtMostOnce()
{
    const auto steps = *rc::gen::container<std::vector<RandomFleet::Step>>(anyStep());
    RandomFleet fleet;
    for (const auto& step : steps)
        fleet.apply(step);
    for (const auto& [key, count] : fleet.sent)
        RC_ASSERT(count <= 1);
    for (const auto& [request, count] : fleet.decisions)
        RC_ASSERT(count == 1);
    RC_CLASSIFY(!fleet.sent.empty());
}

void foldsAreEqual()
{
    const auto steps = *rc::gen::container<std::vector<RandomFleet::Step>>(anyStep());
    RandomFleet fleet;
    for (const auto& step : steps)
        fleet.apply(step);
    for (std::size_t host = 0; host < hosts; ++host) {
        while (fleet.positions[host] < fleet.log.size())
            fleet.read(host);
    }
    const BookingFold& first = fleet.trackers[0]->fold();
    for (const auto& tracker : fleet.trackers) {
        RC_ASSERT(tracker->fold().estimatedBytes == first.estimatedBytes);
        RC_ASSERT(tracker->fold().bookings.size() == first.bookings.size());
        for (const auto& [name, booking] : tracker->fold().bookings) {
            RC_ASSERT(first.bookings.at(name).owner == booking.owner);
            RC_ASSERT(first.bookings.at(name).finished == booking.finished);
        }
    }
}

} // namespace

TEST_CASE("claim, any order of appends, losses, pauses and crashes, the request of a key is sent at most once")
{
    for (const std::uint64_t seed : { 1U, 2U, 3U })
        CHECK(holdsFor(seed, sendsKeyAtMostOnce));
}

TEST_CASE("fold, same log read at different paces, is equal on all hosts")
{
    for (const std::uint64_t seed : { 1U, 2U })
        CHECK(holdsFor(seed, foldsAreEqual));
}
