#include <lacewingsail/ConfigurationSync.h>

#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds noWait { 0 };
    constexpr std::chrono::milliseconds pauseBetweenReads { 100 };

    // Reads the stream from a fold on and keeps an eye on one change.
    struct StreamReading {
        ConfigurationReader reader;
        std::string ownId;
        std::optional<ChangeOutcome> ownOutcome;
        ConfigurationVersion ownVersion = ConfigurationVersion::None;
        // Who first won the version that the own change wanted.
        ConfigurationVersion wanted = ConfigurationVersion::None;
        std::string winner;
        std::string winningId;
        Problems ownProblems;
    };

    void foldOneChange(StreamReading& reading, LogOffset offset, ConfigurationChange change)
    {
        const bool own = change.id == reading.ownId;
        Problems problems;
        const ChangeOutcome outcome = foldChange(reading.reader.fold, std::move(change), problems);
        reading.reader.fold.position = next(offset);
        if (outcome == ChangeOutcome::Accepted && reading.reader.fold.current.replaces == reading.wanted) {
            reading.winner = reading.reader.fold.current.author;
            reading.winningId = reading.reader.fold.current.id;
        }
        if (!own || reading.ownOutcome == ChangeOutcome::Accepted)
            return;
        reading.ownOutcome = outcome;
        reading.ownProblems = std::move(problems);
        if (outcome == ChangeOutcome::Accepted)
            reading.ownVersion = reading.reader.fold.version;
    }

    void foldOne(StreamReading& reading, const LogRecord& record)
    {
        Problems problems;
        auto parsed = parseConfigurationRecord(record.body, problems);
        if (!parsed)
            return;
        if (auto* checkpoint = std::get_if<ConfigurationCheckpoint>(&*parsed))
            adoptFold(reading.reader, foldOf(std::move(*checkpoint)));
        else if (isNextRecord(reading.reader, record.offset))
            foldOneChange(reading, record.offset, std::move(std::get<ConfigurationChange>(*parsed)));
    }

    // Reads to the end of the stream. A failed read leaves what was folded so far.
    std::error_code readToEnd(LogService& log, StreamReading& reading)
    {
        for (;;) {
            std::error_code error;
            const LogOffset asked = nextReadOffset(reading.reader);
            const LogPage page = log.read(configurationStream, asked, noWait, error);
            if (error)
                return error;
            beginPage(reading.reader, asked, page.earliest);
            for (const LogRecord& record : page.records)
                foldOne(reading, record);
            endPage(reading.reader, page.next);
            if (page.records.empty())
                return reading.reader.gapEnd ? make_error_code(ResultCode::CheckpointMissing) : std::error_code {};
        }
    }

    bool isDecided(const StreamReading& reading)
    {
        return reading.ownOutcome.has_value() || reading.reader.fold.version > reading.wanted;
    }

    PublicationResult verdictOf(StreamReading reading)
    {
        PublicationResult result;
        if (reading.ownOutcome == ChangeOutcome::Accepted) {
            result.version = reading.ownVersion;
            return result;
        }
        result.version = reading.reader.fold.version;
        result.problems = std::move(reading.ownProblems);
        result.error = reading.ownOutcome == ChangeOutcome::Invalid ? ResultCode::InvalidConfiguration : ResultCode::LostRace;
        result.winner = reading.winner.empty() ? reading.reader.fold.current.author : reading.winner;
        result.winningId = reading.winningId.empty() ? reading.reader.fold.current.id : reading.winningId;
        return result;
    }

} // namespace internal

ConfigurationFold readConfiguration(LogService& log, const ConfigurationFold& start, std::error_code& error)
{
    internal::StreamReading reading;
    reading.reader.fold = start;
    error = internal::readToEnd(log, reading);
    return reading.reader.fold;
}

WithdrawnKeys readWithdrawals(LogService& log, std::error_code& error)
{
    WithdrawnKeys keys;
    LogOffset position {};
    for (;;) {
        const LogPage page = log.read(withdrawalStream, position, internal::noWait, error);
        if (error || page.records.empty())
            return keys;
        for (const LogRecord& record : page.records) {
            Problems problems;
            if (const auto withdrawal = parseKeyWithdrawal(record.body, problems))
                keys.insert(withdrawal->keys.begin(), withdrawal->keys.end());
        }
        position = page.next;
    }
}

PublicationResult publish(LogService& log, const ConfigurationChange& change, const ConfigurationFold& start, std::chrono::milliseconds patience, const Clock& clock)
{
    const MonotonicTime giveUp = clock.now() + patience;
    std::error_code appendError;
    log.append(configurationStream, formatConfigurationChange(change), appendError);
    internal::StreamReading reading;
    reading.reader.fold = start;
    reading.ownId = change.id;
    reading.wanted = change.replaces;
    std::error_code readError;
    do {
        readError = internal::readToEnd(log, reading);
        if (!readError && internal::isDecided(reading))
            return internal::verdictOf(std::move(reading));
        std::this_thread::sleep_for(internal::pauseBetweenReads);
    } while (clock.now() < giveUp);
    PublicationResult result;
    result.error = ResultCode::LogUnavailable;
    result.version = reading.reader.fold.version;
    return result;
}

std::variant<Configuration, ConfigurationEdits> shortestContent(const ConfigurationFold& base, Configuration configuration)
{
    if (!base.current.configuration)
        return configuration;
    ConfigurationEdits edits = editsBetween(*base.current.configuration, configuration);
    const auto items = [](const auto& kinds) { return kinds.services.upserts.size() + kinds.routes.upserts.size() + kinds.accounts.upserts.size(); };
    const std::size_t whole = configuration.services.size() + configuration.routes.size() + configuration.accounts.size();
    if (items(edits) * 2 > whole)
        return configuration;
    return edits;
}

} // namespace lacewingsail
