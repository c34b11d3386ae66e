#pragma once

#include <lacewingsail/World.h>

#include <functional>

namespace lacewingsail {

/// \brief Decides whether a client account may have one more request run, across the whole fleet.
/// Safe to use from several threads.
class Admission {
public:
    using Callback = std::function<void(ResultCode)>;

    virtual ~Admission() = default;

    /// \brief Takes one token of \p account.
    /// \param answer called once, at once or later and from any thread, with ResultCode::Ok or the reason of the
    /// refusal; at the latest at \p deadline.
    virtual void admit(const ClientAccount& account, MonotonicTime deadline, Callback answer) = 0;
};

} // namespace lacewingsail
