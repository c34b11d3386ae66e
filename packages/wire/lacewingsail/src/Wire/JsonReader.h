#pragma once

#include "Problems.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lacewingsail::internal {

/// \brief Reads the fields of one JSON object, collecting every problem instead of stopping at the first.
/// Call finish() last: it reports the fields that nobody asked for.
class JsonReader {
public:
    JsonReader(const boost::json::value& value, std::string path, Problems& problems);

    /// \brief Each reads one field; a missing optional field leaves \p fallback.
    std::string text(std::string_view name, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view name, double least, double most, std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view name, std::optional<bool> fallback = std::nullopt);

    /// \brief Calls \p read with each element and its path. A missing array counts as empty if \p required is false.
    void array(std::string_view name, bool required, const std::function<void(const boost::json::value&, const std::string&)>& read);

    /// \returns the field, marked as known, or null.
    const boost::json::value* field(std::string_view name, bool required);

    void problem(std::string_view name, std::string reason);
    std::string pathOf(std::string_view name) const;
    void finish();

private:
    const boost::json::object* m_object = nullptr;
    std::string m_path;
    Problems& m_problems;
    std::set<std::string, std::less<>> m_known;
};

/// \returns the parsed value; a syntax error is added to \p problems with its byte offset.
std::optional<boost::json::value> parseJson(std::string_view text, Problems& problems);

} // namespace lacewingsail::internal
