#include <lacewingsail/Observe.h>
#include <lacewingsail/Wire.h>

#include <doctest/doctest.h>

#include <array>
#include <unistd.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct GatewaySettingsFixture {
    Problems problems;
    std::string text = R"({"host":"h","zone":"a","callers":"10.0.0.1:1","readiness":"10.0.0.1:2","operators":"10.0.0.1:3","peers":"10.0.0.1:4","store":"10.0.0.9:5","seeds":["10.0.0.2:3"],"bounds":{"drain":1.5,"retry_ratio":0.3}})";
};

struct LineLogFixture {
    ManualClock clock;
    std::array<int, 2> ends {};

    LineLogFixture() { REQUIRE(pipe(ends.data()) == 0); }
    ~LineLogFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string received() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t size = read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }
};

} // namespace

TEST_CASE_FIXTURE(GatewaySettingsFixture, "parseGatewaySettings, whole text, is read; seeds get the port of calls between hosts")
{
    const auto settings = parseGatewaySettings(text, problems);
    REQUIRE(settings);
    CHECK(settings->bounds.drain == 1500ms);
    CHECK(settings->bounds.retryRatio == doctest::Approx(0.3));
    REQUIRE(settings->seeds.size() == 1);
    CHECK(settings->seeds[0] == Endpoint { "10.0.0.2", 4 });
}

TEST_CASE_FIXTURE(GatewaySettingsFixture, "parseGatewaySettings, several mistakes, names them all")
{
    CHECK_FALSE(parseGatewaySettings(R"({"host":"","zone":"a","callers":"nowhere","bounds":{"floor_share":7,"unknown":1}})", problems));
    const std::string all = lacewingsail::text(problems);
    for (const char* path : { "host", "callers", "readiness", "store", "bounds.floor_share", "bounds.unknown" })
        CHECK(all.find(path) != std::string::npos);
}

TEST_CASE_FIXTURE(LineLogFixture, "write, more lines than the budget, are counted and told with the next line")
{
    LineLog lines(ends[1], clock);
    for (int index = 0; index < 300; ++index)
        lines.write("event=x");
    CHECK(lines.dropped() == 100);
    clock.advance(1s);
    lines.write("event=y");
    lines.flush();
    CHECK(received().find("event=log-lines-dropped lines=100") != std::string::npos);
}

TEST_CASE_FIXTURE(LineLogFixture, "flush, nobody reads the pipe, returns and keeps what fits")
{
    LineLog lines(ends[1], clock);
    const std::string line(4000, 'x');
    for (int index = 0; index < 100; ++index) {
        lines.write(line);
        clock.advance(1s);
    }
    lines.flush();
    CHECK(lines.dropped() > 0);
    CHECK(received().size() > 0);
}
