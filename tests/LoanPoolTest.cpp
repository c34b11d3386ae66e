#include <lacewingsail/Policy.h>

#include <doctest/doctest.h>

using namespace lacewingsail;
using namespace std::chrono_literals;

namespace {

struct LoanPoolFixture {
    ManualClock clock;
    LoanPool pool;
    const Slice slice { wholeTokens(5), { 20 * oneToken.value } };

    void addLoanUntil(MonotonicTime until, std::int64_t tokens) { addLoan(pool, { HostId("lender"), slice, until }, wholeTokens(tokens), clock.now()); }

    std::int64_t drawAll()
    {
        const auto block = grantBlock(pool, { 100, 0, false }, 100ms, clock.now());
        return block ? block->tokens : 0;
    }
};

} // namespace

TEST_CASE_FIXTURE(LoanPoolFixture, "addLoan, older answer of the same lender arrives after a newer one, brings no token")
{
    const MonotonicTime begin = clock.now();
    addLoanUntil(begin + 2s, 0);
    clock.advance(200ms);
    addLoanUntil(begin + 1s, 5);
    // Only what the slice yielded here in the meantime.
    CHECK(drawAll() == 4);
    CHECK(pool.loans.front().expiresAt == begin + 2s);
}

TEST_CASE_FIXTURE(LoanPoolFixture, "addLoan, newer answer of the same lender, replaces the loan and adds its tokens")
{
    const MonotonicTime begin = clock.now();
    addLoanUntil(begin + 1s, 2);
    addLoanUntil(begin + 2s, 1);
    CHECK(drawAll() == 3);
    CHECK(pool.loans.size() == 1);
    CHECK(pool.loans.front().expiresAt == begin + 2s);
}
