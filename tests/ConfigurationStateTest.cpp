#include "FakePlatform.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lacewingsail;

namespace {

/// \brief What one reader of the stream has seen of itself.
struct TrackedReader {
    std::unique_ptr<Journal> journal = std::make_unique<Journal>(64);
    std::unique_ptr<ConfigurationState> state = std::make_unique<ConfigurationState>(*journal);
    ConfigurationVersion highest = ConfigurationVersion::None;
    std::size_t withdrawn = 0;
};

struct ConfigurationStateFixture {
    FakeLog log;
    std::vector<TrackedReader> readers;
    // What the whole stream, with all that has expired, amounts to up to each position.
    std::vector<ConfigurationFold> truth { 1 };
    int nextId = 0;

    explicit ConfigurationStateFixture(std::size_t count = 3) { readers.resize(count); }

    void append(const std::string& body)
    {
        log.append(configurationStream, body);
        ConfigurationFold fold = truth.back();
        Problems problems;
        auto record = parseConfigurationRecord(body, problems);
        if (record && std::holds_alternative<ConfigurationChange>(*record))
            foldChange(fold, std::move(std::get<ConfigurationChange>(*record)), problems);
        fold.position = next(fold.position);
        truth.push_back(std::move(fold));
    }

    void appendChange(unsigned long long replaces, bool asEdits)
    {
        ++nextId;
        ConfigurationChange change { "id-" + std::to_string(nextId), "author", ConfigurationVersion { replaces }, smallConfiguration(nextId) };
        if (asEdits) {
            ConfigurationEdits edits;
            edits.accounts.upserts = smallConfiguration(nextId).accounts;
            change.content = edits;
        }
        append(formatConfigurationChange(change));
    }

    void appendCheckpoint(std::size_t index)
    {
        const ConfigurationFold fold = readers[index].state->fold();
        if (fold.current.configuration && !readers[index].state->behindGap())
            append(formatCheckpointOf(fold));
    }

    void read(std::size_t index)
    {
        const LogOffset asked = readers[index].state->readFrom();
        readers[index].state->foldPage(asked, log.page(configurationStream, asked));
    }

    void adopt(std::size_t index, std::size_t from)
    {
        const ConfigurationFold fold = readers[from].state->fold();
        if (fold.current.configuration)
            readers[index].state->adopt(formatCheckpointOf(fold));
    }

    // A reader that starts anew, as a replaced host does.
    void restart(std::size_t index) { readers[index] = {}; }

    void readToEnd(std::size_t index)
    {
        for (int round = 0; round < 200; ++round)
            read(index);
    }

    unsigned long long currentVersion() const { return number(truth.back().version); }

    bool holds(TrackedReader& reader) const
    {
        const ConfigurationFold fold = reader.state->fold();
        const ConfigurationFold& expected = truth.at(number(fold.position));
        const bool wentBack = fold.version < reader.highest;
        reader.highest = fold.version;
        if (wentBack || fold.version != expected.version)
            return false;
        return !fold.current.configuration || *fold.current.configuration == *expected.current.configuration;
    }
};

} // namespace

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, position has expired and no checkpoint, keeps the old version")
{
    appendChange(0, false);
    readToEnd(0);
    appendChange(1, false);
    appendChange(2, false);
    log.expireUpTo(configurationStream, 2);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion { 1 });
    CHECK(readers[0].state->behindGap());
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, checkpoint after the gap, reaches the current version")
{
    appendChange(0, false);
    readToEnd(0);
    appendChange(1, false);
    readToEnd(1);
    appendCheckpoint(1);
    appendChange(2, true);
    log.expireUpTo(configurationStream, 2);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion { 3 });
    CHECK_FALSE(readers[0].state->behindGap());
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, checkpoint that covers less than the page before it, reads what lies between once more")
{
    appendChange(0, false);
    readToEnd(1);
    appendChange(1, false);
    log.expireUpTo(configurationStream, 1);
    log.pageSize = 1;
    read(0);
    appendCheckpoint(1);
    appendChange(2, false);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion { 3 });
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, checkpoint behind a change on the same page, folds that change too")
{
    appendChange(0, false);
    readToEnd(1);
    appendChange(1, false);
    appendCheckpoint(1);
    log.expireUpTo(configurationStream, 1);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion { 2 });
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, new reader of a stream that begins with a change for the first version, does not fold it")
{
    appendChange(0, false);
    appendChange(0, false);
    log.expireUpTo(configurationStream, 1);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion::None);
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "adopt, change that named a future version lies in between, loses all the same")
{
    appendChange(2, false);
    appendChange(0, false);
    appendChange(1, false);
    readToEnd(0);
    adopt(1, 0);
    readToEnd(1);
    CHECK(readers[1].state->version() == ConfigurationVersion { 2 });
    CHECK(readers[1].state->fold().current.id == "id-3");
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "adopt, older or malformed checkpoint, changes nothing")
{
    appendChange(0, false);
    readToEnd(1);
    appendChange(1, false);
    readToEnd(0);
    adopt(0, 1);
    CHECK_FALSE(readers[0].state->adopt("{\"checkpoint\": 7}"));
    CHECK(readers[0].state->version() == ConfigurationVersion { 2 });
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "foldPage, edits that break a reference, are rejected by every reader")
{
    appendChange(0, false);
    ConfigurationEdits edits;
    edits.services.removals = { ServiceId("archive") };
    append(formatConfigurationChange({ "bad", "author", ConfigurationVersion { 1 }, edits }));
    appendChange(1, true);
    readToEnd(0);
    CHECK(readers[0].state->version() == ConfigurationVersion { 2 });
    CHECK(readers[0].state->fold().current.id == "id-2");
}

