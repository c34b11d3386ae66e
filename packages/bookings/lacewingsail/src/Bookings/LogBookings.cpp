#include <lacewingsail/Bookings.h>

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <semaphore>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds busyInterval { 5 };
    constexpr std::chrono::milliseconds idleInterval { 250 };
    // A stop waits this long for the log to take the last outcomes.
    constexpr std::chrono::seconds stopPatience { 2 };
    constexpr std::size_t largestWakeCount = 1 << 20;

    std::size_t shardOf(const ClientAccountId& account, const std::string& key)
    {
        return stableHash(account.value() + '\n' + key) % bookingShards;
    }

    std::string streamOf(std::size_t shard) { return "bookings/" + std::to_string(shard); }

} // namespace internal

std::string bookingStream(const ClientAccountId& account, const std::string& key) { return internal::streamOf(internal::shardOf(account, key)); }

// All desks belong to one thread. Others hand it work through a queue that takes no lock.
struct LogBookings::Implementation {
    using Work = std::function<void()>;

    Implementation(const HostSettings&, const MakeLog&, const Clock&, Journal&);
    ~Implementation();

    void post(Work);
    void run();
    void turn();
    void noteLog();
    BookingShard::Handlers handlersFor(std::size_t shard);

    const Clock& clock;
    Journal& journal;
    std::vector<std::unique_ptr<ClaimDesk>> desks;
    tbb::concurrent_queue<Work> queue;
    std::counting_semaphore<internal::largestWakeCount> wake { 0 };
    std::atomic<bool> stopping { false };
    bool logWasAway = true;
    std::vector<std::unique_ptr<BookingShard>> shards;
    std::thread thread;
};

LogBookings::Implementation::Implementation(const HostSettings& settings, const MakeLog& makeLog, const Clock& hostClock, Journal& hostJournal)
    : clock(hostClock)
    , journal(hostJournal)
{
    for (std::size_t shard = 0; shard < bookingShards; ++shard)
        desks.push_back(std::make_unique<ClaimDesk>(settings.id, settings.bookings));
    for (std::size_t shard = 0; shard < bookingShards; ++shard)
        shards.push_back(std::make_unique<BookingShard>(internal::streamOf(shard), makeLog(), makeLog(), journal, handlersFor(shard)));
    thread = std::thread([this] { run(); });
}

LogBookings::Implementation::~Implementation()
{
    stopping = true;
    wake.release();
    thread.join();
}

BookingShard::Handlers LogBookings::Implementation::handlersFor(std::size_t shard)
{
    ClaimDesk& desk = *desks[shard];
    return {
        [this, &desk](std::vector<BookingBatch> batches) {
            post([this, &desk, batches = std::move(batches)] {
                for (const BookingBatch& batch : batches)
                    desk.read(batch, clock.now());
                desk.heard(clock.now());
            });
        },
        [this, &desk] { post([&desk] { desk.readFailed(); }); },
        [this, &desk](bool answered) { post([this, &desk, answered] { desk.appended(answered, clock.now()); }); },
    };
}

void LogBookings::Implementation::post(Work work)
{
    queue.push(std::move(work));
    wake.release();
}

void LogBookings::Implementation::turn()
{
    Work work;
    while (queue.try_pop(work))
        work();
    for (std::size_t shard = 0; shard < desks.size(); ++shard) {
        desks[shard]->tick(clock.now());
        if (const auto batch = desks[shard]->nextBatch(clock.now()))
            shards[shard]->append(*batch);
    }
    noteLog();
}

void LogBookings::Implementation::noteLog()
{
    const bool away = std::any_of(desks.begin(), desks.end(), [](const auto& desk) { return desk->logAway(); });
    if (away != logWasAway)
        journal.record(Event(away ? "booking-log-away" : "booking-log-heard"));
    logWasAway = away;
}

void LogBookings::Implementation::run()
{
    MonotonicTime stopAt = MonotonicTime::max();
    for (;;) {
        turn();
        const bool busy = std::any_of(desks.begin(), desks.end(), [](const auto& desk) { return desk->busy(); });
        if (stopping && stopAt == MonotonicTime::max())
            stopAt = clock.now() + internal::stopPatience;
        if (stopping && (!busy || clock.now() >= stopAt))
            return;
        if (wake.try_acquire_for(busy ? internal::busyInterval : internal::idleInterval)) {
            // Work that came in meanwhile is done in the same turn.
            while (wake.try_acquire()) { }
        }
    }
}

LogBookings::LogBookings(const HostSettings& settings, const MakeLog& makeLog, const Clock& clock, Journal& journal)
    : m_implementation(std::make_unique<Implementation>(settings, makeLog, clock, journal))
{
}

LogBookings::~LogBookings() = default;

void LogBookings::claim(BookingClaim claim, MonotonicTime deadline, Callback answer)
{
    ClaimDesk& desk = *m_implementation->desks[internal::shardOf(claim.account, claim.key)];
    m_implementation->post([clock = &m_implementation->clock, &desk, claim = std::move(claim), deadline, answer = std::move(answer)] {
        desk.claim(claim, deadline, answer, clock->now());
    });
}

void LogBookings::finish(BookingOutcome outcome)
{
    ClaimDesk& desk = *m_implementation->desks[internal::shardOf(outcome.account, outcome.key)];
    m_implementation->post([&desk, outcome = std::move(outcome)] { desk.finish(outcome); });
}

} // namespace lacewingsail
