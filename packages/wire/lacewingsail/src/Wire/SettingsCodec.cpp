#include <lacewingsail/Wire.h>

#include "JsonReader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lacewingsail {

namespace internal {

    constexpr std::int64_t mostThreads = 256;
    constexpr std::int64_t largestHeader = 1 << 20;
    constexpr std::int64_t largestBody = 1 << 28;
    constexpr std::int64_t longestTimeoutMilliseconds = 3'600'000;
    constexpr std::int64_t shortestRetentionMilliseconds = 1000;
    constexpr std::int64_t longestRetentionMilliseconds = 366LL * 24 * 3'600'000;
    constexpr std::int64_t shortestClaimRetentionMilliseconds = 60'000;
    constexpr std::int64_t longestClaimRetentionMilliseconds = 2'592'000'000;
    constexpr std::int64_t smallestBookingTable = 1 << 16;
    constexpr std::int64_t largestBookingTable = 1LL << 34;
    constexpr std::int64_t longestAppendInterval = 1000;
    constexpr std::size_t shortestSecret = 16;
    constexpr std::int64_t shortestLeaseMilliseconds = 1000;
    constexpr std::int64_t longestLeaseMilliseconds = 7LL * 24 * 3'600'000;
    constexpr std::int64_t shortestTermMilliseconds = 50;
    constexpr std::int64_t longestTermMilliseconds = 60'000;
    constexpr std::array sharingNames { std::pair { "pooled", LimitSharing::Pooled }, std::pair { "slots", LimitSharing::Slots },
        std::pair { "even-split", LimitSharing::EvenSplit }, std::pair { "unshared", LimitSharing::Unshared } };

    void readEndpoint(JsonReader& reader, std::string_view name, Endpoint& endpoint)
    {
        const std::string value = reader.text(name);
        if (!value.empty() && !parseEndpoint(value, endpoint))
            reader.problem(name, "must be an IP number and a port, as in 127.0.0.1:8080");
    }

    std::chrono::milliseconds readTimeout(JsonReader& reader, std::string_view name, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds(reader.integer(name, 1, longestTimeoutMilliseconds, fallback.count()));
    }

    CallerLimits readLimits(const boost::json::value& value, const std::string& path, Problems& problems)
    {
        CallerLimits limits;
        JsonReader reader(value, path, problems);
        limits.headerBytes = static_cast<std::size_t>(reader.integer("header_bytes", 1024, largestHeader, static_cast<std::int64_t>(limits.headerBytes)));
        limits.bodyBytes = static_cast<std::size_t>(reader.integer("body_bytes", 0, largestBody, static_cast<std::int64_t>(limits.bodyBytes)));
        limits.requestTimeout = readTimeout(reader, "request_timeout_ms", limits.requestTimeout);
        limits.idleTimeout = readTimeout(reader, "idle_timeout_ms", limits.idleTimeout);
        reader.finish();
        return limits;
    }

    BookingLimits readBookingLimits(const boost::json::value& value, const std::string& path, BookingLimits limits, Problems& problems)
    {
        JsonReader reader(value, path, problems);
        limits.retention = std::chrono::milliseconds(reader.integer("retention_ms", shortestClaimRetentionMilliseconds, longestClaimRetentionMilliseconds, limits.retention.count()));
        limits.tableBytes = static_cast<std::size_t>(reader.integer("table_bytes", smallestBookingTable, largestBookingTable, static_cast<std::int64_t>(limits.tableBytes)));
        limits.appendInterval = std::chrono::milliseconds(reader.integer("append_interval_ms", 0, longestAppendInterval, limits.appendInterval.count()));
        reader.finish();
        return limits;
    }

