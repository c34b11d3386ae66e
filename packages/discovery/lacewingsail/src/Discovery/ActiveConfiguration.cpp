#include <lacewingsail/Discovery.h>

#include <algorithm>

namespace lacewingsail {

bool ActiveConfiguration::applyIfNewer(const std::string& text, std::string_view source)
{
    if (text == m_text)
        return false;
    const MonotonicTime startedAt = m_clock.now();
    auto published = m_decoder(text);
    if (!published) {
        log(Event("configuration-malformed").with("source", source).with("bytes", static_cast<long long>(text.size())));
        return false;
    }
    if (published->version <= version())
        return false;
    auto next = std::make_shared<CompiledConfiguration>();
    next->published = std::move(*published);
    const Configuration& configuration = next->published.configuration;
    next->routes = makeHostRouteTable(configuration.routes);
    next->keys = makeKeyTable(configuration.accounts);
    for (const ClientAccount& account : configuration.accounts)
        next->accounts.emplace(account.id, &account);
    m_maxIdleTimeout = std::max(m_maxIdleTimeout, next->published.limits.idleTimeout);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - startedAt);
    Event event("configuration-activated");
    event.with("version", static_cast<long long>(number(next->published.version))).with("previous_version", static_cast<long long>(number(version())));
    event.with("source", source).with("bytes", static_cast<long long>(text.size())).with("took_ms", took.count());
    event.with("routes", static_cast<long long>(configuration.routes.size())).with("accounts", static_cast<long long>(configuration.accounts.size()));
    log(event);
    m_current = std::move(next);
    m_text = text;
    return true;
}

} // namespace lacewingsail
