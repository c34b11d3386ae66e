#include <lacewingsail/Wire.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct ConfigurationCodecFixture {
    const std::string digest = std::string(64, 'a');
    const std::string good = R"({
        "services": [
            {"name": "archive", "backend_servers": [{"name": "a1", "zone": "z1", "address": "127.0.0.1:9001"}]},
            {"name": "loan-desk", "depends_on": ["archive"], "floor_percent": 60, "ejection": "propose",
             "backend_servers": [{"name": "l1", "zone": "z1", "address": "127.0.0.1:9002", "slots": 4}]}],
        "routes": [{"name": "r1", "method": "GET", "path_prefix": "/clocks", "service": "loan-desk", "repeatable": true}],
        "accounts": [{"name": "norrland", "rate_per_second": 5, "burst": 10, "keys": [{"id": "k1", "sha256": ")"
        + digest + R"("}]}]})";
    Problems problems;

    std::string replaced(const std::string& part, const std::string& replacement) const
    {
        std::string result = good;
        result.replace(result.find(part), part.size(), replacement);
        return result;
    }

    void requireProblem(const std::string& json, const std::string& path)
    {
        CHECK_FALSE(parseConfiguration(json, problems));
        bool found = false;
        for (const Problem& problem : problems)
            found = found || problem.path == path;
        CHECK_MESSAGE(found, text(problems));
    }
};

} // namespace

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, formatted configuration, reads back equal")
{
    const auto configuration = parseConfiguration(good, problems);
    REQUIRE_MESSAGE(configuration, text(problems));
    CHECK(configuration->services[1].mode == EjectionMode::Propose);
    CHECK(parseConfiguration(formatConfiguration(*configuration), problems) == configuration);
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, unknown field, names its path")
{
    requireProblem(replaced("\"floor_percent\"", "\"flor_percent\""), "services[1].flor_percent");
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, dangling service, names its path")
{
    requireProblem(replaced("\"service\": \"loan-desk\"", "\"service\": \"loans\""), "routes[0].service");
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, dependency cycle, names its path")
{
    requireProblem(replaced("\"name\": \"archive\",", "\"name\": \"archive\", \"depends_on\": [\"loan-desk\"],"), "services[0].depends_on");
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, floor out of reach, names its path")
{
    requireProblem(replaced("\"slots\": 4", "\"leaving\": true"), "services[1].floor_percent");
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, several errors, reports all of them")
{
    parseConfiguration(R"({"services": 1, "routes": [], "accounts": [{"name": "", "rate_per_second": 0}]})", problems);
    CHECK(problems.size() == 4);
}

TEST_CASE_FIXTURE(ConfigurationCodecFixture, "parseConfiguration, broken JSON, is a problem")
{
    requireProblem(good.substr(0, good.size() / 2), "(text)");
}
