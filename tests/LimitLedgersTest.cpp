#include <lacewingsail/Limits.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t rate = 40;
constexpr std::int64_t burst = 10;
constexpr std::uint32_t slotCount = 8;

// The ledgers of a host whose clock runs at its own speed.
struct SimulatedHost {
    HostId id;
    double speed = 1;
    ManualClock clock;
    std::unique_ptr<LimitLedgers> ledgers;
    MonotonicTime pausedUntil {};
    MonotonicTime nextBorrowAt {};
};

struct Message {
    MonotonicTime arrivesAt {};
    std::size_t to = 0;
    std::function<void()> deliver;
};

struct LimitLedgersFixture {
    ManualClock referenceClock;
    SharingSettings settings;
    Configuration configuration;
    ClientAccountId account { "norrland" };
    std::vector<std::unique_ptr<SimulatedHost>> hosts;
    std::vector<Message> messages;
    std::vector<MonotonicTime> admitted;
    int refused = 0;
    std::minstd_rand random { 1 };
    std::uint32_t lossParts = 0;
    std::uint32_t slowParts = 0;

    LimitLedgersFixture() { configuration.accounts.push_back({ account, { rate }, wholeTokens(burst), {} }); }

    void addHost(const std::string& name, double speed, std::vector<std::uint32_t> slots)
    {
        auto host = std::make_unique<SimulatedHost>();
        host->id = HostId(name);
        host->speed = speed;
        host->ledgers = std::make_unique<LimitLedgers>(host->id, IncarnationId(name + "/1"), settings, host->clock, [] {});
        host->ledgers->configure(configuration);
        HeldSlots held { slotCount, {}, MonotonicTime::max() };
        for (const std::uint32_t slot : slots)
            held.slots.push_back({ SlotIndex { slot }, true, host->clock.now() });
        host->ledgers->setHeldSlots(held);
        hosts.push_back(std::move(host));
    }

    void addHosts()
    {
        addHost("a", 1.008, { 0, 1, 2 });
        addHost("b", 1, { 3, 4, 5, 6 });
        addHost("c", 0.993, { 7 });
        agreeOnPooler();
    }

    void agreeOnPooler()
    {
        for (auto& host : hosts)
            host->ledgers->setPoolers({ HostId("a"), HostId("b"), HostId("c") });
    }

    bool chance(std::uint32_t parts) { return parts != 0 && random() % parts == 0; }

    std::size_t indexOf(const HostId& id) const
    {
        return static_cast<std::size_t>(std::ranges::find(hosts, id, [](const auto& host) { return host->id; }) - hosts.begin());
    }

    void send(std::size_t to, std::function<void()> deliver)
    {
        if (chance(lossParts))
            return;
        const auto delay = chance(slowParts) ? std::chrono::milliseconds(random() % 3000) : std::chrono::milliseconds(random() % 3);
        messages.push_back({ referenceClock.now() + delay, to, std::move(deliver) });
    }

    void request(std::size_t at)
    {
        SimulatedHost& host = *hosts[at];
        host.ledgers->admit(account, host.clock.now() + 10s, [this](ResultCode code) {
            if (code == ResultCode::Ok)
                admitted.push_back(referenceClock.now());
            else
                ++refused;
        });
    }

    void draw(std::size_t from)
    {
        for (auto& [pooler, blockRequests] : hosts[from]->ledgers->dueBlockRequests()) {
            const std::size_t to = indexOf(pooler);
            const MonotonicTime requestedAt = hosts[from]->clock.now();
            auto requested = std::make_shared<std::vector<BlockRequest>>(std::move(blockRequests));
            auto done = std::make_shared<bool>(false);
            send(to, [this, from, to, pooler = pooler, requested, requestedAt, done] {
                auto grants = std::make_shared<std::vector<BlockGrant>>(hosts[to]->ledgers->grantBlocks(*requested));
                send(from, [this, from, pooler, requested, requestedAt, grants, done] {
                    if (!std::exchange(*done, true))
                        hosts[from]->ledgers->applyGrants(pooler, *requested, *grants, requestedAt);
                });
            });
            // The call times out, and a later reply is dropped.
            messages.push_back({ referenceClock.now() + 250ms, from, [this, from, requested, done] {
                                    if (!std::exchange(*done, true))
                                        hosts[from]->ledgers->recordDrawFailure(*requested);
                                } });
        }
    }

