#include "JsonReader.h"

namespace lacewingsail::internal {

namespace json = boost::json;

JsonReader::JsonReader(const json::value& value, std::string path, Problems& problems)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!m_object)
        m_problems.push_back({ m_path.empty() ? "(text)" : m_path, "must be an object" });
}

const json::value* JsonReader::field(std::string_view name, bool required)
{
    m_known.emplace(name);
    if (!m_object)
        return nullptr;
    const json::value* found = m_object->if_contains(name);
    if (!found && required)
        problem(name, "is missing");
    return found;
}

std::string JsonReader::text(std::string_view name, std::optional<std::string> fallback)
{
    const json::value* found = field(name, !fallback);
    if (!found)
        return fallback.value_or("");
    const json::string* string = found->if_string();
    if (!string) {
        problem(name, "must be a string");
        return {};
    }
    if (string->empty() && !fallback)
        problem(name, "must not be empty");
    return { string->data(), string->size() };
}

std::int64_t JsonReader::integer(std::string_view name, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback)
{
    const json::value* found = field(name, !fallback);
    if (!found)
        return fallback.value_or(least);
    const std::int64_t* number = found->if_int64();
    if (!number || *number < least || *number > most) {
        problem(name, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return *number;
}

double JsonReader::number(std::string_view name, double least, double most, std::optional<double> fallback)
{
    const json::value* found = field(name, !fallback);
    if (!found)
        return fallback.value_or(least);
    boost::system::error_code error;
    const double value = found->is_number() ? found->to_number<double>(error) : least - 1;
    if (error || !(value >= least && value <= most)) {
        problem(name, "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return value;
}

bool JsonReader::boolean(std::string_view name, std::optional<bool> fallback)
{
    const json::value* found = field(name, !fallback);
    if (!found)
        return fallback.value_or(false);
    const bool* flag = found->if_bool();
    if (!flag)
        problem(name, "must be true or false");
    return flag && *flag;
}

void JsonReader::array(std::string_view name, bool required, const std::function<void(const json::value&, const std::string&)>& read)
{
    const json::value* found = field(name, required);
    if (!found)
        return;
    const json::array* elements = found->if_array();
    if (!elements) {
        problem(name, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const json::value& element : *elements)
        read(element, pathOf(name) + '[' + std::to_string(index++) + ']');
}

void JsonReader::problem(std::string_view name, std::string reason) { m_problems.push_back({ pathOf(name), std::move(reason) }); }

std::string JsonReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + '.' + std::string(name);
}

void JsonReader::finish()
{
    if (!m_object)
        return;
    for (const auto& member : *m_object) {
        const std::string_view name(member.key().data(), member.key().size());
        if (!m_known.contains(name))
            problem(name, "is not a known field");
    }
}

std::optional<json::value> parseJson(std::string_view text, Problems& problems)
{
    json::error_code error;
    json::stream_parser parser;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
    if (!error && consumed == text.size())
        parser.finish(error);
    if (error || consumed != text.size()) {
        const std::string reason = error ? error.message() : "text after the end";
        problems.push_back({ "(text)", "is not JSON: " + reason + " near byte " + std::to_string(consumed) });
        return std::nullopt;
    }
    return parser.release();
}

} // namespace lacewingsail::internal
