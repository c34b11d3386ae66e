#include <lacewingsail/Exchange.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds step { 100 };
constexpr int hostCount = 125;
constexpr int rate = 60;
constexpr int burst = 60;

/// \brief Hosts that limit one account together. Hosts of different sides do not reach each other.
class LimitedFleet {
public:
    explicit LimitedFleet(std::uint32_t seed, int size = hostCount, int accountBurst = burst)
        : m_size(size)
        , m_burst(accountBurst)
        , m_random(seed)
    {
        m_clock.advance(1h);
        for (int index = 0; index < size; ++index) {
            m_hosts.push_back(std::make_unique<Member>(*this, index));
            start(index);
        }
    }

    void cut(int first, int last, int side)
    {
        for (int index = first; index < last; ++index)
            m_hosts[static_cast<std::size_t>(index)]->side = side;
    }

    void kill(int index) { m_hosts[static_cast<std::size_t>(index)]->process.reset(); }

    void start(int index)
    {
        Member& member = *m_hosts[static_cast<std::size_t>(index)];
        member.process = std::make_unique<Process>(*this, member);
    }

    void announceStop(int index) { m_hosts[static_cast<std::size_t>(index)]->process->directory.setLeaving(); }

    /// \brief Advances the time while callers send \p requestsPerSecond to all running hosts.
    void run(Duration time, double requestsPerSecond)
    {
        for (Duration elapsed {}; elapsed < time; elapsed += step) {
            m_clock.advance(step);
            gossip();
            int granted = 0;
            for (const auto& host : m_hosts) {
                if (host->process)
                    readStore(host->process->directory);
                if (host->process)
                    granted += sendRequests(*host->process, requestsPerSecond / m_size);
            }
            record(granted);
        }
    }

    /// \returns the highest number of requests granted in any window of five seconds.
    int peak() const { return m_peak; }
    int lastSecond() const { return std::accumulate(m_window.end() - std::min<std::ptrdiff_t>(10, std::ssize(m_window)), m_window.end(), 0); }

private:
    struct Process;

    struct Member {
        Member(LimitedFleet& owner, int number)
            : host { HostId("host-" + std::to_string(number)), ZoneId("a"), { "10.0.0.1", static_cast<std::uint16_t>(number + 1) }, 0 }
            , calls(owner, *this)
        {
        }

        struct Calls final : HostCalls {
            Calls(LimitedFleet& owner, Member& caller)
                : fleet(owner)
                , from(caller)
            {
            }

            void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback) override { }
            void place(const Endpoint&, const PlacementCell&, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback) override { }
            void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&, DeliveryCallback) override { }
            void requestTokens(const Endpoint& endpoint, const TokenDemand& demand, TokenCallback callback) override
            {
                Member& to = *fleet.m_hosts[endpoint.port - 1U];
                if (!to.process || to.side != from.side)
                    return callback({ false, std::nullopt });
                callback({ true, to.process->limiter.grant(demand) });
            }

