#include <lacewingsail/Bookings.h>

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <semaphore>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds busyInterval { 5 };
    constexpr std::chrono::milliseconds idleInterval { 250 };
    // How long a stop waits for pending claims and for the last outcomes to be appended.
    constexpr std::chrono::seconds stopTimeout { 2 };
    constexpr std::size_t maxWakeCount = 1 << 20;

    std::size_t shardOf(const ClientAccountId& account, const std::string& key)
    {
        return stableHash(account.value() + '\n' + key) % bookingShardCount;
    }

    std::string streamName(std::size_t shard) { return "bookings/" + std::to_string(shard); }

} // namespace internal

std::string bookingStream(const ClientAccountId& account, const std::string& key) { return internal::streamName(internal::shardOf(account, key)); }

// The trackers are used on one thread only. Other threads post work to it through a queue without locks.
struct LogBookings::Implementation {
    using Work = std::function<void()>;

    Implementation(const HostSettings&, const MakeLog&, const Clock&, Journal&);
    ~Implementation();

    void post(Work);
    void run();
    void runOnce();
    void recordLogState();
    BookingShard::Handlers handlersFor(std::size_t shard);

    const Clock& clock;
    Journal& journal;
    std::vector<std::unique_ptr<ClaimTracker>> trackers;
    tbb::concurrent_queue<Work> queue;
    std::counting_semaphore<internal::maxWakeCount> wake { 0 };
    std::atomic<bool> stopping { false };
    bool logWasUnavailable = true;
    std::vector<std::unique_ptr<BookingShard>> shards;
    std::thread thread;
};

LogBookings::Implementation::Implementation(const HostSettings& settings, const MakeLog& makeLog, const Clock& hostClock, Journal& hostJournal)
    : clock(hostClock)
    , journal(hostJournal)
{
    for (std::size_t shard = 0; shard < bookingShardCount; ++shard)
        trackers.push_back(std::make_unique<ClaimTracker>(settings.id, settings.bookings));
    for (std::size_t shard = 0; shard < bookingShardCount; ++shard)
        shards.push_back(std::make_unique<BookingShard>(internal::streamName(shard), makeLog(), makeLog(), journal, handlersFor(shard)));
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
    ClaimTracker& tracker = *trackers[shard];
    return {
        [this, &tracker](std::vector<BookingBatch> batches) {
            post([this, &tracker, batches = std::move(batches)] {
                for (const BookingBatch& batch : batches)
                    tracker.applyBatch(batch, clock.now());
                tracker.recordRead(clock.now());
            });
        },
        [this, &tracker] { post([&tracker] { tracker.recordReadFailure(); }); },
        [this, &tracker](bool acknowledged) { post([this, &tracker, acknowledged] { tracker.recordAppend(acknowledged, clock.now()); }); },
    };
}

void LogBookings::Implementation::post(Work work)
{
    queue.push(std::move(work));
    wake.release();
}

void LogBookings::Implementation::runOnce()
{
    Work work;
    while (queue.try_pop(work))
        work();
    for (std::size_t shard = 0; shard < trackers.size(); ++shard) {
        trackers[shard]->tick(clock.now());
        if (const auto batch = trackers[shard]->nextBatch(clock.now()))
            shards[shard]->append(*batch);
    }
    recordLogState();
}

void LogBookings::Implementation::recordLogState()
{
    const bool unavailable = std::any_of(trackers.begin(), trackers.end(), [](const auto& tracker) { return tracker->logUnavailable(); });
    if (unavailable != logWasUnavailable)
        journal.record(Event(unavailable ? "booking-log-away" : "booking-log-heard"));
    logWasUnavailable = unavailable;
}

void LogBookings::Implementation::run()
{
    MonotonicTime stopAt = MonotonicTime::max();
    for (;;) {
        runOnce();
        const bool busy = std::any_of(trackers.begin(), trackers.end(), [](const auto& tracker) { return tracker->hasPendingWork(); });
        if (stopping && stopAt == MonotonicTime::max())
            stopAt = clock.now() + internal::stopTimeout;
        if (stopping && (!busy || clock.now() >= stopAt))
            return;
        if (wake.try_acquire_for(busy ? internal::busyInterval : internal::idleInterval)) {
            // One pass handles all work posted so far.
            while (wake.try_acquire()) { }
        }
    }
}

LogBookings::LogBookings(const HostSettings& settings, const MakeLog& makeLog, const Clock& clock, Journal& journal)
    : m_implementation(std::make_unique<Implementation>(settings, makeLog, clock, journal))
{
}

LogBookings::~LogBookings() = default;

void LogBookings::claim(BookingClaim claim, MonotonicTime deadline, Callback callback)
{
    ClaimTracker& tracker = *m_implementation->trackers[internal::shardOf(claim.account, claim.key)];
    m_implementation->post([clock = &m_implementation->clock, &tracker, claim = std::move(claim), deadline, callback = std::move(callback)] {
        tracker.claim(claim, deadline, callback, clock->now());
    });
}

void LogBookings::finish(BookingOutcome outcome)
{
    ClaimTracker& tracker = *m_implementation->trackers[internal::shardOf(outcome.account, outcome.key)];
    m_implementation->post([&tracker, outcome = std::move(outcome)] { tracker.finish(outcome); });
}

} // namespace lacewingsail
