#pragma once

#include <lacewingsail/World.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewingsail {

/// \brief Streams of keyed records in the store. The latest record of a key replaces the earlier ones.
enum class RecordStream {
    /// The operators' configuration, and the zones that they evacuate.
    Configuration,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of the fleet's hosts.
    Hosts,
};

/// \brief The availability zone whose evacuation a record orders or takes back.
struct EvacuationKey {
    ZoneId zone;
    /// The record's value cannot be read: the last valid record of the zone holds.
    bool malformed = false;
};

/// \brief One record of a stream.
struct KeyedRecord {
    LogOffset offset {};
    std::string key;
    /// Nothing if the record deletes its key.
    std::optional<std::string> value;
    /// Set if the record is about a zone's evacuation. A record with a value orders it.
    std::optional<EvacuationKey> evacuation {};
};

/// \brief Result of reading a stream.
struct StoreReadResult {
    /// ResultCode::LogUnavailable if the store did not answer, ResultCode::CheckpointMissing if it has deleted the
    /// requested records, so that the latest record of each key has to be read again.
    ResultCode code = ResultCode::Ok;
    std::vector<KeyedRecord> records;
    /// Offset at which the next read starts.
    LogOffset nextOffset {};
    /// Era of the store when it answered, refusals included; 0 if it did not answer.
    StoreEra era {};
};

/// \brief Result of appending a record.
struct StoreAppendResult {
    ResultCode code = ResultCode::Ok;
    /// As in StoreReadResult.
    StoreEra era {};
};

/// \brief The platform's store. Callbacks run on the event loop's thread, never within the call.
class RecordStore {
public:
    using ReadCallback = std::function<void(StoreReadResult)>;
    using AppendCallback = std::function<void(StoreAppendResult)>;

    virtual ~RecordStore() = default;

    /// \brief Reads the records from offset \p from on; waits up to \p wait for the first one.
    virtual void read(RecordStream, LogOffset from, std::chrono::milliseconds wait, ReadCallback) = 0;

    /// \brief Reads the latest record of each key. The next offset is the end of the stream before the read started, so
    /// that no record is missed. All records are of one era.
    virtual void readLatest(RecordStream, ReadCallback) = 0;

    /// \brief Appends one record. If the answer is lost, the record may have been appended all the same.
    virtual void append(RecordStream, std::string key, std::string value, AppendCallback) = 0;
};

} // namespace lacewingsail
