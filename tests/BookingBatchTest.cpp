#include <lacewingsail/Bookings.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

namespace {

struct BookingBatchFixture {
    BookingBatch batch { "id", HostId("host-0"), { { ClientAccountId("norrland"), "k", RequestId("r"), BookingResult::Answered, { 201, "application/json", "{\"å\":1}", true } } },
        { { ClientAccountId("norrland"), "k2", "f", RequestId("r2"), std::chrono::milliseconds(5000) } } };
    std::string problem;
};

} // namespace

TEST_CASE_FIXTURE(BookingBatchFixture, "parseBookingBatch, formatted batch, returns an equal batch")
{
    CHECK(parseBookingBatch(formatBookingBatch(batch), problem) == batch);
}

TEST_CASE_FIXTURE(BookingBatchFixture, "formatBookingBatch, body that is not valid UTF-8, is omitted and marked as not kept")
{
    batch.outcomes.front().response.body = "\xff\xfe";
    const auto read = parseBookingBatch(formatBookingBatch(batch), problem);
    REQUIRE(read);
    CHECK_FALSE(read->outcomes.front().response.bodyKept);
}

TEST_CASE_FIXTURE(BookingBatchFixture, "parseBookingBatch, unknown field, is ignored")
{
    std::string record = formatBookingBatch(batch);
    record.insert(1, "\"later\":1,");
    CHECK(parseBookingBatch(record, problem) == batch);
}

TEST_CASE_FIXTURE(BookingBatchFixture, "parseBookingBatch, malformed records, are rejected with a reason")
{
    const std::string whole = formatBookingBatch(batch);
    for (const std::string& record : { std::string(), std::string("[]"), std::string("{}"), std::string("{\"id\":\"\",\"host\":\"h\",\"outcomes\":[],\"claims\":[]}"), whole.substr(0, whole.size() / 2) }) {
        problem.clear();
        CHECK_FALSE(parseBookingBatch(record, problem));
        CHECK_FALSE(problem.empty());
    }
}
