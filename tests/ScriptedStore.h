#pragma once

#include <lacewingsail/Discovery.h>

#include <deque>

namespace lacewingsail {

/// \brief A store whose calls the test answers one by one.
class ScriptedStore final : public RecordStore {
public:
    struct Call {
        RecordStream stream;
        bool readLatest = false;
        LogOffset from {};
        ReadCallback callback;
    };

    void read(RecordStream stream, LogOffset from, std::chrono::milliseconds, ReadCallback callback) override { calls.push_back({ stream, false, from, std::move(callback) }); }
    void readLatest(RecordStream stream, ReadCallback callback) override { calls.push_back({ stream, true, {}, std::move(callback) }); }
    void append(RecordStream, std::string, std::string, AppendCallback) override { }

    std::deque<Call> calls;
};

} // namespace lacewingsail
