#include "OperatorApi.h"

#include <lacewingsail/Wire.h>

#include <boost/json.hpp>

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

    const char* nameOf(Standing standing)
    {
        switch (standing) {
        case Standing::Serving:
            return "serving";
        case Standing::Ejected:
            return "ejected";
        case Standing::Leaving:
            return "leaving";
        }
        return "";
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
                    { "standing", nameOf(snapshot.standings[service][server]) }, { "in_flight", snapshot.loads[service][server]->inFlight.load() } });
            }
            services.emplace_back(json::object { { "name", configured[service].id.value() }, { "floor_percent", configured[service].floor.value }, { "backend_servers", std::move(servers) } });
        }
        return services;
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
        const bool ready = !m_view.draining && m_view.snapshot.current()->tables && !m_view.snapshot.current()->keysStale;
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
    return internal::failure(ResultCode::NoRoute);
}

HttpResponse OperatorApi::status() const
{
    const auto snapshot = m_view.snapshot.current();
    return internal::asJson(200, json::object { { "host", m_view.settings.id.value() }, { "zone", m_view.settings.zone.value() }, { "configuration_version", number(m_view.configuration.version()) }, { "withdrawn_keys", m_view.configuration.withdrawn()->size() }, { "keys_stale", snapshot->keysStale }, { "draining", m_view.draining.load() }, { "services", internal::servicesOf(*snapshot) } });
}

HttpResponse OperatorApi::journal(const HttpRequest& request) const
{
    json::array lines;
    for (const std::string& line : m_view.journal.linesWith(queryValue(request.target, "contains", "")))
        lines.emplace_back(line);
    return internal::asJson(200, json::object { { "host", m_view.settings.id.value() }, { "events", std::move(lines) } });
}

HttpResponse OperatorApi::withdraw(const HttpRequest& request) const
{
    Problems problems;
    const auto withdrawal = parseKeyWithdrawal(request.body, problems);
    if (!withdrawal)
        return internal::failure(ResultCode::InvalidArgument);
    m_view.configuration.withdraw({ withdrawal->key });
    return internal::asJson(200, json::object { { "withdrawn", withdrawal->key.value() } });
}

bool OperatorApi::isOperator(const HttpRequest& request) const
{
    // Digests are compared so that the time taken says nothing about the secret.
    return sha256(fieldValue(request.fields, "Authorization")) == sha256("Bearer " + m_view.settings.fleetSecret);
}

} // namespace lacewingsail
