#pragma once

#include <lacewingsail/Detection.h>
#include <lacewingsail/Http.h>
#include <lacewingsail/World.h>

#include <boost/json/fwd.hpp>

namespace lacewingsail {

/// \brief What operators see of and do about ejections on one host.
class EjectionApi {
public:
    /// \param detection must outlive the object, as must the clock.
    EjectionApi(DetectionState& detection, const Clock&);

    /// \returns every backend server that is not plainly serving, with its evidence, the rule and what would reverse it.
    boost::json::array reports() const;

    /// \brief Takes {"service", "server", "as": "serving"|"ejected", "seconds", "author"}.
    ResultCode pin(const std::string& body) const;

    /// \brief Takes {"service", "server", "author"}.
    ResultCode confirm(const std::string& body) const;

private:
    DetectionState& m_detection;
    const Clock& m_clock;
};

} // namespace lacewingsail
