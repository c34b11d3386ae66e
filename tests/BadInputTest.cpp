#include "FakePlatform.h"

#include <doctest/doctest.h>

#include <fstream>
#include <random>
#include <sstream>

using namespace lacewingsail;

namespace {

constexpr int mutantsOfEachText = 3000;

/// \brief Changes a few bytes of a valid text: overwritten, removed, doubled or cut off.
class Mutator {
public:
    explicit Mutator(unsigned seed)
        : m_random(seed)
    {
    }

    std::string operator()(std::string text)
    {
        static const std::string alphabet = "{}[]\",:0123456789-eE.\\ntf\x01\xff";
        for (unsigned count = 1 + m_random() % 4; count > 0 && !text.empty(); --count) {
            const std::size_t place = m_random() % text.size();
            const std::size_t length = 1 + m_random() % 12;
            switch (m_random() % 4) {
            case 0:
                text[place] = alphabet[m_random() % alphabet.size()];
                break;
            case 1:
                text.erase(place, length);
                break;
            case 2:
                text.insert(place, text.substr(m_random() % text.size(), length));
                break;
            default:
                if (m_random() % 8 == 0)
                    text.resize(place);
                break;
            }
        }
        return text;
    }

private:
    std::minstd_rand m_random;
};

struct BadInputFixture {
    Mutator mutate { 20260412 };

    // A text is either taken whole, without a problem, or not at all, with one.
    template <typename Parse>
    void tryMutants(const std::string& valid, Parse parse)
    {
        Problems none;
        CHECK_MESSAGE(parse(valid, none), text(none));
        int refused = 0;
        for (int index = 0; index < mutantsOfEachText; ++index) {
            Problems problems;
            const bool taken = static_cast<bool>(parse(mutate(valid), problems));
            CHECK(taken == problems.empty());
            refused += taken ? 0 : 1;
        }
        CHECK(refused > mutantsOfEachText / 4);
    }
};

std::string validSettings()
{
    return R"({"host": "h0", "zone": "z1", "callers": "127.0.0.1:1001", "operators": "127.0.0.1:1002", "peers": "127.0.0.1:1003",
        "log": "127.0.0.1:1004", "host_list": "127.0.0.1:1005", "fleet_secret": "0123456789abcdef", "threads": 2,
        "key_staleness_ms": 5000, "log_retention_ms": 86400000, "caller_limits": {"body_bytes": 1000}})";
}

} // namespace

TEST_CASE_FIXTURE(BadInputFixture, "parseSettings, mutated settings, are taken whole or refused with a reason")
{
    tryMutants(validSettings(), [](const std::string& json, Problems& problems) { return parseSettings(json, problems); });
}

TEST_CASE_FIXTURE(BadInputFixture, "parseConfiguration, mutated text, is taken whole or refused with a reason")
{
    tryMutants(formatConfiguration(smallConfiguration(1)), [](const std::string& json, Problems& problems) { return parseConfiguration(json, problems); });
}

TEST_CASE_FIXTURE(BadInputFixture, "parseConfigurationRecord, mutated records, are taken whole or refused with a reason")
{
    const auto parse = [](const std::string& json, Problems& problems) { return parseConfigurationRecord(json, problems); };
    ConfigurationEdits edits;
    edits.accounts.upserts = smallConfiguration(2).accounts;
    edits.routes.removals = { RouteId("files") };
    tryMutants(formatConfigurationChange({ "id", "anna", ConfigurationVersion { 3 }, smallConfiguration(1) }), parse);
    tryMutants(formatConfigurationChange({ "id", "anna", ConfigurationVersion { 3 }, edits }), parse);
    tryMutants(formatConfigurationCheckpoint({ ConfigurationVersion { 3 }, LogOffset { 9 }, "id", "anna", {} }, smallConfiguration(1)), parse);
}

TEST_CASE_FIXTURE(BadInputFixture, "parseKeyWithdrawal, mutated record, is taken whole or refused with a reason")
{
    tryMutants(formatKeyWithdrawal({ { KeyId("k1"), KeyId("k2") }, "anna" }), [](const std::string& json, Problems& problems) { return parseKeyWithdrawal(json, problems); });
}

TEST_CASE_FIXTURE(BadInputFixture, "parseHostList, mutated list, is taken whole or refused with a reason")
{
    std::vector<Host> hosts = someHosts(3);
    for (Host& host : hosts)
        host.callers = host.operators = host.peers = { "127.0.0.1", 1001 };
    tryMutants(formatHostList(hosts), [](const std::string& json, Problems& problems) { return parseHostList(json, problems); });
}

TEST_CASE("parseSettings, wrong settings, do not repeat the secret in the problems")
{
    Problems problems;
    std::string json = validSettings();
    json.replace(json.find("0123456789abcdef"), 16, "hush");
    json.replace(json.find("\"threads\": 2"), 12, "\"threads\": 0");
    CHECK_FALSE(parseSettings(json, problems));
    CHECK(problems.size() == 2);
    CHECK(text(problems).find("hush") == std::string::npos);
}

TEST_CASE("codecs, every field they read, stands in the pages for operators")
{
    const auto read = [](const char* name) {
        std::ifstream stream(std::string(LACEWINGSAIL_SOURCE_DIR) + name);
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    };
    const auto missing = [](const std::string& source, const std::string& page) {
        std::string names;
        for (const char* call : { "reader.text(\"", "reader.integer(\"", "reader.boolean(\"", "reader.array(\"", "reader.field(\"", "readEndpoint(reader, \"", "readTimeout(reader, \"", "readNamed(reader, \"", "readItems<Service>(reader, \"", "readItems<Route>(reader, \"", "readItems<ClientAccount>(reader, \"" }) {
            for (std::size_t place = source.find(call); place != std::string::npos; place = source.find(call, place + 1)) {
                const std::size_t first = place + std::string(call).size();
                const std::string name = source.substr(first, source.find('"', first) - first);
                if (page.find('`' + name + '`') == std::string::npos)
                    names += name + ' ';
            }
        }
        return names;
    };
    CHECK(missing(read("/packages/wire/lacewingsail/src/Wire/SettingsCodec.cpp"), read("/docs/SETTINGS.md")) == "");
    CHECK(missing(read("/packages/wire/lacewingsail/src/Wire/ConfigurationCodec.cpp"), read("/docs/CONFIGURATION.md")) == "");
}
