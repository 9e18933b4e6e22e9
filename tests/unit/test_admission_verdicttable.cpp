#include "anvilmill/admission/verdicttable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;

class AdmissionVerdictTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionVerdictTableTest);
    CPPUNIT_TEST(rowsAreInTheOrderOfTheirPoints);
    CPPUNIT_TEST(verdictAndRetryOfEachPoint);
    CPPUNIT_TEST(onlyTasksThatDidNotRunAreTriedElsewhere);
    CPPUNIT_TEST(notRunRequiresAClosedAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    void rowsAreInTheOrderOfTheirPoints()
    {
        for (std::size_t i = 0; i < failureTable().size(); ++i)
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(failureTable()[i].point));
        CPPUNIT_ASSERT(failureRow(FailurePoint::CancelledSent).point
                       == FailurePoint::CancelledSent);
    }

    void verdictAndRetryOfEachPoint()
    {
        check(FailurePoint::BeforeConnect, Verdict::NotRun, true);
        check(FailurePoint::Connecting, Verdict::NotRun, true);
        check(FailurePoint::Sending, Verdict::MayHaveRun, false);
        check(FailurePoint::Waiting, Verdict::MayHaveRun, false);
        check(FailurePoint::Reading, Verdict::MayHaveRun, false);
        check(FailurePoint::ExecutorRefusal, Verdict::NotRun, true);
        check(FailurePoint::ExecutorFailure, Verdict::Ran, false);
        check(FailurePoint::ClaimLost, Verdict::NotRun, false);
        check(FailurePoint::LeaseLost, Verdict::NotRun, false);
        check(FailurePoint::ShutdownQueued, Verdict::NotRun, false);
        check(FailurePoint::ShutdownSent, Verdict::MayHaveRun, false);
        check(FailurePoint::CancelledQueued, Verdict::NotRun, false);
        check(FailurePoint::CancelledSent, Verdict::MayHaveRun, false);
    }

    void onlyTasksThatDidNotRunAreTriedElsewhere()
    {
        for (const FailureRow &row : failureTable())
            CPPUNIT_ASSERT(!row.mayTryElsewhere || row.verdict == Verdict::NotRun);
    }

    void notRunRequiresAClosedAttempt()
    {
        CPPUNIT_ASSERT(submissionVerdict(Verdict::NotRun, true) == Verdict::NotRun);
        CPPUNIT_ASSERT(submissionVerdict(Verdict::NotRun, false) == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(submissionVerdict(Verdict::MayHaveRun, true) == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(submissionVerdict(Verdict::Ran, false) == Verdict::Ran);
    }

private:
    static void check(FailurePoint point, Verdict verdict, bool mayTryElsewhere)
    {
        const FailureRow &row = failureRow(point);
        const std::string name(row.name);
        CPPUNIT_ASSERT_MESSAGE(name, row.verdict == verdict);
        CPPUNIT_ASSERT_MESSAGE(name, row.mayTryElsewhere == mayTryElsewhere);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionVerdictTableTest);