TEST_CASE_FIXTURE(ConfigurationStateFixture, "withdrawnButNotLogged, key learnt from a peer and then read in the log, is no longer missing")
{
    ConfigurationState& state = *readers[0].state;
    state.withdraw({ KeyId("k1"), KeyId("k2") });
    CHECK(state.withdrawnButNotLogged() == std::vector { KeyId("k1"), KeyId("k2") });
    state.withdrawLogged({ KeyId("k1") });
    CHECK(state.withdrawnButNotLogged() == std::vector { KeyId("k2") });
    CHECK(state.withdrawalSummary().digest == withdrawnKeysDigest(*state.withdrawn()));
}

TEST_CASE("ConfigurationState, any interleaving of changes, checkpoints, expiry, adoption and restarts, agrees with the whole stream")
{
    const bool holds = rc::check([] {
        ConfigurationStateFixture fixture;
        fixture.log.pageSize = *rc::gen::inRange<std::size_t>(1, 5);
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
        for (const std::uint32_t step : steps) {
            const std::size_t reader = (step >> 4) % fixture.readers.size();
            const std::size_t other = (step >> 8) % fixture.readers.size();
            switch (step % 8) {
            case 0:
                fixture.appendChange(fixture.currentVersion(), false);
                break;
            case 1:
                fixture.appendChange(fixture.currentVersion(), fixture.currentVersion() > 0);
                break;
            case 2:
                fixture.appendChange((step >> 4) % (fixture.currentVersion() + 3), false);
                break;
            case 3:
                fixture.appendCheckpoint(reader);
                break;
            case 4:
                fixture.log.expireUpTo(configurationStream, (step >> 4) % fixture.truth.size());
                break;
            case 5:
                fixture.adopt(reader, other);
                break;
            case 6:
                if (step % 3 == 0)
                    fixture.restart(reader);
                break;
            default:
                break;
            }
            fixture.read(reader);
            for (TrackedReader& each : fixture.readers)
                RC_ASSERT(fixture.holds(each));
        }
    });
    CHECK(holds);
}

TEST_CASE("ConfigurationState, any interleaving of withdrawals, set only grows")
{
    const bool holds = rc::check([] {
        TrackedReader reader;
        const auto keys = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 40U));
        std::set<KeyId> expected;
        for (const unsigned key : keys) {
            const KeyId id("k" + std::to_string(key / 2));
            expected.insert(id);
            if (key % 2 == 0)
                reader.state->withdraw({ id });
            else
                reader.state->withdrawLogged({ id });
            RC_ASSERT(*reader.state->withdrawn() == expected);
            RC_ASSERT(reader.state->withdrawalSummary().count == expected.size());
        }
    });
    CHECK(holds);
}
