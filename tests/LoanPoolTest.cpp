#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct LoanPoolFixture {
    ManualClock clock;
    LoanPool pool;
    const Slice slice { wholeTokens(5), { 20 * oneToken.value } };

    void addLoanUntil(MonotonicTime expiresAt, std::int64_t tokens) { addLoan(pool, { HostId("lender"), slice, expiresAt }, wholeTokens(tokens), clock.now()); }

    std::int64_t grantAll()
    {
        const auto block = grantBlock(pool, { 100, 0, false }, 100ms, clock.now());
        return block ? block->tokens : 0;
    }
};

} // namespace

TEST_CASE_FIXTURE(LoanPoolFixture, "addLoan, older response of the same lender arrives after a newer one, adds no tokens")
{
    const MonotonicTime begin = clock.now();
    addLoanUntil(begin + 2s, 0);
    clock.advance(200ms);
    addLoanUntil(begin + 1s, 5);
    // Only the tokens that the slice accumulated here in the meantime.
    CHECK(grantAll() == 4);
    CHECK(pool.loans.front().expiresAt == begin + 2s);
}

TEST_CASE_FIXTURE(LoanPoolFixture, "addLoan, newer response of the same lender, replaces the loan and adds its tokens")
{
    const MonotonicTime begin = clock.now();
    addLoanUntil(begin + 1s, 2);
    addLoanUntil(begin + 2s, 1);
    CHECK(grantAll() == 3);
    CHECK(pool.loans.size() == 1);
    CHECK(pool.loans.front().expiresAt == begin + 2s);
}
