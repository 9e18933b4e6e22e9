#include "anvilmill/platform/callbudget.h"
#include "fakes/fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace anvilmill;
using anvilmill::test::FakePlatform;

namespace {

constexpr Duration Timeout = std::chrono::seconds(1);
constexpr Duration Step = std::chrono::milliseconds(10);

} // namespace

class CallBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallBudgetTest);
    CPPUNIT_TEST(rateIsLimitedSeparatelyForEachPurpose);
    CPPUNIT_TEST(callsAreCountedByPurpose);
    CPPUNIT_TEST(backoffGrowsToItsMaximumAndIsResetBySuccess);
    CPPUNIT_TEST(hostsRetryAtDifferentTimesAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void rateIsLimitedSeparatelyForEachPurpose()
    {
        CallBudget budget({5, 10, Step, Step}, m_clock, 1);
        int made = 0;
        constexpr int Seconds = 100;
        for (int i = 0; i < Seconds * 100; ++i, m_clock.advance(Step))
            made += budget.tryCall(CallPurpose::Membership) ? 1 : 0;
        CPPUNIT_ASSERT(made <= Seconds * 5 + 10);
        CPPUNIT_ASSERT(made >= Seconds * 5);
        CPPUNIT_ASSERT(budget.tryCall(CallPurpose::Configuration));
    }

    void callsAreCountedByPurpose()
    {
        CallBudget budget({}, m_clock, 1);
        FakePlatform platform(m_clock);
        BudgetedStore store(platform, budget, CallPurpose::Configuration);
        CPPUNIT_ASSERT(store.get("key", Timeout).isDone());
        platform.isDown = true;
        CPPUNIT_ASSERT(!store.get("key", Timeout).isDone());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, budget.counts(CallPurpose::Configuration).made);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.counts(CallPurpose::Configuration).failed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.counts(CallPurpose::Membership).made);
    }

    void backoffGrowsToItsMaximumAndIsResetBySuccess()
    {
        const Duration maxBackoff = std::chrono::seconds(5);
        CallBudget budget({}, m_clock, 3);
        Duration longest{0};
        for (int failure = 0; failure < 50; ++failure) {
            const MonotonicTime next = budget.nextCall(CallPurpose::Membership);
            longest = std::max(longest, next - m_clock.now());
            m_clock.advance(maxBackoff);
            CPPUNIT_ASSERT(budget.tryCall(CallPurpose::Membership));
            budget.callEnded(CallPurpose::Membership, CallOutcome::Unreachable);
        }
        CPPUNIT_ASSERT(longest > maxBackoff / 2);
        CPPUNIT_ASSERT(longest <= maxBackoff);
        m_clock.advance(maxBackoff);
        CPPUNIT_ASSERT(budget.tryCall(CallPurpose::Membership));
        budget.callEnded(CallPurpose::Membership, CallOutcome::Done);
        CPPUNIT_ASSERT(budget.nextCall(CallPurpose::Membership) <= m_clock.now());
    }

    void hostsRetryAtDifferentTimesAfterAnOutage()
    {
        constexpr int Hosts = 130;
        std::set<MonotonicTime> retryTimes;
        for (int host = 0; host < Hosts; ++host) {
            CallBudget budget({}, m_clock, static_cast<std::uint64_t>(host));
            for (int failure = 0; failure < 8; ++failure)
                budget.callEnded(CallPurpose::Membership, CallOutcome::Unreachable);
            retryTimes.insert(budget.nextCall(CallPurpose::Membership));
        }
        const Duration spread = *retryTimes.rbegin() - *retryTimes.begin();
        CPPUNIT_ASSERT(retryTimes.size() > Hosts * 9 / 10);
        CPPUNIT_ASSERT(spread > std::chrono::seconds(4));
    }

private:
    ManualClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallBudgetTest);
