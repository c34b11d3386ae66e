#include <lacewingsail/Platform.h>

#include <lacewingsail/Http.h>

#include <boost/json.hpp>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::chrono::milliseconds appendTimeout { 3000 };
    constexpr std::chrono::milliseconds readTimeout { 3000 };

    std::string recordsTarget(std::string_view stream) { return "/streams/" + std::string(stream) + "/records"; }

    LogOffset offsetOf(const json::value& value) { return LogOffset { value.to_number<std::uint64_t>() }; }

    LogPage toPage(const json::value& value)
    {
        LogPage page;
        page.earliest = offsetOf(value.at("earliest"));
        page.next = offsetOf(value.at("next"));
        for (const json::value& record : value.at("records").as_array())
            page.records.push_back({ offsetOf(record.at("offset")), std::string(record.at("body").as_string()) });
        return page;
    }

    // Anything but a well-formed answer counts as none.
    template <typename Read>
    auto readAnswer(const HttpResponse& response, std::error_code& error, Read read) -> decltype(read(json::value {}))
    {
        if (error)
            return {};
        try {
            if (response.status == 200)
                return read(json::parse(response.body));
        } catch (const std::exception&) {
        }
        error = ResultCode::LogUnavailable;
        return {};
    }

} // namespace internal

HttpLogService::HttpLogService(Endpoint endpoint)
    : m_client(std::make_unique<HttpClient>(std::move(endpoint)))
{
}

HttpLogService::~HttpLogService() = default;

void HttpLogService::interrupt() { m_client->interrupt(); }

LogOffset HttpLogService::append(std::string_view stream, std::string_view body, std::error_code& error)
{
    const HttpRequest request { "POST", internal::recordsTarget(stream), {}, std::string(body) };
    const HttpResponse response = m_client->send(request, internal::appendTimeout, error);
    return internal::readAnswer(response, error, [](const json::value& answer) { return internal::offsetOf(answer.at("offset")); });
}

LogPage HttpLogService::read(std::string_view stream, LogOffset from, std::chrono::milliseconds wait, std::error_code& error)
{
    const std::string query = "?from=" + std::to_string(static_cast<std::uint64_t>(from)) + "&wait_ms=" + std::to_string(wait.count());
    const HttpRequest request { "GET", internal::recordsTarget(stream) + query, {}, {} };
    const HttpResponse response = m_client->send(request, internal::readTimeout + wait, error);
    return internal::readAnswer(response, error, internal::toPage);
}

} // namespace lacewingsail
