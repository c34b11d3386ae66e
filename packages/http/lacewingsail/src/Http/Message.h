#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lacewingsail {

/// \brief One header field.
struct HttpField {
    std::string name;
    std::string value;
};

/// \brief A whole request.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpField> fields;
    std::string body;
};

/// \brief A whole response.
struct HttpResponse {
    int status = 200;
    std::vector<HttpField> fields;
    std::string body;
};

/// \returns the value of the first field of that name, whatever its case, or an empty text.
std::string_view fieldValue(const std::vector<HttpField>&, std::string_view name);

/// \returns the path of \p target without its query.
std::string_view pathOf(std::string_view target);

/// \returns the value of \p name in the query of \p target, or \p fallback. Values are taken as they stand.
std::string queryValue(std::string_view target, std::string_view name, std::string_view fallback);

} // namespace lacewingsail
