#include <lacewingsail/Limits.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <random>
#include <set>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds lease { 9000 };
constexpr std::chrono::milliseconds loanTerm { 500 };

// A host whose clock runs at its own speed. The log delays and loses its appends.
struct SimulatedHost {
    SimulatedHost(const std::string& name, double speed, MonotonicTime start)
        : id(name)
        , clockSpeed(speed)
    {
        restart(start);
    }

    void restart(MonotonicTime start)
    {
        claims.emplace(SlotTerms { id, IncarnationId(id.value() + "/" + std::to_string(runs++)), 6, lease, loanTerm }, start);
        position = 0;
    }

    MonotonicTime now(std::chrono::milliseconds referenceTime) const
    {
        return MonotonicTime {} + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(static_cast<double>(referenceTime.count()) * clockSpeed));
    }

    HostId id;
    double clockSpeed;
    std::optional<SlotClaims> claims;
    std::size_t position = 0;
    std::chrono::milliseconds pausedUntil { 0 };
    int runs = 0;
};

struct DelayedAppend {
    std::chrono::milliseconds arrivesAt;
    SlotRecord record;
};

struct SlotClaimsFixture {
    std::chrono::milliseconds referenceTime { 0 };
    std::vector<SlotRecord> log;
    std::vector<DelayedAppend> delayedAppends;
    std::vector<SimulatedHost> hosts;
    std::vector<HostId> listed;
    bool logUnavailable = false;
    int records = 0;

    void addHost(const std::string& name, double speed = 1)
    {
        hosts.emplace_back(name, speed, MonotonicTime {});
        listed.emplace_back(name);
    }

    void appendDue()
    {
        for (const DelayedAppend& append : delayedAppends) {
            if (append.arrivesAt <= referenceTime)
                log.push_back(append.record);
        }
        std::erase_if(delayedAppends, [this](const DelayedAppend& append) { return append.arrivesAt <= referenceTime; });
    }

    // If the delay is negative, the append is lost.
    void step(SimulatedHost& host, std::chrono::milliseconds delay)
    {
        if (logUnavailable || referenceTime < host.pausedUntil)
            return;
        const MonotonicTime now = host.now(referenceTime);
        for (; host.position < log.size(); ++host.position)
            host.claims->applyRecord(log[host.position], static_cast<std::int64_t>(host.position), now);
        if (auto record = host.claims->nextRecord(listed, std::to_string(records++), now); record && delay >= 0ms)
            delayedAppends.push_back({ referenceTime + delay, std::move(*record) });
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (const auto end = referenceTime + time; referenceTime < end; referenceTime += 100ms) {
            appendDue();
            for (SimulatedHost& host : hosts)
                step(host, 0ms);
        }
    }

    std::size_t heldBy(const SimulatedHost& host) const { return host.claims->held(host.now(referenceTime)).slots.size(); }

    std::size_t heldByAll() const
    {
        std::size_t total = 0;
        for (const SimulatedHost& host : hosts)
            total += heldBy(host);
        return total;
    }

    // Whether no slot is usable by two hosts at this time.
    bool exclusive() const
    {
        std::set<SlotIndex> used;
        for (const SimulatedHost& host : hosts) {
            for (const HeldSlot& held : host.claims->held(host.now(referenceTime)).slots) {
                if (!used.insert(held.slot).second)
                    return false;
            }
        }
        return true;
    }
};

} // namespace

TEST_CASE_FIXTURE(SlotClaimsFixture, "nextRecord, several hosts start, all slots are claimed and each host holds some")
{
    addHost("a");
    addHost("b");
    addHost("c");
    runFor(15s);
    CHECK(heldByAll() == 6);
    for (const SimulatedHost& host : hosts)
        CHECK(heldBy(host) >= 1);
}

TEST_CASE_FIXTURE(SlotClaimsFixture, "held, slot never held before, starts full; slot taken over, starts empty")
{
    addHost("a");
    runFor(5s);
    for (const HeldSlot& held : hosts[0].claims->held(hosts[0].now(referenceTime)).slots)
        CHECK(held.startedFull);
    hosts[0].pausedUntil = 1h;
    hosts.emplace_back("b", 1.0, hosts[0].now(referenceTime));
    listed = { HostId("b") };
    runFor(lease + 5s);
    const HeldSlots held = hosts[1].claims->held(hosts[1].now(referenceTime));
    CHECK(held.slots.size() == 6);
    for (const HeldSlot& each : held.slots)
        CHECK_FALSE(each.startedFull);
}

TEST_CASE_FIXTURE(SlotClaimsFixture, "held, holder paused longer than its lease, has no slots")
{
    addHost("a");
    runFor(5s);
    referenceTime += lease + 1ms;
    CHECK(heldBy(hosts[0]) == 0);
}

TEST_CASE_FIXTURE(SlotClaimsFixture, "held, log unavailable for less than the lease, keeps the slots")
{
    addHost("a");
    runFor(5s);
    logUnavailable = true;
    runFor(5s);
    CHECK(heldByAll() == 6);
    logUnavailable = false;
    runFor(8s);
    CHECK(heldByAll() == 6);
}

TEST_CASE_FIXTURE(SlotClaimsFixture, "releaseAll, host with several slots, others take over before the lease expires")
{
    addHost("a");
    addHost("b");
    runFor(10s);
    hosts[0].claims->releaseAll(hosts[0].now(referenceTime));
    CHECK(heldBy(hosts[0]) == 0);
    listed = { HostId("b") };
    runFor(5s);
    CHECK(hosts[0].claims->holdsNoSlots());
    CHECK(heldBy(hosts[1]) == 6);
}

TEST_CASE_FIXTURE(SlotClaimsFixture, "releaseAll, loans may be open, waits for the loan term before the release")
{
    addHost("a");
    runFor(5s);
    hosts[0].claims->releaseAll(hosts[0].now(referenceTime));
    runFor(loanTerm - 100ms);
    CHECK_FALSE(hosts[0].claims->holdsNoSlots());
    runFor(1s);
    CHECK(hosts[0].claims->holdsNoSlots());
}

TEST_CASE("held, random pauses, restarts, delays, losses, outages and clock drift, no slot is usable by two hosts")
{
    CHECK(rc::check("exclusive use", [] {
        SlotClaimsFixture fleet;
        fleet.addHost("a", 1.01);
        fleet.addHost("b", 1.0);
        fleet.addHost("c", 0.992);
        std::minstd_rand random(*rc::gen::inRange(1, 1'000'000));
        const auto chance = [&](unsigned parts) { return random() % parts == 0; };
        for (int step = 0; step < 6000; ++step) {
            fleet.referenceTime += std::chrono::milliseconds(1 + random() % 40);
            if (chance(600))
                fleet.logUnavailable = !fleet.logUnavailable;
            fleet.appendDue();
            for (SimulatedHost& host : fleet.hosts) {
                if (chance(400))
                    host.pausedUntil = fleet.referenceTime + std::chrono::milliseconds(random() % 25000);
                if (chance(2000))
                    host.restart(host.now(fleet.referenceTime));
                const bool lost = chance(6);
                const bool slow = chance(6);
                fleet.step(host, lost ? -1ms : std::chrono::milliseconds(slow ? random() % 15000 : random() % 20));
                RC_ASSERT(fleet.exclusive());
            }
        }
    }));
}
