#include "EvacuationReport.h"

#include <algorithm>

namespace lacewingsail::internal {

void EvacuationReport::update(const ServerRegistry& registry)
{
    for (const ZoneEvacuation& record : registry.evacuations().records()) {
        const bool known = m_evacuated.contains(record.zone);
        if (known == !record.ended)
            continue;
        const auto servers = std::ranges::count_if(registry.entries(), [&](const auto& entry) { return entry.second.registration.zone == record.zone; });
        log(Event(record.ended ? "evacuation-over" : "evacuation-in-effect").with("zone", record.zone).with("servers", static_cast<long long>(servers)));
        m_metrics.counter("zone_evacuated", "zone", record.zone.value()).store(record.ended ? 0 : 1, std::memory_order_relaxed);
        m_metrics.counter(record.ended ? "evacuations_ended_total" : "evacuations_total", "zone", record.zone.value()).fetch_add(1, std::memory_order_relaxed);
        if (record.ended)
            m_evacuated.erase(record.zone);
        else
            m_evacuated.insert(record.zone);
    }
}

} // namespace lacewingsail::internal
