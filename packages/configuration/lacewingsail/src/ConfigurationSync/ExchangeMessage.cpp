#include "ExchangeMessage.h"

namespace lacewingsail::internal {

namespace {

    constexpr std::size_t mostUnheardNamed = 16;

    std::uint64_t millisecondsSince(MonotonicTime then, MonotonicTime now)
    {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(now - then).count()));
    }

    template <typename Id, typename Names>
    std::vector<Id> toIds(const Names& names)
    {
        std::vector<Id> ids;
        for (const std::string& name : names)
            ids.emplace_back(name);
        return ids;
    }

    // An age beyond this says no more than "long ago", and must not overflow the clock's type.
    constexpr std::uint64_t longestAgeMilliseconds = 366ULL * 24 * 3'600'000;

    MonotonicTime before(MonotonicTime instant, std::uint64_t ageMilliseconds)
    {
        return instant - std::chrono::milliseconds(std::min(ageMilliseconds, longestAgeMilliseconds));
    }

} // namespace

ExchangeMessages::ExchangeMessages(const ConfigurationPeersParts& parts)
    : m_parts(parts)
{
}

protocol::Exchange ExchangeMessages::make(bool wholeSet) const
{
    const MonotonicTime now = m_parts.clock.now();
    const ConfigurationFold fold = m_parts.state.fold();
    // Taken before the keys: what is said of the log must not cover more than the keys named.
    const MonotonicTime logKnownAsOf = m_parts.freshness.logKnownAsOf();
    const WithdrawalSummary withdrawals = m_parts.state.withdrawalSummary();
    protocol::Exchange message;
    message.set_host(m_parts.settings.id.value());
    message.set_zone(m_parts.settings.zone.value());
    message.set_configuration_version(number(fold.version));
    message.set_configuration_position(number(fold.position));
    message.set_withdrawn_key_count(withdrawals.count);
    message.set_withdrawn_key_digest(withdrawals.digest);
    message.set_whole_set(wholeSet);
    if (wholeSet) {
        for (const KeyId& key : *m_parts.state.withdrawn())
            message.add_withdrawn_keys(key.value());
    } else {
        for (const KeyId& key : withdrawals.latest)
            message.add_withdrawn_keys(key.value());
    }
    if (logKnownAsOf != MonotonicTime {})
        message.set_log_age_ms(millisecondsSince(logKnownAsOf, now));
    if (const auto checkpoint = m_parts.checkpointAge.lastSeen())
        message.set_checkpoint_age_ms(millisecondsSince(*checkpoint, now));
    message.set_leaving(m_leaving);
    for (const HostId& host : m_parts.membership.unheard(mostUnheardNamed))
        message.add_unheard_hosts(host.value());
    return message;
}

bool ExchangeMessages::take(const protocol::Exchange& message, std::optional<MonotonicTime> asOf) const
{
    const HostId sender(message.host());
    // A host sends its requests one after the other, but an answer made before it began to leave may be read after its
    // farewell; so only a request says that it does not leave.
    const bool mayBeOld = asOf.has_value() && !message.leaving();
    m_parts.membership.heard(sender, toIds<HostId>(message.unheard_hosts()), mayBeOld ? std::nullopt : std::optional(message.leaving()));
    m_parts.state.withdraw(toIds<KeyId>(message.withdrawn_keys()));
    const bool knowsAll = message.whole_set() || !differsFrom(message);
    // A request may have waited in a buffer while this process was paused, so only answers to own requests count.
    if (knowsAll && asOf) {
        m_parts.freshness.heardPeer(sender, *asOf);
        noteAges(message, *asOf);
    }
    return knowsAll;
}

void ExchangeMessages::noteAges(const protocol::Exchange& message, MonotonicTime asOf) const
{
    if (message.has_log_age_ms())
        m_parts.freshness.heardLog(before(asOf, message.log_age_ms()));
    if (message.has_checkpoint_age_ms())
        m_parts.checkpointAge.seen(before(asOf, message.checkpoint_age_ms()));
}

bool ExchangeMessages::differsFrom(const protocol::Exchange& message) const
{
    const WithdrawalSummary own = m_parts.state.withdrawalSummary();
    return own.count != message.withdrawn_key_count() || own.digest != message.withdrawn_key_digest();
}

} // namespace lacewingsail::internal
