#include <lacewingsail/Detection.h>

#include "EvidenceTables.h"

namespace lacewingsail {

bool DetectionState::confirm(const ServiceId& service, const BackendServerId& server, const std::string& author)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto record = found->second.servers.find(server);
    if (record == found->second.servers.end() || !record->second.proposed)
        return false;
    record->second.confirmed = true;
    m_journal.record(Event("ejection-confirmed").with("service", service).with("server", server).with("author", author));
    return true;
}

bool DetectionState::pin(const ServiceId& service, const BackendServerId& server, Pin pin)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto record = found->second.servers.find(server);
    if (record == found->second.servers.end())
        return false;
    m_journal.record(Event("server-pinned").with("service", service).with("server", server).with("author", pin.author).with("to", pin.kind == Pin::Kind::Serving ? "serving" : "ejected"));
    record->second.pin = std::move(pin);
    return true;
}

std::vector<ServerReport> DetectionState::reports()
{
    const std::lock_guard lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    std::vector<ServerReport> result;
    for (const auto& [service, record] : m_services) {
        for (const auto& [server, each] : record.servers) {
            const Percent share = warmupShare(each.recovery, now);
            const bool plain = each.standing == Standing::Serving && share.value == 100 && each.judgement.severity < internal::worthTelling && !each.pin;
            if (!plain)
                result.push_back({ service, server, each.standing, share, each.rule, each.judgement, each.proposed, each.pin });
        }
    }
    return result;
}

} // namespace lacewingsail
