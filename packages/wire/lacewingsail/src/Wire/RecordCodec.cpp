#include <lacewingsail/Wire.h>

#include "ConfigurationJson.h"

#include <limits>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::int64_t mostNumber = std::numeric_limits<std::int64_t>::max();
    constexpr const char* checkpointField = "checkpoint";

    std::uint64_t readNumber(JsonReader& reader, std::string_view name)
    {
        return static_cast<std::uint64_t>(reader.integer(name, 0, mostNumber));
    }

    std::variant<Configuration, ConfigurationEdits> readContent(JsonReader& reader, Problems& problems)
    {
        if (const json::value* edits = reader.field("edits", false))
            return readEdits(*edits, "edits", problems);
        if (const json::value* configuration = reader.field("configuration", true))
            return readConfiguration(*configuration, "configuration", problems);
        return Configuration {};
    }

    ConfigurationChange readChange(const json::value& value, Problems& problems)
    {
        JsonReader reader(value, "", problems);
        ConfigurationChange change;
        change.id = reader.text("id");
        change.author = reader.text("author");
        change.replaces = ConfigurationVersion { readNumber(reader, "replaces") };
        change.content = readContent(reader, problems);
        reader.finish();
        return change;
    }

    ConfigurationCheckpoint readCheckpoint(const json::value& value, Problems& problems)
    {
        JsonReader reader(value, "", problems);
        ConfigurationCheckpoint checkpoint;
        if (const json::value* place = reader.field(checkpointField, true)) {
            JsonReader placeReader(*place, checkpointField, problems);
            checkpoint.version = ConfigurationVersion { readNumber(placeReader, "version") };
            checkpoint.position = LogOffset { readNumber(placeReader, "position") };
            placeReader.finish();
        }
        checkpoint.id = reader.text("id");
        checkpoint.author = reader.text("author");
        if (const json::value* configuration = reader.field("configuration", true))
            checkpoint.configuration = readConfiguration(*configuration, "configuration", problems);
        reader.finish();
        return checkpoint;
    }

    KeyWithdrawal readWithdrawal(const json::value& value, Problems& problems)
    {
        JsonReader reader(value, "", problems);
        KeyWithdrawal withdrawal;
        reader.array("keys", true, [&](const json::value& element, const std::string& path) {
            const json::string* key = element.if_string();
            if (key && !key->empty())
                withdrawal.keys.emplace_back(std::string(key->data(), key->size()));
            else
                problems.push_back({ path, "must be the id of a key" });
        });
        withdrawal.author = reader.text("author");
        reader.finish();
        return withdrawal;
    }

    // Runs one of the readers above over a whole text; any problem leaves nothing.
    template <typename Record>
    std::optional<Record> parseWhole(std::string_view text, Problems& problems, Record (*read)(const json::value&, Problems&))
    {
        const std::size_t before = problems.size();
        const auto value = parseJson(text, problems);
        if (!value)
            return std::nullopt;
        Record record = read(*value, problems);
        if (problems.size() != before)
            return std::nullopt;
        return record;
    }

    ConfigurationStreamRecord readRecord(const json::value& value, Problems& problems)
    {
        const json::object* object = value.if_object();
        if (object && object->contains(checkpointField))
            return readCheckpoint(value, problems);
        return readChange(value, problems);
    }

} // namespace internal

std::string formatConfigurationChange(const ConfigurationChange& change)
{
    json::object record { { "id", change.id }, { "author", change.author }, { "replaces", number(change.replaces) } };
    if (const auto* edits = std::get_if<ConfigurationEdits>(&change.content))
        record["edits"] = internal::toJson(*edits);
    else
        record["configuration"] = internal::toJson(std::get<Configuration>(change.content));
    return json::serialize(record);
}

std::string formatConfigurationCheckpoint(const ConfigurationCheckpoint& checkpoint, const Configuration& configuration)
{
    const json::object place { { "version", number(checkpoint.version) }, { "position", number(checkpoint.position) } };
    return json::serialize(json::object { { internal::checkpointField, place }, { "id", checkpoint.id }, { "author", checkpoint.author },
        { "configuration", internal::toJson(configuration) } });
}

std::string formatKeyWithdrawal(const KeyWithdrawal& withdrawal)
{
    json::array keys;
    for (const KeyId& key : withdrawal.keys)
        keys.emplace_back(key.value());
    return json::serialize(json::object { { "keys", std::move(keys) }, { "author", withdrawal.author } });
}

std::optional<ConfigurationStreamRecord> parseConfigurationRecord(std::string_view text, Problems& problems)
{
    return internal::parseWhole(text, problems, internal::readRecord);
}

std::optional<ConfigurationChange> parseConfigurationChange(std::string_view text, Problems& problems)
{
    return internal::parseWhole(text, problems, internal::readChange);
}

std::optional<ConfigurationCheckpoint> parseConfigurationCheckpoint(std::string_view text, Problems& problems)
{
    return internal::parseWhole(text, problems, internal::readCheckpoint);
}

std::optional<KeyWithdrawal> parseKeyWithdrawal(std::string_view text, Problems& problems)
{
    return internal::parseWhole(text, problems, internal::readWithdrawal);
}

} // namespace lacewingsail
