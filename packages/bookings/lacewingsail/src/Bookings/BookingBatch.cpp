#include <lacewingsail/Bookings.h>

#include <boost/json.hpp>

#include <array>
#include <limits>
#include <stdexcept>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::int64_t longestDeadlineMilliseconds = 24LL * 3600 * 1000;
    constexpr std::array<std::string_view, 3> resultNames { "answered", "not-run", "unknown" };

    std::string_view nameOf(BookingResult result) { return resultNames.at(static_cast<std::size_t>(result)); }

    BookingResult resultNamed(std::string_view name)
    {
        for (std::size_t index = 0; index < resultNames.size(); ++index) {
            if (resultNames.at(index) == name)
                return static_cast<BookingResult>(index);
        }
        throw std::invalid_argument("unknown result");
    }

    // JSON carries valid UTF-8 only.
    bool isText(const std::string& value)
    {
        json::error_code error;
        json::parse(json::serialize(json::string(value)), error);
        return !error;
    }

    json::object formatAnswer(const RecordedResponse& answer)
    {
        const bool kept = answer.bodyKept && isText(answer.body) && isText(answer.contentType);
        json::object value { { "status", answer.status }, { "body_kept", kept } };
        if (kept) {
            value["content_type"] = answer.contentType;
            value["body"] = answer.body;
        }
        return value;
    }

    json::object formatOutcome(const BookingOutcome& outcome)
    {
        json::object value { { "account", outcome.account.value() }, { "key", outcome.key }, { "request", outcome.request.value() }, { "result", nameOf(outcome.result) } };
        if (outcome.result == BookingResult::Answered)
            value["answer"] = formatAnswer(outcome.response);
        return value;
    }

    json::object formatClaim(const BookingClaim& claim)
    {
        return { { "account", claim.account.value() }, { "key", claim.key }, { "fingerprint", claim.fingerprint },
            { "request", claim.request.value() }, { "deadline_ms", claim.deadline.count() } };
    }

    std::string textOf(const json::value& object, std::string_view name)
    {
        const json::string& text = object.at(name).as_string();
        return { text.data(), text.size() };
    }

    std::string filledTextOf(const json::value& object, std::string_view name)
    {
        std::string text = textOf(object, name);
        if (text.empty())
            throw std::invalid_argument(std::string(name) + " is empty");
        return text;
    }

    std::int64_t numberOf(const json::value& object, std::string_view name, std::int64_t least, std::int64_t most)
    {
        const std::int64_t number = object.at(name).as_int64();
        if (number < least || number > most)
            throw std::invalid_argument(std::string(name) + " is out of range");
        return number;
    }

    RecordedResponse parseAnswer(const json::value& value)
    {
        RecordedResponse answer;
        answer.status = static_cast<int>(numberOf(value, "status", 200, 599));
        answer.bodyKept = value.at("body_kept").as_bool();
        if (answer.bodyKept) {
            answer.contentType = textOf(value, "content_type");
            answer.body = textOf(value, "body");
        }
        return answer;
    }

    BookingOutcome parseOutcome(const json::value& value)
    {
        BookingOutcome outcome;
        outcome.account = ClientAccountId(textOf(value, "account"));
        outcome.key = filledTextOf(value, "key");
        outcome.request = RequestId(filledTextOf(value, "request"));
        outcome.result = resultNamed(textOf(value, "result"));
        if (outcome.result == BookingResult::Answered)
            outcome.response = parseAnswer(value.at("answer"));
        return outcome;
    }

    BookingClaim parseClaim(const json::value& value)
    {
        BookingClaim claim;
        claim.account = ClientAccountId(textOf(value, "account"));
        claim.key = filledTextOf(value, "key");
        claim.fingerprint = filledTextOf(value, "fingerprint");
        claim.request = RequestId(filledTextOf(value, "request"));
        claim.deadline = std::chrono::milliseconds(numberOf(value, "deadline_ms", 0, longestDeadlineMilliseconds));
        return claim;
    }

    BookingBatch parseBatch(const json::value& value)
    {
        BookingBatch batch;
        batch.id = filledTextOf(value, "id");
        batch.host = HostId(textOf(value, "host"));
        for (const json::value& outcome : value.at("outcomes").as_array())
            batch.outcomes.push_back(parseOutcome(outcome));
        for (const json::value& claim : value.at("claims").as_array())
            batch.claims.push_back(parseClaim(claim));
        return batch;
    }

} // namespace internal

std::string formatBookingBatch(const BookingBatch& batch)
{
    json::array outcomes;
    for (const BookingOutcome& outcome : batch.outcomes)
        outcomes.emplace_back(internal::formatOutcome(outcome));
    json::array claims;
    for (const BookingClaim& claim : batch.claims)
        claims.emplace_back(internal::formatClaim(claim));
    return json::serialize(json::object { { "id", batch.id }, { "host", batch.host.value() }, { "outcomes", std::move(outcomes) }, { "claims", std::move(claims) } });
}

std::optional<BookingBatch> parseBookingBatch(std::string_view record, std::string& problem)
{
    try {
        return internal::parseBatch(json::parse(record));
    } catch (const std::exception& error) {
        problem = error.what();
        return std::nullopt;
    }
}

} // namespace lacewingsail
