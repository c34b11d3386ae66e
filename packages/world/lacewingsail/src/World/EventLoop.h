#pragma once

#include <chrono>
#include <functional>

namespace lacewingsail {

/// \brief One thread that runs handlers one after the other; what it runs needs no locks.
class EventLoop {
public:
    using Handler = std::function<void()>;

    virtual ~EventLoop() = default;

    /// \brief Runs \p handler soon, never from within the call. Safe to call from any thread.
    virtual void post(Handler handler) = 0;

    /// \brief Runs \p handler after \p delay. To be called on the loop's thread.
    virtual void after(std::chrono::milliseconds delay, Handler handler) = 0;
};

} // namespace lacewingsail
