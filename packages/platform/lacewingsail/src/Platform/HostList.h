#pragma once

#include <lacewingsail/World.h>

#include <memory>
#include <system_error>
#include <vector>

namespace lacewingsail {

class HttpClient;

/// \brief The platform's list of live and leaving hosts. It lags.
class HostList {
public:
    virtual ~HostList() = default;
    virtual std::vector<Host> hosts(std::error_code&) = 0;
};

/// \brief The list over HTTP. Blocks; use each object from one thread.
class HttpHostList final : public HostList {
public:
    /// \param viewer who asks; the platform may give another address for the same host to another viewer.
    HttpHostList(Endpoint, HostId viewer);
    ~HttpHostList() override;

    std::vector<Host> hosts(std::error_code&) override;

private:
    const HostId m_viewer;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace lacewingsail
