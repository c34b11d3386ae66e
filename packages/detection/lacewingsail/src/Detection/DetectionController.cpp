#include <lacewingsail/Detection.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds decisionInterval { 50 };
    constexpr int decisionsPerExchange = 2;

} // namespace internal

struct DetectionController::Implementation {
    explicit Implementation(DetectionServices detectionServices)
        : services(std::move(detectionServices))
    {
    }

    const DetectionServices services;
    std::mutex mutex;
    std::condition_variable stopRequested;
    bool stopping = false;
    std::thread thread;

    void decideOnce()
    {
        for (const AttemptEvidence& evidence : services.queue.drain())
            services.state.take(evidence);
        services.publish();
        services.state.serve(*services.snapshot());
    }

    void run()
    {
        int round = 0;
        std::unique_lock lock(mutex);
        while (!stopRequested.wait_for(lock, internal::decisionInterval, [this] { return stopping; })) {
            lock.unlock();
            decideOnce();
            if (++round % internal::decisionsPerExchange == 0)
                services.peers.exchange();
            lock.lock();
        }
    }
};

DetectionController::DetectionController(DetectionServices services)
    : m_implementation(std::make_unique<Implementation>(std::move(services)))
{
    m_implementation->thread = std::thread([this] { m_implementation->run(); });
}

DetectionController::~DetectionController()
{
    {
        const std::lock_guard lock(m_implementation->mutex);
        m_implementation->stopping = true;
    }
    m_implementation->stopRequested.notify_all();
    m_implementation->thread.join();
}

} // namespace lacewingsail
