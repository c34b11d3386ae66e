#include <lacewingsail/Platform.h>

#include <lacewingsail/Http.h>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds hostListTimeout { 2000 };

} // namespace internal

HttpHostList::HttpHostList(Endpoint endpoint, HostId viewer)
    : m_viewer(std::move(viewer))
    , m_client(std::make_unique<HttpClient>(std::move(endpoint)))
{
}

HttpHostList::~HttpHostList() = default;

std::vector<Host> HttpHostList::hosts(std::error_code& error)
{
    const HttpResponse response = m_client->send({ "GET", "/hosts?viewer=" + m_viewer.value(), {}, {} }, internal::hostListTimeout, error);
    if (error)
        return {};
    Problems problems;
    auto parsed = parseHostList(response.body, problems);
    if (response.status == 200 && parsed)
        return std::move(*parsed);
    error = ResultCode::HostUnreachable;
    return {};
}

} // namespace lacewingsail
