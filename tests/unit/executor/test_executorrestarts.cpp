#include "fakes/fakeexecutor.h"

#include "anvilmill/executor/heldexecutor.h"
#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace anvilmill;
using anvilmill::tests::FakeExecutor;
using std::chrono::milliseconds;

namespace {

const Resources Capacity{32000, 65536, 0};
const Resources Task{14000, 64, 0};
const HoldIntervals Intervals = HoldSettings().holdIntervals;
const RunId Run{"a", 1};

} // namespace

/// Tests orders that an executor carries out late, as the next process under its id. That process has
/// seen no fence.
class ExecutorRestartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutorRestartsTest);
    CPPUNIT_TEST(startCarriedOutByTheNextProcessIsConfirmedByItsFirstAnswer);
    CPPUNIT_TEST(startIsRejectedByTheNextProcessOnceItHasAnswered);
    CPPUNIT_TEST(runThatIsListedByTheNextProcessIsNotReportedAsLost);
    CPPUNIT_TEST(runThatWasReportedAsNotStartedIsStoppedOnceItIsListed);
    CPPUNIT_TEST(runThatWasReportedAsLostIsStoppedOnceItIsListed);
    CPPUNIT_TEST(runOfTheNextTenureIsNotStoppedForAnEndInTheLast);
    CPPUNIT_TEST(leaseRequestedFromTheFormerProcessEndsInKnownTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_clock = std::make_unique<ManualClock>();
        m_executor = std::make_unique<FakeExecutor>(*m_clock, Capacity);
        m_clock->advance(milliseconds(5000));
        ExecutorRegistration registration;
        registration.id = "e";
        registration.capacity = Capacity;
        m_held = std::make_unique<HeldExecutor>(*m_clock, HoldSettings(), registration);
        m_held->acquire(5);
        hold();
        m_clock->advance(milliseconds(1));
    }

    void startCarriedOutByTheNextProcessIsConfirmedByItsFirstAnswer()
    {
        const StartOrder order = startWithoutAnswer();
        m_executor->restart();
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        CPPUNIT_ASSERT(hold().empty());
        CPPUNIT_ASSERT(m_held->hasRun(Run));
        CPPUNIT_ASSERT(m_held->orphans().empty());
    }

    void startIsRejectedByTheNextProcessOnceItHasAnswered()
    {
        const StartOrder order = startWithoutAnswer();
        m_executor->restart();
        const auto ends = hold();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Fenced);
    }

    void runThatIsListedByTheNextProcessIsNotReportedAsLost()
    {
        const StartOrder order = *m_held->start(Run, Task);
        CPPUNIT_ASSERT(!m_held->startAnswered(order, m_executor->start(order, Task)));
        m_clock->advance(milliseconds(1));
        m_executor->restart();
        // The order was sent twice by its connection, or its answer was that of the former process.
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        CPPUNIT_ASSERT(hold().empty());
        CPPUNIT_ASSERT(m_held->hasRun(Run));
    }

    // Its task may run elsewhere by then.
    void runThatWasReportedAsNotStartedIsStoppedOnceItIsListed()
    {
        const StartOrder order = startWithoutAnswer();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold().size());
        m_executor->restart();
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        expectStoppedAtOnce();
    }

    void runThatWasReportedAsLostIsStoppedOnceItIsListed()
    {
        const StartOrder order = *m_held->start(Run, Task);
        CPPUNIT_ASSERT(!m_held->startAnswered(order, m_executor->start(order, Task)));
        m_clock->advance(milliseconds(1));
        m_executor->restart();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold().size());
        m_executor->restart();
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        expectStoppedAtOnce();
    }

    // Another holder may have started it since; its host has the usual time to claim it.
    void runOfTheNextTenureIsNotStoppedForAnEndInTheLast()
    {
        const StartOrder order = startWithoutAnswer();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold().size());
        m_held->release();
        m_executor->restart();
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        m_held->acquire(7);
        CPPUNIT_ASSERT(hold().empty());
        CPPUNIT_ASSERT(m_held->orphans().empty());
        m_clock->advance(HoldSettings().orphanGrace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_held->orphans().size());
    }

    // The next process takes the time for one far ahead and grants the longest lease, from the arrival.
    void leaseRequestedFromTheFormerProcessEndsInKnownTime()
    {
        const StartOrder order = startWithoutAnswer();
        m_executor->restart();
        CPPUNIT_ASSERT(m_executor->start(order, Task) == StartAnswer::Started);
        m_clock->advance(milliseconds(999));
        CPPUNIT_ASSERT(m_executor->runs(Run));
        m_clock->advance(milliseconds(1));
        CPPUNIT_ASSERT(!m_executor->runs(Run));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold().size());
    }

private:
    [[nodiscard]] StartOrder startWithoutAnswer()
    {
        const auto order = m_held->start(Run, Task);
        CPPUNIT_ASSERT(order.has_value());
        CPPUNIT_ASSERT(m_held->startUnanswered(*order));
        return *order;
    }

    void expectStoppedAtOnce()
    {
        CPPUNIT_ASSERT(hold().empty());
        CPPUNIT_ASSERT(!m_held->mayStart());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_held->orphans().size());
        const auto stop = m_held->stop(m_held->orphans().front());
        CPPUNIT_ASSERT(stop.has_value());
        m_executor->stop(*stop);
        const auto ends = hold();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Stopped);
    }

    std::vector<RunEnd> hold()
    {
        const HoldOrder order = m_held->nextHold(Intervals);
        const auto report = m_executor->hold(order);
        CPPUNIT_ASSERT(report.has_value());
        return m_held->holdAnswered(order, *report);
    }

    std::unique_ptr<ManualClock> m_clock;
    std::unique_ptr<FakeExecutor> m_executor;
    std::unique_ptr<HeldExecutor> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorRestartsTest);
