#include "batch/earlyclaims.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::EarlyClaims;

class EarlyClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyClaimsTest);
    CPPUNIT_TEST(claimsOfTwoHostsForRunsWithTheSameIdAreKeptApart);
    CPPUNIT_TEST(claimOfAStoppedRunIsDiscarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // A client had submitted its job to another host again. The first host's cancellation discarded the
    // claim of the second one, whose run was stopped as an orphan and never reported.
    void claimsOfTwoHostsForRunsWithTheSameIdAreKeptApart()
    {
        m_claims.add({m_run, "e1", {}, {"a", 1}});
        m_claims.add({m_run, "e2", {}, {"b", 1}});
        m_claims.remove("a", m_run, "e1");
        const auto claims = m_claims.takeAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), claims.front().owner.host);
    }

    void claimOfAStoppedRunIsDiscarded()
    {
        m_claims.add({m_run, "e1", {}, {"a", 1}});
        m_claims.add({m_run, "e1", {}, {"a", 2}});
        m_claims.remove("a", m_run, "e1");
        CPPUNIT_ASSERT(m_claims.isEmpty());
    }

private:
    ManualClock m_clock;
    EarlyClaims m_claims{m_clock};
    const RunId m_run{"job.0.0.0", 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyClaimsTest);