    void readSharing(JsonReader& reader, SharingSettings& sharing)
    {
        const std::string name = reader.text("limit_sharing", "pooled");
        const auto* known = std::ranges::find(sharingNames, name, [](const auto& entry) { return std::string_view(entry.first); });
        if (known == sharingNames.end())
            reader.problem("limit_sharing", "must be one of pooled, slots, even-split, unshared");
        else
            sharing.sharing = known->second;
        sharing.slotLease = std::chrono::milliseconds(reader.integer("slot_lease_ms", shortestLeaseMilliseconds, longestLeaseMilliseconds, sharing.slotLease.count()));
        sharing.loanTerm = std::chrono::milliseconds(reader.integer("loan_term_ms", shortestTermMilliseconds, longestTermMilliseconds, sharing.loanTerm.count()));
        sharing.blockTerm = std::chrono::milliseconds(reader.integer("block_term_ms", shortestTermMilliseconds, longestTermMilliseconds, sharing.blockTerm.count()));
        sharing.admissionWait = std::chrono::milliseconds(reader.integer("admission_wait_ms", 0, longestTermMilliseconds, sharing.admissionWait.count()));
        if (sharing.blockTerm * 2 > sharing.loanTerm)
            reader.problem("block_term_ms", "must be at most half of loan_term_ms");
        if (sharing.loanTerm > sharing.slotLease)
            reader.problem("loan_term_ms", "must be at most slot_lease_ms");
    }

    DispatchStrategy readStrategy(JsonReader& reader)
    {
        const std::string name = reader.text("dispatch_strategy", "evidence");
        if (name == "round-robin")
            return DispatchStrategy::RoundRobin;
        if (name == "consecutive-errors")
            return DispatchStrategy::ConsecutiveErrors;
        if (name != "evidence")
            reader.problem("dispatch_strategy", "must be one of evidence, round-robin, consecutive-errors");
        return DispatchStrategy::Evidence;
    }

} // namespace internal

std::optional<HostSettings> parseSettings(std::string_view json, Problems& problems)
{
    const std::size_t before = problems.size();
    const auto value = internal::parseJson(json, problems);
    if (!value)
        return std::nullopt;
    internal::JsonReader reader(*value, "", problems);
    HostSettings settings;
    settings.id = HostId(reader.text("host"));
    settings.zone = ZoneId(reader.text("zone"));
    internal::readEndpoint(reader, "callers", settings.callers);
    internal::readEndpoint(reader, "operators", settings.operators);
    internal::readEndpoint(reader, "peers", settings.peers);
    internal::readEndpoint(reader, "log", settings.log);
    internal::readEndpoint(reader, "host_list", settings.hostList);
    settings.threads = static_cast<int>(reader.integer("threads", 1, internal::mostThreads, settings.threads));
    settings.limitSlots = static_cast<int>(reader.integer("limit_slots", 1, mostLimitSlots, settings.limitSlots));
    internal::readSharing(reader, settings.sharing);
    settings.fleetSecret = reader.text("fleet_secret");
    if (!settings.fleetSecret.empty() && settings.fleetSecret.size() < internal::shortestSecret)
        reader.problem("fleet_secret", "must have at least 16 characters");
    settings.keyStalenessBound = internal::readTimeout(reader, "key_staleness_ms", settings.keyStalenessBound);
    settings.logRetention = std::chrono::milliseconds(reader.integer("log_retention_ms", internal::shortestRetentionMilliseconds, internal::longestRetentionMilliseconds, settings.logRetention.count()));
    settings.strategy = internal::readStrategy(reader);
    if (const auto* limits = reader.field("caller_limits", false))
        settings.limits = internal::readLimits(*limits, "caller_limits", problems);
    settings.bookings.retention = std::min(settings.bookings.retention, settings.logRetention);
    if (const auto* bookings = reader.field("bookings", false))
        settings.bookings = internal::readBookingLimits(*bookings, "bookings", settings.bookings, problems);
    if (settings.bookings.retention > settings.logRetention)
        reader.problem("bookings.retention_ms", "must not be longer than log_retention_ms");
    reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return settings;
}

} // namespace lacewingsail
