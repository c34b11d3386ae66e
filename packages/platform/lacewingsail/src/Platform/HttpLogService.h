#pragma once

#include "LogService.h"

#include <lacewingsail/World.h>

#include <memory>

namespace lacewingsail {

class HttpClient;

/// \brief The log service over HTTP.
class HttpLogService final : public LogService {
public:
    explicit HttpLogService(Endpoint);
    ~HttpLogService() override;

    LogOffset append(std::string_view stream, std::string_view body, std::error_code&) override;
    LogPage read(std::string_view stream, LogOffset from, std::chrono::milliseconds wait, std::error_code&) override;
    void interrupt() override;

private:
    std::unique_ptr<HttpClient> m_client;
};

} // namespace lacewingsail
