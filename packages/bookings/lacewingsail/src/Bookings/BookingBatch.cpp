#include <lacewingsail/Bookings.h>

#include <boost/json.hpp>

#include <array>
#include <limits>
#include <stdexcept>

namespace lacewingsail {

namespace json = boost::json;

namespace internal {

    constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;
    constexpr std::array<std::string_view, 3> resultNames { "answered", "not-run", "unknown" };

    std::string_view nameOf(BookingResult result) { return resultNames.at(static_cast<std::size_t>(result)); }

    BookingResult resultNamed(std::string_view name)
    {
        for (std::size_t index = 0; index < resultNames.size(); ++index) {
            if (resultNames.at(index) == name)
                return static_cast<BookingResult>(index);
        }
        throw std::invalid_argument("result is not answered, not-run or unknown");
    }

    // JSON strings must be valid UTF-8.
    bool isText(const std::string& value)
    {
        json::error_code error;
        json::parse(json::serialize(json::string(value)), error);
        return !error;
    }

    json::object formatResponse(const RecordedResponse& response)
    {
        const bool kept = response.bodyKept && isText(response.body) && isText(response.contentType);
        json::object value { { "status", response.status }, { "body_kept", kept } };
        if (kept) {
            value["content_type"] = response.contentType;
            value["body"] = response.body;
        }
        return value;
    }

    json::object formatOutcome(const BookingOutcome& outcome)
    {
        json::object value { { "account", outcome.account.value() }, { "key", outcome.key }, { "request", outcome.request.value() }, { "result", nameOf(outcome.result) } };
        if (outcome.result == BookingResult::Answered)
            value["answer"] = formatResponse(outcome.response);
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

    std::string nonEmptyTextOf(const json::value& object, std::string_view name)
    {
        std::string text = textOf(object, name);
        if (text.empty())
            throw std::invalid_argument(std::string(name) + " is empty");
        return text;
    }

    std::int64_t numberOf(const json::value& object, std::string_view name, std::int64_t min, std::int64_t max)
    {
        const std::int64_t number = object.at(name).as_int64();
        if (number < min || number > max)
            throw std::invalid_argument(std::string(name) + " is out of range");
        return number;
    }

    RecordedResponse parseResponse(const json::value& value)
    {
        RecordedResponse response;
        response.status = static_cast<int>(numberOf(value, "status", 200, 599));
        response.bodyKept = value.at("body_kept").as_bool();
        if (response.bodyKept) {
            response.contentType = textOf(value, "content_type");
            response.body = textOf(value, "body");
        }
        return response;
    }

    BookingOutcome parseOutcome(const json::value& value)
    {
        BookingOutcome outcome;
        outcome.account = ClientAccountId(textOf(value, "account"));
        outcome.key = nonEmptyTextOf(value, "key");
        outcome.request = RequestId(nonEmptyTextOf(value, "request"));
        outcome.result = resultNamed(textOf(value, "result"));
        if (outcome.result == BookingResult::Answered)
            outcome.response = parseResponse(value.at("answer"));
        return outcome;
    }

    BookingClaim parseClaim(const json::value& value)
    {
        BookingClaim claim;
        claim.account = ClientAccountId(textOf(value, "account"));
        claim.key = nonEmptyTextOf(value, "key");
        claim.fingerprint = nonEmptyTextOf(value, "fingerprint");
        claim.request = RequestId(nonEmptyTextOf(value, "request"));
        claim.deadline = std::chrono::milliseconds(numberOf(value, "deadline_ms", 0, maxDeadlineMilliseconds));
        return claim;
    }

    BookingBatch parseBatch(const json::value& value)
    {
        BookingBatch batch;
        batch.id = nonEmptyTextOf(value, "id");
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
