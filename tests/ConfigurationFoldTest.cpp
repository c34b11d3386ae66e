#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct ConfigurationFoldFixture {
    ConfigurationFold fold;

    FoldOutcome foldRecord(const std::string& id, unsigned long long replaces)
    {
        return apply(fold, { id, "author", ConfigurationVersion { replaces }, std::make_shared<const Configuration>() });
    }
};

} // namespace

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "apply, two records for one version, first wins")
{
    CHECK(foldRecord("a", 0) == FoldOutcome::Accepted);
    CHECK(foldRecord("b", 0) == FoldOutcome::LostRace);
    CHECK(fold.current.id == "a");
    CHECK(fold.version == ConfigurationVersion { 1 });
}

TEST_CASE_FIXTURE(ConfigurationFoldFixture, "apply, record read twice, changes nothing")
{
    foldRecord("a", 0);
    CHECK(foldRecord("a", 0) == FoldOutcome::Repeated);
    CHECK(fold.version == ConfigurationVersion { 1 });
}
