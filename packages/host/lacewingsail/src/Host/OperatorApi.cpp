#include "OperatorApi.h"

#include <lacewingsail/Wire.h>

#include <boost/json.hpp>

#include <charconv>
#include <csignal>
#include <unistd.h>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    HttpResponse plain(int status, std::string body)
    {
        return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(body) };
    }

    HttpResponse asJson(int status, const json::value& value)
    {
        return { status, { { "Content-Type", "application/json" } }, json::serialize(value) + '\n' };
    }

    HttpResponse failure(ResultCode code)
    {
        const ResultCodeEntry& entry = entryOf(code);
        return asJson(entry.httpStatus, json::object { { "code", static_cast<int>(code) }, { "name", entry.name }, { "message", entry.meaning } });
    }

    HttpResponse confirmation(ResultCode code)
    {
        return code == ResultCode::Ok ? asJson(200, json::object { { "taken", true } }) : failure(code);
    }

    json::array servicesOf(const FleetSnapshot& snapshot)
    {
        json::array services;
        if (!snapshot.tables)
            return services;
        const auto& configured = snapshot.tables->configuration->services;
        for (std::size_t service = 0; service < configured.size(); ++service) {
            json::array servers;
            for (std::size_t server = 0; server < configured[service].backendServers.size(); ++server) {
                servers.emplace_back(json::object { { "name", configured[service].backendServers[server].id.value() },
                    { "standing", nameOf(snapshot.standings[service][server]) }, { "share_percent", snapshot.warmupShares[service][server].value }, { "in_flight", snapshot.loads[service][server]->inFlight.load() } });
            }
            services.emplace_back(json::object { { "name", configured[service].id.value() }, { "floor_percent", configured[service].floor.value }, { "backend_servers", std::move(servers) } });
        }
        return services;
    }

    json::array linksOf(const FleetMembership& membership)
    {
        json::array links;
        for (const LinkView& link : membership.links())
            links.emplace_back(json::object { { "host", link.host.value() }, { "heard", nameOf(link.direction) }, { "leaving", link.leaving } });
        return links;
    }

    json::object slotsOf(const SlotsInUse& inUse)
    {
        json::array held;
        for (const HeldSlot& slot : inUse.held.slots)
            held.emplace_back(number(slot.slot));
        json::array holders;
        for (const SlotState& state : inUse.slots)
            holders.emplace_back(json::object { { "host", state.host.value() }, { "incarnation", state.holder.value() }, { "last", state.lastRecord } });
        return { { "incarnation", inUse.incarnation.value() }, { "held", std::move(held) }, { "holders", std::move(holders) } };
    }

} // namespace internal

OperatorApi::OperatorApi(const OperatorView& view)
    : m_view(view)
{
}

HttpResponse OperatorApi::answer(const HttpRequest& request) const
{
    const std::string_view path = pathOf(request.target);
    if (path == "/healthz")
        return internal::plain(200, "ok\n");
    if (path == "/readyz") {
        const auto snapshot = m_view.snapshot.current();
        const bool admits = !m_readyIf || m_readyIf();
        const bool ready = !m_view.draining && snapshot->tables && !keysAreStale(*snapshot, m_view.clock.now()) && admits;
        return internal::plain(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics")
        return internal::plain(200, m_view.metrics.prometheusText());
    if (!isOperator(request))
        return internal::failure(ResultCode::NotAuthorized);
    return answerOperator(request);
}

HttpResponse OperatorApi::answerOperator(const HttpRequest& request) const
{
    const std::string_view path = pathOf(request.target);
    if (request.method == "GET" && path == "/status")
        return status();
    if (request.method == "GET" && path == "/journal")
        return journal(request);
    if (request.method == "POST" && path == "/withdrawals")
        return withdraw(request);
    if (request.method == "GET" && path == "/withdrawals")
        return withdrawals();
    if (request.method == "GET" && path == "/configuration")
        return configuration();
    if (request.method == "POST" && path == "/drain")
        return drain();
    if (request.method == "POST" && path == "/pins")
        return internal::confirmation(m_view.ejections.pin(request.body));
    if (request.method == "POST" && path == "/confirmations")
        return internal::confirmation(m_view.ejections.confirm(request.body));
    return internal::failure(ResultCode::NoRoute);
}

HttpResponse OperatorApi::status() const
{
    const auto snapshot = m_view.snapshot.current();
    const ConfigurationFold fold = m_view.configuration.fold();
    json::object status { { "host", m_view.settings.id.value() }, { "zone", m_view.settings.zone.value() } };
    status["configuration_version"] = number(fold.version);
    status["configuration_author"] = fold.current.author;
    status["log_position"] = number(fold.position);
    status["log_records_expired"] = m_view.configuration.behindGap();
    status["withdrawn_keys"] = m_view.configuration.withdrawn()->size();
    status["withdrawn_keys_not_logged"] = m_view.configuration.withdrawnButNotLogged().size();
    status["keys_stale"] = keysAreStale(*snapshot, m_view.clock.now());
    status["draining"] = m_view.draining.load();
    status["links"] = internal::linksOf(m_view.membership);
    status["services"] = internal::servicesOf(*snapshot);
    if (m_slots)
        status["limit_slots"] = internal::slotsOf(m_slots());
    status["ejections"] = m_view.ejections.reports();
    return internal::asJson(200, status);
}

HttpResponse OperatorApi::journal(const HttpRequest& request) const
{
    const std::string after = queryValue(request.target, "after", "0");
    std::uint64_t position = 0;
    std::from_chars(after.data(), after.data() + after.size(), position);
    json::array lines;
    for (const std::string& line : m_view.journal.linesWith(queryValue(request.target, "contains", ""), position))
        lines.emplace_back(line);
    return internal::asJson(200, json::object { { "host", m_view.settings.id.value() }, { "next", position }, { "events", std::move(lines) } });
}

HttpResponse OperatorApi::withdraw(const HttpRequest& request) const
{
    Problems problems;
    const auto withdrawal = parseKeyWithdrawal(request.body, problems);
    if (!withdrawal)
        return internal::failure(ResultCode::InvalidArgument);
    m_view.configuration.withdraw(withdrawal->keys);
    return internal::asJson(200, json::object { { "withdrawn", withdrawal->keys.size() } });
}

HttpResponse OperatorApi::withdrawals() const
{
    json::array keys;
    for (const KeyId& key : *m_view.configuration.withdrawn())
        keys.emplace_back(key.value());
    return internal::asJson(200, json::object { { "keys", std::move(keys) } });
}

HttpResponse OperatorApi::configuration() const
{
    const ConfigurationFold fold = m_view.configuration.fold();
    if (!fold.current.configuration)
        return internal::failure(ResultCode::NoConfiguration);
    return { 200, { { "Content-Type", "application/json" } }, formatCheckpointOf(fold) };
}

HttpResponse OperatorApi::drain() const
{
    m_view.journal.record(Event("drain-requested").with("host", m_view.settings.id));
    // The same way in as for the platform, so that there is one planned stop only.
    kill(getpid(), SIGTERM);
    return internal::asJson(200, json::object { { "draining", true } });
}

bool OperatorApi::isOperator(const HttpRequest& request) const
{
    // Digests are compared so that the time taken says nothing about the secret.
    return sha256(fieldValue(request.fields, "Authorization")) == sha256("Bearer " + m_view.settings.fleetSecret);
}

} // namespace lacewingsail
