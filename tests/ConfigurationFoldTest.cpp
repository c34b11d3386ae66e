#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct ConfigurationFoldFixture {
    ConfigurationFold fold;
    ConfigurationReader reader;

    FoldOutcome foldRecord(const std::string& id, unsigned long long replaces)
    {
        return apply(fold, { id, "author", ConfigurationVersion { replaces }, std::make_shared<const Configuration>() });
    }

    static ConfigurationFold foldAt(unsigned long long version, std::uint64_t position)
    {
        return { ConfigurationVersion { version }, { "id", "author", {}, std::make_shared<const Configuration>() }, LogOffset { position } };
    }
};

} // namespace

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "apply, two records that replace the same version, accepts the first")
{
    CHECK(foldRecord("a", 0) == FoldOutcome::Accepted);
    CHECK(foldRecord("b", 0) == FoldOutcome::LostRace);
    CHECK(fold.current.id == "a");
    CHECK(fold.version == ConfigurationVersion { 1 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "apply, record read twice, has no effect")
{
    foldRecord("a", 0);
    CHECK(foldRecord("a", 0) == FoldOutcome::Repeated);
    CHECK(fold.version == ConfigurationVersion { 1 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "replaceIfNewer, later position with lower version, is rejected")
{
    fold = foldAt(5, 10);
    CHECK_FALSE(replaceIfNewer(fold, foldAt(4, 20)));
    CHECK_FALSE(replaceIfNewer(fold, foldAt(6, 10)));
    CHECK(replaceIfNewer(fold, foldAt(6, 11)));
    CHECK(fold.version == ConfigurationVersion { 6 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "beginPage, next records expired, no record beyond the gap is applied")
{
    reader.fold = foldAt(2, 4);
    beginPage(reader, nextReadOffset(reader), LogOffset { 7 });
    CHECK_FALSE(isNextRecord(reader, LogOffset { 7 }));
    endPage(reader, LogOffset { 9 });
    CHECK(nextReadOffset(reader) == LogOffset { 9 });
    CHECK(reader.fold.position == LogOffset { 4 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "adoptFold, checkpoint beyond the gap, continues reading from it")
{
    reader.fold = foldAt(2, 4);
    beginPage(reader, nextReadOffset(reader), LogOffset { 7 });
    CHECK(adoptFold(reader, foldAt(3, 8)));
    CHECK_FALSE(reader.gapEnd);
    CHECK(nextReadOffset(reader) == LogOffset { 8 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "adoptFold, newer fold that ends inside the gap, is adopted but leaves the gap open")
{
    reader.fold = foldAt(2, 4);
    beginPage(reader, nextReadOffset(reader), LogOffset { 7 });
    CHECK(adoptFold(reader, foldAt(3, 6)));
    CHECK(reader.fold.version == ConfigurationVersion { 3 });
    CHECK(reader.gapEnd == LogOffset { 7 });
    CHECK_FALSE(isNextRecord(reader, LogOffset { 7 }));
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "beginPage, more records expire during the search, extends the gap")
{
    reader.fold = foldAt(2, 4);
    beginPage(reader, nextReadOffset(reader), LogOffset { 7 });
    endPage(reader, LogOffset { 8 });
    beginPage(reader, nextReadOffset(reader), LogOffset { 12 });
    CHECK(adoptFold(reader, foldAt(3, 10)));
    CHECK(reader.gapEnd == LogOffset { 12 });
    CHECK(nextReadOffset(reader) == LogOffset { 12 });
}
