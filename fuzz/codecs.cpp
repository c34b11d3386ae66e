/// \brief Feeds arbitrary text to the JSON codecs. The first byte chooses the codec. Besides crashes it looks for a
/// configuration that does not survive being written and read back.

#include <PlatformAdapter.h>

#include <lacewingsail/Wire.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

using namespace lacewingsail;

void silenceLog()
{
    static const bool silenced = [] {
        redirectLog([](std::string_view) {});
        return true;
    }();
    static_cast<void>(silenced);
}

void tryRegistration(const std::string& text)
{
    const auto server = platform_adapter::decodeServer(BackendServerId("i"), text);
    if (!server || invalidField(*server))
        return;
    const MonotonicTime warmupEndsAt = MonotonicTime {} + server->warmupLeft;
    if (warmupEndsAt - MonotonicTime {} != server->warmupLeft)
        std::abort();
}

void tryHostRecord(const std::string& text)
{
    const auto record = platform_adapter::decodeHost(HostId("host"), text);
    if (!record)
        return;
    const auto again = platform_adapter::decodeHost(HostId("host"), platform_adapter::encodeHost(*record));
    if (!again || again->fleetSize != record->fleetSize || again->host.peerEndpoint != record->host.peerEndpoint)
        std::abort();
}

/// \brief Answers the first call with a text and refuses all others.
class TextCalls final : public HttpCalls {
public:
    explicit TextCalls(std::string_view text)
        : m_text(text)
    {
    }

    void call(std::size_t, HttpRequest, std::chrono::milliseconds, Answer callback) override
    {
        const bool first = !m_answered;
        m_answered = true;
        callback({}, { first ? 200 : 503, {}, first ? m_text : std::string() });
    }

private:
    std::string m_text;
    bool m_answered = false;
};

void tryRecords(std::string_view text)
{
    TextCalls calls(text);
    platform_adapter::StoreClient store(calls);
    store.read(RecordStream::Servers, LogOffset { 7 }, std::chrono::milliseconds(0), [](const StoreReadResult& result) {
        for (const KeyedRecord& record : result.records) {
            if (record.offset < LogOffset { 7 } || record.offset >= result.nextOffset || (record.value && record.value->empty()))
                std::abort();
        }
    });
}

void tryPage(std::string_view text)
{
    TextCalls calls(text);
    platform_adapter::StoreClient store(calls);
    store.readLatest(RecordStream::Servers, [](const StoreReadResult&) {});
}

void tryConfiguration(std::string_view text)
{
    Problems problems;
    const auto parsed = parseConfiguration(text, problems);
    if (!parsed)
        return;
    const auto again = parseConfiguration(formatConfiguration(*parsed), problems);
    if (again != parsed)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming): name set by libFuzzer
{
    if (size == 0)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    Problems problems;
    silenceLog();
    switch (data[0] % 10) {
    case 0:
        tryConfiguration(text);
        break;
    case 1:
        parseSettings(text, problems);
        break;
    case 2:
        parseConfigurationRecord(text, problems);
        break;
    case 3:
        parseKeyWithdrawal(text, problems);
        break;
    case 4:
        parseHostList(text, problems);
        break;
    case 5:
        tryRegistration(std::string(text));
        break;
    case 6:
        tryHostRecord(std::string(text));
        break;
    case 7:
        tryRecords(text);
        break;
    case 8:
        tryPage(text);
        break;
    default:
        platform_adapter::decodeConfiguration(std::string(text));
        break;
    }
    return 0;
}
