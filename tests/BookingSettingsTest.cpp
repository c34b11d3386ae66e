#include <lacewingsail/Wire.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct BookingSettingsFixture {
    Problems problems;

    std::optional<HostSettings> parse(const std::string& more)
    {
        return parseSettings(R"({"host":"host-0","zone":"z1","callers":"127.0.0.1:1","operators":"127.0.0.1:2","peers":"127.0.0.1:3",
            "log":"127.0.0.1:4","host_list":"127.0.0.1:5","fleet_secret":"0123456789abcdef")"
                + more + "}",
            problems);
    }
};

} // namespace

TEST_CASE_FIXTURE(BookingSettingsFixture, "parseSettings, retention of bookings longer than that of the log, is reported with its path")
{
    CHECK_FALSE(parse(R"(,"log_retention_ms":100000,"bookings":{"retention_ms":100001})"));
    REQUIRE(problems.size() == 1);
    CHECK(text(problems).find("bookings.retention_ms") != std::string::npos);
}

TEST_CASE_FIXTURE(BookingSettingsFixture, "parseSettings, short log retention and no retention of bookings, keeps bookings as long as the log")
{
    const auto settings = parse(R"(,"log_retention_ms":100000)");
    REQUIRE(settings);
    CHECK(settings->bookings.retention == std::chrono::milliseconds(100000));
}
