#include "anvilmill/executor/losstracker.h"
#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr HoldIntervals NormalIntervals{milliseconds(400), milliseconds(250), milliseconds(100)};

} // namespace

class LossTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LossTrackerTest);
    CPPUNIT_TEST(lossesAtOneExecutorDontChangeTheIntervals);
    CPPUNIT_TEST(lossesAtSeveralExecutorsShortenIntervals);
    CPPUNIT_TEST(normalIntervalsApplyAgainAfterTheLossWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void lossesAtOneExecutorDontChangeTheIntervals()
    {
        for (int i = 0; i < 200; ++i)
            m_losses.lost("e1");
        CPPUNIT_ASSERT(m_losses.intervals().wait == NormalIntervals.wait);
    }

    // One order in sixteen is lost at 20 executors with eight orders per second each: ten losses
    // per second. The time until an ended run is detected must drop to less than a third.
    void lossesAtSeveralExecutorsShortenIntervals()
    {
        for (int i = 0; i < 10; ++i) {
            m_losses.lost("e" + std::to_string(i % 7));
            m_clock.advance(milliseconds(100));
        }
        const HoldIntervals &intervals = m_losses.intervals();
        CPPUNIT_ASSERT(3 * (intervals.wait + intervals.answerTimeout + intervals.retryDelay)
                       < NormalIntervals.wait + NormalIntervals.answerTimeout
                                 + NormalIntervals.retryDelay);
    }

    void normalIntervalsApplyAgainAfterTheLossWindow()
    {
        m_losses.lost("e1");
        m_losses.lost("e2");
        CPPUNIT_ASSERT(m_losses.intervals().wait < NormalIntervals.wait);
        m_clock.advance(seconds(4));
        CPPUNIT_ASSERT(m_losses.intervals().wait == NormalIntervals.wait);
        m_losses.lost("e2");
        CPPUNIT_ASSERT(m_losses.intervals().wait == NormalIntervals.wait);
    }

private:
    ManualClock m_clock;
    LossTracker m_losses{m_clock, NormalIntervals};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossTrackerTest);