            LimitedFleet& fleet;
            Member& from;
        };

        LiveHost host;
        int side = 0;
        Calls calls;
        std::unique_ptr<Process> process;
    };

    struct Process {
        Process(LimitedFleet& owner, Member& member)
            : directory(member.host, owner.m_clock.now())
            , active(configurationOfOneAccount, owner.m_clock)
            , limiter(directory, active, owner.m_bounds, owner.m_clock, owner.m_random)
        {
            active.applyIfNewer(std::to_string(owner.m_burst), ActiveConfiguration::storeSource);
            limiter.connect(member.calls);
        }

        FleetDirectory directory;
        ActiveConfiguration active;
        AccountRateLimiter limiter;
    };

    // The text is the burst of the account.
    static std::optional<PublishedConfiguration> configurationOfOneAccount(const std::string& text)
    {
        ClientAccount account;
        account.id = ClientAccountId("norrland");
        account.rate = TokensPerSecond { rate };
        account.burst = wholeTokens(std::stoi(text));
        PublishedConfiguration published;
        published.version = ConfigurationVersion { 1 };
        published.configuration.accounts = { account };
        return published;
    }

    // Hosts hear of each other up to some seconds late. A process that starts is sent the lists of the others.
    void gossip()
    {
        constexpr double share = 0.12;
        std::bernoulli_distribution hears(share);
        for (const auto& to : m_hosts) {
            for (const auto& from : m_hosts) {
                if (to == from || !to->process || !from->process || to->side != from->side)
                    continue;
                const bool starts = m_clock.now() - to->process->directory.startedAt() <= 2 * step;
                if (!starts && !hears(m_random))
                    continue;
                tell(*from, to->process->directory);
                if (starts && from->process->directory.knowsFleetSize())
                    to->process->directory.recordFleetSize(from->process->directory.recordedFleetSize());
                if (starts) {
                    for (const auto& [id, entry] : from->process->directory.entries())
                        to->process->directory.recordAlive(entry.host, entry.lastAliveAt, entry.startedAt, entry.leaving);
                }
            }
        }
    }

    // A process that no other one told the size of the fleet reads it in the store.
    void readStore(FleetDirectory& directory) const
    {
        if (!directory.knowsFleetSize() && m_clock.now() - directory.startedAt() >= 250ms)
            directory.recordFleetSize({ static_cast<std::size_t>(m_size), m_clock.now() });
    }

    void tell(const Member& from, FleetDirectory& to)
    {
        const FleetDirectory& sender = from.process->directory;
        to.recordAlive(from.host, m_clock.now(), sender.startedAt(), sender.isLeaving());
        to.recordCallSuccess(from.host.id);
    }

    int sendRequests(Process& process, double perSecond)
    {
        const double expected = perSecond * std::chrono::duration<double>(step).count();
        int granted = 0;
        for (int count = std::poisson_distribution<int>(expected)(m_random); count > 0; --count)
            process.limiter.acquire(process.active.current()->published.configuration.accounts.front(), [&](TokenGrant result) { granted += result.granted; });
        return granted;
    }

    void record(int granted)
    {
        constexpr std::size_t windowSteps = 5s / step;
        m_window.push_back(granted);
        if (m_window.size() > windowSteps)
            m_window.pop_front();
        m_peak = std::max(m_peak, std::accumulate(m_window.begin(), m_window.end(), 0));
    }

    int m_size;
    int m_burst;
    ManualClock m_clock;
    GatewayBounds m_bounds;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Member>> m_hosts;
    std::deque<int> m_window;
    int m_peak = 0;
};

/// What the operators allow in a window of five seconds.
int allowed(int accountBurst = burst)
{
    const GatewayBounds bounds;
    return static_cast<int>((rate * 5 + accountBurst) * (1 + bounds.rateOvershoot) + bounds.rateSlack);
}

constexpr double hotDemand = rate * 6;
// Tokens of several seconds, so that those granted twice show.
constexpr int largeBurst = rate * 4;

} // namespace

TEST_CASE("acquire, demand of six times the rate on all hosts, yields the rate")
{
    LimitedFleet fleet(1);
    fleet.run(10s, rate / 2.0);
    fleet.run(10s, hotDemand);
    CHECK(fleet.peak() <= allowed());
    CHECK(fleet.lastSecond() >= rate * 9 / 10);
}

// Each host that reached no coordinator granted a part of the rate that did not depend on the number of hosts.
TEST_CASE("acquire, a third of the hosts cut off under high demand, all hosts together stay within the limit")
{
    LimitedFleet fleet(2);
    fleet.run(10s, rate / 2.0);
    fleet.cut(0, 44, 1);
    fleet.run(2s, rate / 2.0);
    fleet.run(10s, hotDemand);
    fleet.cut(0, hostCount, 0);
    fleet.run(10s, hotDemand);
    CHECK(fleet.peak() <= allowed());
    CHECK(fleet.lastSecond() >= rate * 9 / 10);
}

TEST_CASE("acquire, each host cut off from all others under high demand, all hosts together stay within the limit")
{
    LimitedFleet fleet(3);
    fleet.run(10s, rate / 2.0);
    for (int index = 0; index < hostCount; ++index)
        fleet.cut(index, index + 1, index);
    fleet.run(20s, hotDemand);
    CHECK(fleet.peak() <= allowed());
}

