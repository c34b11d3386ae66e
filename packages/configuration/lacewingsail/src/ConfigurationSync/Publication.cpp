#include <lacewingsail/ConfigurationSync.h>

#include <thread>

namespace lacewingsail {

namespace internal {

    constexpr std::chrono::milliseconds noWait { 0 };
    constexpr std::chrono::milliseconds pauseBetweenReads { 100 };

    struct Reading {
        LogOffset position {};
        ConfigurationFold fold;
        bool foundOwn = false;
        bool ownAccepted = false;
    };

    void foldOne(Reading& reading, const LogRecord& record, const std::string& ownId)
    {
        Problems problems;
        auto change = parseConfigurationChange(record.body, problems);
        if (!change)
            return;
        const bool own = change->id == ownId;
        const auto configuration = std::make_shared<const Configuration>(std::move(change->configuration));
        const FoldOutcome outcome = apply(reading.fold, { change->id, change->author, change->replaces, configuration, record.body });
        if (own) {
            reading.foundOwn = true;
            reading.ownAccepted = reading.ownAccepted || outcome == FoldOutcome::Accepted;
        }
    }

    // Reads to the end of the stream. A failed read leaves what was folded so far.
    std::error_code readToEnd(LogService& log, Reading& reading, const std::string& ownId)
    {
        for (;;) {
            std::error_code error;
            const LogPage page = log.read(configurationStream, reading.position, noWait, error);
            if (error)
                return error;
            if (page.records.empty())
                return {};
            for (const LogRecord& record : page.records)
                foldOne(reading, record, ownId);
            reading.position = page.next;
        }
    }

    PublicationResult verdictOf(const Reading& reading)
    {
        PublicationResult result;
        result.version = reading.fold.version;
        if (!reading.ownAccepted) {
            result.error = ResultCode::LostRace;
            result.winner = reading.fold.current.author;
        }
        return result;
    }

} // namespace internal

ConfigurationFold readConfiguration(LogService& log, std::error_code& error)
{
    internal::Reading reading;
    error = internal::readToEnd(log, reading, {});
    return reading.fold;
}

PublicationResult publish(LogService& log, const ConfigurationChange& change, std::chrono::milliseconds patience, const Clock& clock)
{
    const MonotonicTime giveUp = clock.now() + patience;
    std::error_code appendError;
    log.append(configurationStream, formatConfigurationChange(change), appendError);
    internal::Reading reading;
    std::error_code readError;
    do {
        readError = internal::readToEnd(log, reading, change.id);
        if (!readError && (reading.foundOwn || reading.fold.version > change.replaces))
            return internal::verdictOf(reading);
        std::this_thread::sleep_for(internal::pauseBetweenReads);
    } while (clock.now() < giveUp);
    PublicationResult result;
    result.error = ResultCode::LogUnavailable;
    result.version = reading.fold.version;
    return result;
}

} // namespace lacewingsail
