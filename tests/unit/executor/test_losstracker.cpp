#include "anvilmill/executor/losstracker.h"
#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr HoldPace Calm{milliseconds(400), milliseconds(250), milliseconds(100)};

} // namespace

class LossTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LossTrackerTest);
    CPPUNIT_TEST(oneLostExecutorChangesNothing);
    CPPUNIT_TEST(lossesAtSeveralExecutorsQuickenTheHolds);
    CPPUNIT_TEST(calmComesBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneLostExecutorChangesNothing()
    {
        for (int i = 0; i < 200; ++i)
            m_lossTracker.lost("e1");
        CPPUNIT_ASSERT(m_lossTracker.pace().wait == Calm.wait);
    }

    // One order in sixteen at 20 executors with eight orders a second each: ten losses a second. An end
    // is then known a third as late.
    void lossesAtSeveralExecutorsQuickenTheHolds()
    {
        for (int i = 0; i < 10; ++i) {
            m_lossTracker.lost("e" + std::to_string(i % 7));
            m_clock.advance(milliseconds(100));
        }
        const HoldPace &pace = m_lossTracker.pace();
        CPPUNIT_ASSERT(3 * (pace.wait + pace.patience + pace.retryDelay)
                       < Calm.wait + Calm.patience + Calm.retryDelay);
    }

    void calmComesBack()
    {
        m_lossTracker.lost("e1");
        m_lossTracker.lost("e2");
        CPPUNIT_ASSERT(m_lossTracker.pace().wait < Calm.wait);
        m_clock.advance(seconds(4));
        CPPUNIT_ASSERT(m_lossTracker.pace().wait == Calm.wait);
        m_lossTracker.lost("e2");
        CPPUNIT_ASSERT(m_lossTracker.pace().wait == Calm.wait);
    }

private:
    ManualClock m_clock;
    LossTracker m_lossTracker{m_clock, Calm};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossTrackerTest);