// Hosts that start together know only some of the others: their shares must not add up to more than the limit.
TEST_CASE("acquire, all hosts killed at once under high demand, stay within the limit and recover the rate")
{
    LimitedFleet fleet(4);
    fleet.run(10s, rate / 2.0);
    fleet.run(2s, hotDemand);
    for (int index = 0; index < hostCount; ++index)
        fleet.kill(index);
    fleet.run(1s, hotDemand);
    for (int index = 0; index < hostCount; ++index)
        fleet.start(index);
    fleet.run(10s, hotDemand);
    CHECK(fleet.peak() <= allowed());
    CHECK(fleet.lastSecond() >= rate * 9 / 10);
}

TEST_CASE("acquire, coordinators change by planned stops under high demand, stay within the limit and yield the rate")
{
    LimitedFleet fleet(5);
    fleet.run(10s, rate / 2.0);
    for (int index = 0; index < hostCount; index += 6) {
        for (int each = index; each < std::min(index + 6, hostCount); ++each)
            fleet.announceStop(each);
        fleet.run(1s, hotDemand);
        for (int each = index; each < std::min(index + 6, hostCount); ++each) {
            fleet.kill(each);
            fleet.start(each);
        }
    }
    fleet.run(6s, hotDemand);
    CHECK(fleet.peak() <= allowed());
    CHECK(fleet.lastSecond() >= rate * 9 / 10);
}

// A host that takes over from one that took over from it must not grant the tokens of the time between.
TEST_CASE("acquire, hosts of a small fleet restart one after the other, stay within the limit")
{
    for (std::uint32_t seed = 0; seed < 120; ++seed) {
        CAPTURE(seed);
        const int size = 2 + static_cast<int>(seed % 4);
        const int restartFirst = 1 + static_cast<int>(seed / 4) % (size - 1);
        const bool planned = seed % 3 == 0;
        LimitedFleet fleet(seed, size, largeBurst);
        // Which host coordinates the account depends on its name.
        const auto member = [&](int index) { return (index + static_cast<int>(seed / 12)) % size; };
        fleet.run(10s, 0);
        for (int index = 0; index < restartFirst; ++index) {
            fleet.kill(member(index));
            fleet.start(member(index));
        }
        fleet.run(3s, 0);
        fleet.run(500ms, hotDemand);
        for (int index = restartFirst; index < size; ++index) {
            if (planned)
                fleet.announceStop(member(index));
            else
                fleet.kill(member(index));
        }
        fleet.run(300ms, hotDemand);
        for (int index = restartFirst; index < size; ++index) {
            fleet.kill(member(index));
            fleet.start(member(index));
        }
        fleet.run(6s, hotDemand);
        CHECK(fleet.peak() <= allowed(largeBurst));
    }
}

TEST_CASE("acquire, hosts of small fleets restart at random, stay within the limit")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        const int size = 2 + static_cast<int>(seed % 7);
        LimitedFleet fleet(seed, size, largeBurst);
        std::minstd_rand random(seed);
        fleet.run(10s, rate / 2.0);
        for (int round = 0; round < 12; ++round) {
            const int index = static_cast<int>(random() % static_cast<unsigned>(size));
            if (random() % 2 == 0) {
                fleet.announceStop(index);
                fleet.run(1s, hotDemand);
            }
            fleet.kill(index);
            fleet.run(std::chrono::milliseconds(300), hotDemand);
            fleet.start(index);
            fleet.run(std::chrono::milliseconds(500 + random() % 6000), random() % 2 ? hotDemand : 0);
        }
        CHECK(fleet.peak() <= allowed(largeBurst));
    }
}

TEST_CASE("acquire, cuts, kills, stops and returns at random under high demand, stay within the limit")
{
    for (std::uint32_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        LimitedFleet fleet(seed);
        std::minstd_rand random(seed);
        fleet.run(10s, rate / 2.0);
        for (int round = 0; round < 12; ++round) {
            const int first = static_cast<int>(random() % hostCount);
            const int last = std::min(hostCount, first + 1 + static_cast<int>(random() % 60));
            switch (random() % 4) {
            case 0:
                fleet.cut(first, last, 1 + static_cast<int>(random() % 2));
                break;
            case 1:
                fleet.cut(0, hostCount, 0);
                break;
            default:
                for (int index = first; index < last; ++index) {
                    fleet.kill(index);
                    fleet.start(index);
                }
            }
            fleet.run(std::chrono::milliseconds(500 + random() % 6000), hotDemand);
        }
        CHECK(fleet.peak() <= allowed());
    }
}
