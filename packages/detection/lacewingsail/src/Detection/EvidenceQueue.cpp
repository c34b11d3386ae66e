#include <lacewingsail/Detection.h>

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>

namespace lacewingsail {

namespace internal {

    constexpr int mostQueuedEvidence = 65'536;

} // namespace internal

struct EvidenceQueue::Implementation {
    explicit Implementation(Metrics& metrics)
        : dropped(metrics.counter("evidence_total", "fate", "dropped"))
        , taken(metrics.counter("evidence_total", "fate", "taken"))
    {
    }

    std::atomic<std::uint64_t>& dropped;
    std::atomic<std::uint64_t>& taken;
    std::atomic<int> size { 0 };
    tbb::concurrent_queue<AttemptEvidence> queue;
};

EvidenceQueue::EvidenceQueue(Metrics& metrics)
    : m_implementation(std::make_unique<Implementation>(metrics))
{
}

EvidenceQueue::~EvidenceQueue() = default;

void EvidenceQueue::observe(const AttemptEvidence& evidence)
{
    Implementation& self = *m_implementation;
    if (self.size.fetch_add(1, std::memory_order_relaxed) >= internal::mostQueuedEvidence) {
        self.size.fetch_sub(1, std::memory_order_relaxed);
        self.dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    self.taken.fetch_add(1, std::memory_order_relaxed);
    self.queue.push(evidence);
}

std::vector<AttemptEvidence> EvidenceQueue::drain()
{
    std::vector<AttemptEvidence> result;
    AttemptEvidence evidence;
    while (result.size() < internal::mostQueuedEvidence && m_implementation->queue.try_pop(evidence)) {
        m_implementation->size.fetch_sub(1, std::memory_order_relaxed);
        result.push_back(std::move(evidence));
    }
    return result;
}

} // namespace lacewingsail
