#pragma once

#include <lacewingsail/World.h>

#include <functional>

namespace lacewingsail {

/// \brief Decides whether a client account may run one more request, across the whole fleet. Thread-safe.
class Admission {
public:
    using Callback = std::function<void(ResultCode)>;

    virtual ~Admission() = default;

    /// \brief Takes one token of \p account.
    /// \param callback called exactly once, synchronously or later from any thread, no later than \p deadline, with
    /// ResultCode::Ok or the reason for the rejection.
    virtual void admit(const ClientAccount& account, MonotonicTime deadline, Callback callback) = 0;
};

} // namespace lacewingsail
