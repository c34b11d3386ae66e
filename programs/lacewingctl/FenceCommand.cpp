#include "Hosts.h"

#include <lacewingsail/Http.h>
#include <lacewingsail/Limits.h>
#include <lacewingsail/Wire.h>

#include <algorithm>
#include <optional>
#include <thread>

namespace lacewingsail {

namespace {

    constexpr std::chrono::milliseconds noWait { 0 };
    constexpr std::chrono::milliseconds pauseBetweenReads { 100 };
    constexpr int recordIdBytes = 12;

    enum class Life {
        Answers,
        /// Its machine says that nothing listens: the process has ended.
        Refused,
        Silent,
    };

    struct SlotReading {
        LogOffset position {};
        SlotFold fold;
        /// What the record with the sought id changed.
        std::optional<std::size_t> changed;
    };

    std::error_code readToEnd(LogService& log, SlotReading& reading, const std::string& soughtId)
    {
        for (;;) {
            std::error_code error;
            const LogPage page = log.read(slotStream, reading.position, noWait, error);
            if (error || page.records.empty())
                return error;
            for (const LogRecord& record : page.records) {
                Problems ignored;
                const auto parsed = parseSlotRecord(record.body, ignored);
                if (!parsed)
                    continue;
                const SlotOutcome outcome = apply(reading.fold, *parsed, static_cast<std::int64_t>(record.offset));
                if (parsed->id == soughtId)
                    reading.changed = outcome.changed.size();
            }
            reading.position = page.next;
        }
    }

    // A host that the list no longer names is taken for silent.
    Life lifeOf(const Invocation& invocation, const HostId& id)
    {
        std::error_code listError;
        const std::vector<Host> hosts = listHosts(invocation, listError);
        const auto host = std::ranges::find(hosts, id, &Host::id);
        if (listError || host == hosts.end())
            return Life::Silent;
        std::error_code error;
        HttpClient(host->operators).send({ "GET", "/healthz", {}, {} }, hostTimeout, error);
        if (!error)
            return Life::Answers;
        return error == std::errc::connection_refused ? Life::Refused : Life::Silent;
    }

    SlotRecord fenceOf(const SlotFold& fold, const HostId& host)
    {
        SlotRecord fence;
        fence.id = randomHex(recordIdBytes);
        fence.kind = SlotRecordKind::Fence;
        fence.host = host;
        for (std::uint32_t index = 0; index < fold.slots.size(); ++index) {
            if (!fold.slots[index].holder.empty() && fold.slots[index].host == host)
                fence.slots.push_back({ SlotIndex { index }, fold.slots[index].lastRecord });
        }
        return fence;
    }

    // The answer of the append may be lost, so the record is looked for in the stream.
    Outcome appendAndConfirm(const Invocation& invocation, LogService& log, SlotReading& reading, const SlotRecord& fence)
    {
        std::error_code ignored;
        log.append(slotStream, formatSlotRecord(fence), ignored);
        const SystemClock clock;
        const MonotonicTime giveUp = clock.now() + invocation.timeout();
        do {
            if (!readToEnd(log, reading, fence.id) && reading.changed) {
                Outcome outcome;
                outcome.text = "fenced host=" + fence.host.value() + " slots=" + std::to_string(*reading.changed) + '\n';
                outcome.fields["slots"] = *reading.changed;
                return outcome;
            }
            std::this_thread::sleep_for(pauseBetweenReads);
        } while (clock.now() < giveUp);
        return failure(ResultCode::LogUnavailable, "it is not known whether the slots were freed");
    }

} // namespace

Outcome runFence(const Invocation& invocation)
{
    const HostId host(invocation.arguments.front());
    HttpLogService log(invocation.log);
    SlotReading reading;
    // Read before the host is tried: a process that starts after that has slots of its own, with later records.
    if (const auto error = readToEnd(log, reading, {}))
        return failure(error, text(invocation.log));
    const SlotRecord fence = fenceOf(reading.fold, host);
    const Life life = lifeOf(invocation, host);
    if (life == Life::Answers)
        return failure(ResultCode::InvalidArgument, "host " + host.value() + " answers; stop it instead");
    if (life == Life::Silent && !invocation.has("stopped"))
        return failure(ResultCode::HostUnreachable, "host " + host.value() + " may still run; make sure that its process has ended, then add --stopped");
    if (!fence.slots.empty())
        return appendAndConfirm(invocation, log, reading, fence);
    Outcome outcome;
    outcome.text = "fenced host=" + host.value() + " slots=0\n";
    outcome.fields["slots"] = 0;
    return outcome;
}

} // namespace lacewingsail