    void borrow(std::size_t from)
    {
        SimulatedHost& host = *hosts[from];
        bool hasNewPool = false;
        auto accounts = std::make_shared<std::vector<ClientAccountId>>(host.ledgers->pooledAccounts(hasNewPool));
        if (accounts->empty() || (!hasNewPool && host.clock.now() < host.nextBorrowAt))
            return;
        host.nextBorrowAt = host.clock.now() + settings.loanTerm / 4;
        const MonotonicTime requestedAt = host.clock.now();
        const IncarnationId borrower(host.id.value() + "/1");
        for (std::size_t to = 0; to < hosts.size(); ++to) {
            send(to, [this, from, to, accounts, requestedAt, borrower] {
                auto offers = std::make_shared<std::vector<LoanOffer>>(hosts[to]->ledgers->lendTo(borrower, *accounts));
                send(from, [this, from, to, offers, requestedAt] { hosts[from]->ledgers->applyLoans(hosts[to]->id, *offers, requestedAt); });
            });
        }
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(messages, [&](Message& message) {
            const bool ready = message.arrivesAt <= referenceClock.now() && referenceClock.now() >= hosts[message.to]->pausedUntil;
            if (ready)
                due.push_back(std::move(message));
            return ready;
        });
        for (Message& message : due)
            message.deliver();
    }

    void tick(Duration step)
    {
        referenceClock.advance(step);
        for (auto& host : hosts)
            host->clock.advance(std::chrono::duration_cast<Duration>(step * host->speed));
        deliver();
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            if (referenceClock.now() < hosts[index]->pausedUntil)
                continue;
            hosts[index]->ledgers->refuseExpired();
            draw(index);
            borrow(index);
        }
    }

    // Whether the admissions in every interval are at most the burst plus the tokens that the rate yields in it, measured
    // by the fastest clock.
    bool withinLimit() const
    {
        double level = static_cast<double>(burst);
        for (std::size_t index = 0; index < admitted.size(); ++index) {
            if (index > 0) {
                const std::chrono::duration<double> elapsed = admitted[index] - admitted[index - 1];
                level = std::min(static_cast<double>(burst), level + elapsed.count() * static_cast<double>(rate) * 1.008);
            }
            level -= 1;
            if (level < -1e-6)
                return false;
        }
        return true;
    }
};

} // namespace

TEST_CASE_FIXTURE(LimitLedgersFixture, "admit, all requests at one host, grants the whole rate and burst")
{
    addHosts();
    // 90% of the rate, all at the host with the fewest slots.
    for (int step = 0; step < 10'000; ++step) {
        tick(1ms);
        if (step % 28 == 0)
            request(2);
    }
    CHECK(refused == 0);
    CHECK(withinLimit());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "admit, five times the rate spread over all hosts, grants the rate and no more")
{
    addHosts();
    for (int step = 0; step < 10'000; ++step) {
        tick(1ms);
        if (step % 5 == 0)
            request(static_cast<std::size_t>(step / 5) % 3);
    }
    CHECK(withinLimit());
    CHECK(admitted.size() > 380);
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "admit, another host becomes the pooler, refuses nothing at half the rate")
{
    addHosts();
    const auto weight = [this](const HostId& host) { return rendezvousWeight(account.value(), host.value()); };
    std::vector<HostId> all { HostId("a"), HostId("b"), HostId("c") };
    std::ranges::sort(all, {}, weight);
    const std::vector<HostId> without { all[0], all[1] };
    for (int step = 0; step < 20'000; ++step) {
        tick(1ms);
        // The pooler leaves for a planned stop and returns later.
        const bool poolerLeft = step >= 5000 && step < 12'000;
        for (auto& host : hosts)
            host->ledgers->setPoolers(poolerLeft ? without : all);
        if (step % 50 == 0)
            request(static_cast<std::size_t>(step / 50) % 3);
    }
    CHECK(refused == 0);
    CHECK(withinLimit());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "admit, host that never drew uses a new pooler, refuses nothing at half the rate")
{
    addHosts();
    const auto weight = [this](const HostId& host) { return rendezvousWeight(account.value(), host.value()); };
    std::vector<HostId> all { HostId("a"), HostId("b"), HostId("c") };
    std::ranges::sort(all, {}, weight);
    for (int step = 0; step < 12'000; ++step) {
        tick(1ms);
        const bool poolerLeft = step >= 5000;
        for (auto& host : hosts)
            host->ledgers->setPoolers(poolerLeft ? std::vector<HostId> { all[0], all[1] } : all);
        if (step % 50 == 0)
            request(poolerLeft ? indexOf(all[0]) : indexOf(all[2]));
    }
    CHECK(refused == 0);
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "admit, lease on the slots has expired, refuses everything")
{
    addHosts();
    for (auto& host : hosts)
        host->ledgers->setHeldSlots({ slotCount, { { SlotIndex { 0 }, true, {} } }, host->clock.now() });
    for (int step = 0; step < 500; ++step) {
        tick(1ms);
        request(0);
    }
    CHECK(admitted.empty());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "setHeldSlots, slot taken over from another host, starts empty")
{
    addHosts();
    for (int count = 0; count < 5; ++count)
        request(1);
    const std::size_t before = admitted.size();
    CHECK(before == 5);
    hosts[1]->ledgers->setHeldSlots({ slotCount, {}, MonotonicTime::max() });
    HeldSlots held { slotCount, { { SlotIndex { 3 }, false, hosts[0]->clock.now() }, { SlotIndex { 4 }, false, hosts[0]->clock.now() } }, MonotonicTime::max() };
    hosts[0]->ledgers->setHeldSlots(held);
    request(0);
    CHECK(admitted.size() == before);
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "applyLoans, reply after the term of the loan, is not used")
{
    addHosts();
    const std::vector accounts { account };
    const MonotonicTime requestedAt = hosts[1]->clock.now();
    const auto offers = hosts[0]->ledgers->lendTo(IncarnationId("b/1"), accounts);
    REQUIRE(offers.size() == 1);
    hosts[1]->clock.advance(settings.loanTerm);
    hosts[1]->ledgers->applyLoans(HostId("a"), offers, requestedAt);
    const std::vector<BlockRequest> blockRequests { { account, { 10, 0, false }, {} } };
    CHECK(hosts[1]->ledgers->grantBlocks(blockRequests).empty());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "grantBlocks, loan expires before the block term, block expires with the loan")
{
    addHosts();
    const std::vector accounts { account };
    const MonotonicTime requestedAt = hosts[1]->clock.now();
    const auto offers = hosts[0]->ledgers->lendTo(IncarnationId("b/1"), accounts);
    hosts[1]->clock.advance(settings.loanTerm - settings.blockTerm);
    hosts[1]->ledgers->applyLoans(HostId("a"), offers, requestedAt);
    const std::vector<BlockRequest> blockRequests { { account, { 10, 0, false }, {} } };
    const auto grants = hosts[1]->ledgers->grantBlocks(blockRequests);
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].term < settings.blockTerm);
    CHECK(hosts[1]->clock.now() + grants[0].term <= useDeadline(requestedAt, settings.loanTerm));
    // Hardly any of the loan's term is left.
    hosts[1]->clock.advance(grants[0].term - 10ms);
    CHECK(hosts[1]->ledgers->grantBlocks(blockRequests).empty());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "applyGrants, reply after the term of the block, is not spent")
{
    addHosts();
    hosts[2]->ledgers->setHeldSlots({ slotCount, {}, MonotonicTime::max() });
    const MonotonicTime requestedAt = hosts[2]->clock.now();
    const std::vector<BlockRequest> blockRequests { { account, { 10, 0, false }, {} } };
    const std::vector<BlockGrant> grants { { account, 1, 10, settings.blockTerm } };
    hosts[2]->clock.advance(settings.blockTerm);
    hosts[2]->ledgers->applyGrants(HostId("b"), blockRequests, grants, requestedAt);
    request(2);
    CHECK(admitted.empty());
}

