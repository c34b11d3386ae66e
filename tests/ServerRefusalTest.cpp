#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

TEST_CASE("parseRefusalPeriod, seconds with or without a fraction, are rounded up to milliseconds")
{
    CHECK(parseRefusalPeriod("2") == 2000ms);
    CHECK(parseRefusalPeriod("0.25") == 250ms);
    CHECK(parseRefusalPeriod("1.0001") == 1001ms);
    CHECK(parseRefusalPeriod("0") == 0ms);
    CHECK(parseRefusalPeriod("0.0") == 0ms);
}

TEST_CASE("parseRefusalPeriod, huge number, is bounded")
{
    CHECK(parseRefusalPeriod("61") == maxRefusalPeriod);
    CHECK(parseRefusalPeriod("31536000") == maxRefusalPeriod);
    CHECK(parseRefusalPeriod("99999999999999999999999999999999999") == maxRefusalPeriod);
    CHECK(parseRefusalPeriod(std::string(400, '9')) == maxRefusalPeriod);
}

TEST_CASE("parseRefusalPeriod, not a number of seconds, returns nothing")
{
    for (const char* value : { "", " ", "-1", "+1", "nan", "inf", "-0", "soon", "1s", "1 2", "1,5", "0x10", "1e3", ".", ".5", "Wed, 21 Oct 2026 07:28:00 GMT", "1.5.2" }) {
        CAPTURE(value);
        CHECK_FALSE(parseRefusalPeriod(value));
    }
}
