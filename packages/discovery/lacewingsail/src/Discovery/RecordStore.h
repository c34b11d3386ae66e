#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief Streams of keyed records that the fleet uses; for each key the newest record counts.
enum class RecordStream {
    /// The operators' configuration.
    Configuration,
    /// Registrations of backend servers.
    Servers,
    /// Hosts of the fleet.
    Hosts,
};

/// \brief One record of a stream.
struct KeyedRecord {
    LogOffset offset {};
    std::string key;
    /// Nothing if the key was dropped.
    std::optional<std::string> value;
};

/// \brief What a read of a stream brought.
struct StoreReadResult {
    /// ResultCode::LogUnavailable if the store did not answer, ResultCode::CheckpointMissing if the records asked for
    /// have been deleted, so that the newest have to be read again.
    ResultCode code = ResultCode::Ok;
    std::vector<KeyedRecord> records;
    /// Where the next read begins.
    LogOffset nextOffset {};
};

/// \brief The platform's store, as the fleet uses it. Callbacks come on the thread of the event loop, never from within
/// the call.
class RecordStore {
public:
    using ReadCallback = std::function<void(StoreReadResult)>;

    virtual ~RecordStore() = default;

    /// \brief Reads the records from \p from on; waits up to \p wait for the first one.
    virtual void read(RecordStream, LogOffset from, std::chrono::milliseconds wait, ReadCallback) = 0;

    /// \brief Reads the newest record of each key. Its end is that of the stream before the read, so that nothing is missed.
    virtual void readLatest(RecordStream, ReadCallback) = 0;

    /// \brief Appends one record. A lost answer leaves open whether it was appended.
    virtual void append(RecordStream, std::string key, std::string value, std::function<void(ResultCode)>) = 0;
};

} // namespace lacewingsail
