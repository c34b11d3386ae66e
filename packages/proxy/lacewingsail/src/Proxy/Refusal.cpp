#include "Refusal.h"

#include "HeaderRules.h"

namespace lacewingsail::internal {

namespace {

    constexpr const char* retryAfterSeconds = "1";

    bool worthRetrying(ResultCode code)
    {
        const int status = entryOf(code).httpStatus;
        return status == 429 || status == 503;
    }

    Answer makeRefusal(ResultCode code, const char* execution, const RequestId& id)
    {
        const ResultCodeEntry& entry = entryOf(code);
        Answer answer;
        answer.version(11);
        answer.result(static_cast<unsigned>(entry.httpStatus));
        answer.set(http::field::content_type, "application/json");
        answer.set(codeField, std::to_string(static_cast<int>(code)));
        answer.set(executionField, execution);
        answer.set(requestIdField, id.value());
        if (worthRetrying(code))
            answer.set(http::field::retry_after, retryAfterSeconds);
        answer.body() = "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"name\":\"" + std::string(entry.name)
            + "\",\"execution\":\"" + execution + "\",\"message\":\"" + std::string(entry.meaning) + "\"}\n";
        return answer;
    }

} // namespace

Answer refusal(const NotRun& reason, const RequestId& id) { return makeRefusal(reason.code(), "not-run", id); }

Answer refusal(const OutcomeUnknown& reason, const RequestId& id) { return makeRefusal(reason.code(), "unknown", id); }

Answer refusalBeforeAttempt(ResultCode code, const RequestId& id) { return refusal(UnsentAttempt().refuse(code), id); }

Answer replayedAnswer(const RecordedResponse& recorded, const RequestId& id)
{
    Answer answer;
    answer.version(11);
    answer.result(static_cast<unsigned>(recorded.status));
    if (!recorded.contentType.empty())
        answer.set(http::field::content_type, recorded.contentType);
    answer.set(requestIdField, id.value());
    answer.set(replayedField, "true");
    answer.body() = recorded.body;
    return answer;
}

} // namespace lacewingsail::internal