TEST_CASE_FIXTURE(LimitLedgersFixture, "lendTo, loan expired, slice returns empty")
{
    addHosts();
    const std::vector accounts { account };
    hosts[0]->ledgers->lendTo(IncarnationId("b/1"), accounts);
    hosts[0]->clock.advance(settings.loanTerm - 1ms);
    request(0);
    CHECK(admitted.empty());
    hosts[0]->clock.advance(1ms);
    request(0);
    CHECK(admitted.empty());
}

TEST_CASE("admit, losses, delays, pauses, clock drift and disagreement on the pooler, never exceeds the limit")
{
    std::size_t admittedInAll = 0;
    CHECK(rc::check("limit holds over every interval", [&admittedInAll] {
        LimitLedgersFixture fleet;
        fleet.settings.loanTerm = 400ms;
        fleet.settings.blockTerm = 160ms;
        fleet.addHosts();
        fleet.random.seed(*rc::gen::inRange(1, 1'000'000));
        fleet.lossParts = 80;
        fleet.slowParts = 20;
        for (int step = 0; step < 4000; ++step) {
            fleet.tick(std::chrono::microseconds(fleet.random() % 4000));
            for (std::size_t index = 0; index < 3; ++index) {
                if (fleet.chance(6) && fleet.referenceClock.now() >= fleet.hosts[index]->pausedUntil)
                    fleet.request(index);
                if (fleet.chance(2500))
                    fleet.hosts[index]->pausedUntil = fleet.referenceClock.now() + std::chrono::milliseconds(fleet.random() % 1500);
                if (fleet.chance(500))
                    fleet.hosts[index]->ledgers->setPoolers({ fleet.hosts[fleet.random() % 3]->id });
            }
            if (fleet.chance(200))
                fleet.agreeOnPooler();
        }
        RC_ASSERT(fleet.withinLimit());
        admittedInAll += fleet.admitted.size();
    }));
    // The fleet still admits requests under these faults: on average at least 100 in a run of about 8 s.
    CHECK(admittedInAll > 10'000);
}
