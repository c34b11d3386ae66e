#include <lacewingsail/Wire.h>

#include "JsonReader.h"

#include <limits>

namespace lacewingsail {

namespace json = boost::json;

std::string formatConfigurationChange(const ConfigurationChange& change)
{
    return json::serialize(json::object { { "id", change.id }, { "author", change.author }, { "replaces", number(change.replaces) },
        { "configuration", json::parse(formatConfiguration(change.configuration)) } });
}

std::string formatKeyWithdrawal(const KeyWithdrawal& withdrawal)
{
    return json::serialize(json::object { { "key", withdrawal.key.value() }, { "author", withdrawal.author } });
}

std::optional<ConfigurationChange> parseConfigurationChange(std::string_view text, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(text, problems);
    if (!value)
        return std::nullopt;
    internal::JsonReader reader(*value, "", problems);
    ConfigurationChange change;
    change.id = reader.text("id");
    change.author = reader.text("author");
    change.replaces = ConfigurationVersion { static_cast<unsigned long long>(reader.integer("replaces", 0, std::numeric_limits<std::int64_t>::max())) };
    if (const json::value* configuration = reader.field("configuration", true)) {
        if (auto parsed = parseConfiguration(json::serialize(*configuration), problems))
            change.configuration = std::move(*parsed);
    }
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return change;
}

std::optional<KeyWithdrawal> parseKeyWithdrawal(std::string_view text, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(text, problems);
    if (!value)
        return std::nullopt;
    internal::JsonReader reader(*value, "", problems);
    KeyWithdrawal withdrawal { KeyId(reader.text("key")), reader.text("author") };
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return withdrawal;
}

} // namespace lacewingsail
