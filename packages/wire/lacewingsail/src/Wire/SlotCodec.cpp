#include <lacewingsail/Wire.h>

#include "JsonReader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::int64_t longestRecordedLeaseMilliseconds = 7LL * 24 * 3'600'000;
    constexpr std::int64_t lastOffset = std::numeric_limits<std::int64_t>::max();
    constexpr std::array kindNames { std::pair { "claim", SlotRecordKind::Claim }, std::pair { "renew", SlotRecordKind::Renew },
        std::pair { "release", SlotRecordKind::Release }, std::pair { "fence", SlotRecordKind::Fence } };

    void readKind(JsonReader& reader, SlotRecordKind& kind)
    {
        const std::string name = reader.text("kind");
        const auto* known = std::ranges::find(kindNames, name, [](const auto& entry) { return std::string_view(entry.first); });
        if (known == kindNames.end())
            reader.problem("kind", "must be one of claim, renew, release, fence");
        else
            kind = known->second;
    }

    void readSlots(JsonReader& reader, SlotRecord& record, Problems& problems)
    {
        reader.array("slots", true, [&](const json::value& element, const std::string& path) {
            JsonReader slot(element, path, problems);
            const auto index = static_cast<std::uint32_t>(slot.integer("slot", 0, mostLimitSlots - 1));
            record.slots.push_back({ SlotIndex { index }, slot.integer("last", -1, lastOffset) });
            slot.finish();
        });
    }

} // namespace internal

const char* nameOf(SlotRecordKind kind)
{
    return std::ranges::find(internal::kindNames, kind, &std::pair<const char*, SlotRecordKind>::second)->first;
}

std::string formatSlotRecord(const SlotRecord& record)
{
    json::array slots;
    for (const SlotBasis& basis : record.slots)
        slots.emplace_back(json::object { { "slot", number(basis.slot) }, { "last", basis.lastRecord } });
    json::object object { { "id", record.id }, { "kind", nameOf(record.kind) }, { "host", record.host.value() }, { "slots", std::move(slots) } };
    if (record.kind != SlotRecordKind::Fence) {
        object["holder"] = record.holder.value();
        object["slot_count"] = record.slotCount;
        object["lease_ms"] = record.lease.count();
        object["read_from"] = record.readFrom;
    }
    return json::serialize(object);
}

std::optional<SlotRecord> parseSlotRecord(std::string_view text, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(text, problems);
    if (!value)
        return std::nullopt;
    internal::JsonReader reader(*value, "", problems);
    SlotRecord record;
    record.id = reader.text("id");
    internal::readKind(reader, record.kind);
    record.host = HostId(reader.text("host"));
    if (record.kind != SlotRecordKind::Fence) {
        record.holder = IncarnationId(reader.text("holder"));
        record.slotCount = static_cast<std::uint32_t>(reader.integer("slot_count", 1, mostLimitSlots));
        record.lease = std::chrono::milliseconds(reader.integer("lease_ms", 1, internal::longestRecordedLeaseMilliseconds));
        record.readFrom = reader.integer("read_from", 0, internal::lastOffset);
    }
    internal::readSlots(reader, record, problems);
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return record;
}

} // namespace lacewingsail
