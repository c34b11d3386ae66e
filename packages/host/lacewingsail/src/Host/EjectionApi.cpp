#include "EjectionApi.h"

#include <boost/json.hpp>

#include <optional>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::int64_t longestPinSeconds = 7 * 24 * 3600;

    // What both requests name.
    struct EjectionOrder {
        ServiceId service;
        BackendServerId server;
        std::string author;
        json::object fields;
    };

    std::string textField(const json::object& fields, std::string_view name)
    {
        const json::value* value = fields.if_contains(name);
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }

    std::optional<EjectionOrder> parseOrder(const std::string& body)
    {
        boost::system::error_code error;
        const json::value value = json::parse(body, error);
        if (error || !value.is_object())
            return std::nullopt;
        EjectionOrder order { ServiceId(textField(value.as_object(), "service")), BackendServerId(textField(value.as_object(), "server")),
            textField(value.as_object(), "author"), value.as_object() };
        if (order.service.empty() || order.server.empty() || order.author.empty())
            return std::nullopt;
        return order;
    }

    std::optional<std::chrono::seconds> pinDuration(const EjectionOrder& order)
    {
        const json::value* seconds = order.fields.if_contains("seconds");
        if (!seconds || !seconds->is_int64() || seconds->as_int64() < 1 || seconds->as_int64() > longestPinSeconds)
            return std::nullopt;
        return std::chrono::seconds(seconds->as_int64());
    }

    json::object reportOf(const ServerReport& report, MonotonicTime now)
    {
        json::object row { { "service", report.service.value() }, { "server", report.server.value() }, { "standing", nameOf(report.standing) } };
        row["share_percent"] = report.share.value;
        row["rule"] = nameOf(report.rule);
        row["proposed"] = report.proposed;
        row["attempts"] = report.judgement.attempts;
        row["bad"] = report.judgement.failures;
        row["slow"] = report.judgement.slow;
        row["accusers"] = report.judgement.reportingHosts;
        row["reversed_by"] = reversalCondition(report.standing, report.rule);
        if (report.pin) {
            row["pinned_by"] = report.pin->author;
            row["pin_seconds_left"] = std::chrono::duration_cast<std::chrono::seconds>(report.pin->expiresAt - now).count();
        }
        return row;
    }

} // namespace internal

EjectionApi::EjectionApi(DetectionState& detection, const Clock& clock)
    : m_detection(detection)
    , m_clock(clock)
{
}

json::array EjectionApi::reports() const
{
    json::array rows;
    for (const ServerReport& report : m_detection.reports())
        rows.emplace_back(internal::reportOf(report, m_clock.now()));
    return rows;
}

ResultCode EjectionApi::pin(const std::string& body) const
{
    const auto order = internal::parseOrder(body);
    if (!order)
        return ResultCode::InvalidArgument;
    const std::string as = internal::textField(order->fields, "as");
    const auto duration = internal::pinDuration(*order);
    if (!duration || (as != "serving" && as != "ejected"))
        return ResultCode::InvalidArgument;
    const Pin pin { as == "serving" ? Pin::Kind::Serving : Pin::Kind::Ejected, m_clock.now() + *duration, order->author };
    return m_detection.pin(order->service, order->server, pin) ? ResultCode::Ok : ResultCode::InvalidArgument;
}

ResultCode EjectionApi::confirm(const std::string& body) const
{
    const auto order = internal::parseOrder(body);
    if (!order)
        return ResultCode::InvalidArgument;
    return m_detection.confirm(order->service, order->server, order->author) ? ResultCode::Ok : ResultCode::InvalidArgument;
}

} // namespace lacewingsail
