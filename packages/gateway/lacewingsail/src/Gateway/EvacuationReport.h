#pragma once

#include <lacewingsail/Discovery.h>
#include <lacewingsail/Observe.h>

#include <set>

namespace lacewingsail::internal {

/// \brief Logs which zones' servers get no new requests of this host, and since when they may again, and counts it in the metrics.
class EvacuationReport {
public:
    explicit EvacuationReport(Metrics& metrics)
        : m_metrics(metrics)
    {
    }

    /// \brief To be called once a change of the registry has taken effect on the requests.
    void update(const ServerRegistry&);

private:
    Metrics& m_metrics;
    std::set<ZoneId> m_evacuated;
};

} // namespace lacewingsail::internal
