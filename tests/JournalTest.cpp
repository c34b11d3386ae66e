#include <lacewingsail/Observe.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct JournalFixture {
    Journal journal { 3 };
};

} // namespace

TEST_CASE_FIXTURE(JournalFixture, "linesWith, more events than it keeps, has the newest")
{
    for (int index = 0; index < 5; ++index) {
        journal.record(Event("tick").with("n", index));
        journal.linesWith("");
    }
    const auto lines = journal.linesWith("event=tick");
    REQUIRE(lines.size() == 3);
    CHECK(lines.front() == "event=tick n=2");
    CHECK(lines.back() == "event=tick n=4");
}

TEST_CASE_FIXTURE(JournalFixture, "linesWith, part of a line, selects by it")
{
    journal.record(Event("refused").with("account", "norrland"));
    journal.record(Event("refused").with("account", "skane"));
    CHECK(journal.linesWith("account=skane").size() == 1);
}

TEST_CASE("Event, value with line breaks and quotes, stays one quoted line")
{
    CHECK(Event("e").with("k", "a\nb\"c").line() == "event=e k=\"a b\\\"c\"");
}
