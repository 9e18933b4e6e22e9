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
/// By the clock of the slowest executor, with a margin for the interval of the holds.
constexpr Duration LongestLease = milliseconds(1100);

RunId runOf(const std::string &task, std::uint64_t number = 1)
{
    return {task, number};
}

} // namespace

class HeldExecutorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeldExecutorTest);
    CPPUNIT_TEST(noStartBeforeTheFirstHoldIsAnswered);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST(endFreesCapacityAndIsAcknowledgedByTheNextHold);
    CPPUNIT_TEST(startWithoutAnswerKeepsItsCapacityUntilTheFenceIsRaised);
    CPPUNIT_TEST(lateStartIsRejectedOnceTheFenceIsRaised);
    CPPUNIT_TEST(startWhoseAnswerWasLostIsConfirmedByAHold);
    CPPUNIT_TEST(ownRaisedFenceDoesNotLoseTheExecutor);
    CPPUNIT_TEST(higherFenceOfAnotherHolderReleasesTheExecutor);
    CPPUNIT_TEST(startRejectedByAHigherFenceNeverRan);
    CPPUNIT_TEST(inheritedRunsBlockStartsAndBecomeOrphans);
    CPPUNIT_TEST(claimedInheritedRunUsesItsDemand);
    CPPUNIT_TEST(unclaimedRunIsNotKeptAliveByTheNextHolder);
    CPPUNIT_TEST(claimedRunIsKeptAliveByTheNextHolder);
    CPPUNIT_TEST(runWhoseStopsAreLostIsNotKeptAlive);
    CPPUNIT_TEST(stoppedRunDoesNotEndTheLeaseOfOthers);
    CPPUNIT_TEST(lapseIsCountedFromTheFirstAnswerToTheNextHolder);
    CPPUNIT_TEST(claimedRunThatTheExecutorLacksNeverRan);
    CPPUNIT_TEST(answerOlderThanAStartDoesNotCoverIt);
    CPPUNIT_TEST(restartUnderTheSameIdLosesTheRuns);
    CPPUNIT_TEST(unresponsiveExecutorGetsNoLeaseAndItsRunsLapse);
    CPPUNIT_TEST(holdWithoutAnswerRenewsNoLeaseLater);
    CPPUNIT_TEST(unansweredHoldsWithoutLeaseKeepTheFence);
    CPPUNIT_TEST(holderThatNeverReachedTheExecutorReportsNoLapsedRuns);
    CPPUNIT_TEST(onlyAHoldSentAfterASuspensionVerifiesTheLease);
    CPPUNIT_TEST(startWithAnOldRunNumberIsSuperseded);
    CPPUNIT_TEST(outdatedAnswerDoesNotRestoreAnEndedRun);
    CPPUNIT_TEST(answerOfTheSameMillisecondDoesNotRestoreAnEndedRun);
    CPPUNIT_TEST(answerOfAnEarlierProcessIsIgnored);
    CPPUNIT_TEST(restartAfterTheClockWasSetBackIsNoticed);
    CPPUNIT_TEST(recordOfAReturnedExecutorContinuesItsFences);
    CPPUNIT_TEST(unansweredStartIsResolvedWhileAHoldWaits);
    CPPUNIT_TEST(executorThatFailsEverythingGetsFewProbes);
    CPPUNIT_TEST(recoveredExecutorIsUsedWithinTheLongestBackoff);
    CPPUNIT_TEST(jobThatFailsEverywhereOpensNoCircuitBreaker);
    CPPUNIT_TEST(executorThatReceivesNoStartsGetsFewAttempts);
    CPPUNIT_TEST(executorThatReceivesStartsAgainIsUsedInFull);
    CPPUNIT_TEST(unconfirmedStartIsNotBlamedForACrash);
    CPPUNIT_TEST(executorThatClosesItsConnectionAndStaysSilentHasCrashed);
    CPPUNIT_TEST(closedConnectionOfAnExecutorThatAnswersAgainIsNoCrash);
    CPPUNIT_TEST(shrunkCapacityIsNotOverfilled);
    CPPUNIT_TEST(singleLostStartsDontReduceCapacity);
    CPPUNIT_TEST(startsLostOnOneConnectionCountOnce);
    CPPUNIT_TEST(drainingExecutorGetsNoStarts);
    CPPUNIT_TEST(startWithoutAnswerIsNotOverBeforeTheExecutorAnswers);
    CPPUNIT_TEST(answerToAnEarlierHolderOfTheSameHostSaysNothingOfTheNext);
    CPPUNIT_TEST(answerToAnEarlierStartDoesNotEndALaterRun);
    CPPUNIT_TEST(restartThatAnAnswerToAnEarlierHoldTellsOfIsNoticed);
    CPPUNIT_TEST(runIsNotOverWhileALateHoldMayRenewItsLease);
    CPPUNIT_TEST(runIsNotOverWhileALateStartMayRenewItsLease);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_clock = std::make_unique<ManualClock>();
        m_executor = std::make_unique<FakeExecutor>(*m_clock, Capacity);
        m_held = makeHeld();
        m_held->acquire(5);
        hold(*m_held);
        m_clock->advance(milliseconds(1));
    }

    void noStartBeforeTheFirstHoldIsAnswered()
    {
        const auto held = makeHeld();
        CPPUNIT_ASSERT(!held->start(runOf("a"), Task));
        held->acquire(6);
        CPPUNIT_ASSERT(!held->start(runOf("a"), Task));
        hold(*held);
        CPPUNIT_ASSERT(held->start(runOf("a"), Task));
    }

    void capacityIsNeverExceeded()
    {
        start("a");
        start("b");
        CPPUNIT_ASSERT(!m_held->start(runOf("c"), Task));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{28000}, m_executor->highestUse());
    }

    void endFreesCapacityAndIsAcknowledgedByTheNextHold()
    {
        start("a");
        m_clock->advance(milliseconds(50));
        m_executor->end(runOf("a"), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{18000}, m_held->freeCapacity().milliCores);
        const auto ends = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Done);
        CPPUNIT_ASSERT(ends.front().ran == Duration(milliseconds(50)));
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_executor->unacknowledged());
        CPPUNIT_ASSERT(hold(*m_held).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_executor->unacknowledged());
    }

    void startWithoutAnswerKeepsItsCapacityUntilTheFenceIsRaised()
    {
        const auto order = m_held->start(runOf("a"), Task);
        const HoldOrder under = m_held->nextHold(Intervals);
        m_held->startUnanswered(*order);
        CPPUNIT_ASSERT(m_held->holdAnswered(under, *m_executor->hold(under)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{18000}, m_held->freeCapacity().milliCores);
        const auto ends = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
    }

    void lateStartIsRejectedOnceTheFenceIsRaised()
    {
        const auto order = m_held->start(runOf("a"), Task);
        m_held->startUnanswered(*order);
        hold(*m_held);
        CPPUNIT_ASSERT(m_executor->start(*order, Task) == StartAnswer::Fenced);
        CPPUNIT_ASSERT(!m_executor->runs(runOf("a")));
    }

    void startWhoseAnswerWasLostIsConfirmedByAHold()
    {
        const auto order = m_held->start(runOf("a"), Task);
        (void)m_executor->start(*order, Task);
        m_held->startUnanswered(*order);
        CPPUNIT_ASSERT(hold(*m_held).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{18000}, m_held->freeCapacity().milliCores);
        m_executor->end(runOf("a"), RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*m_held).size());
    }

    void ownRaisedFenceDoesNotLoseTheExecutor()
    {
        const auto first = m_held->start(runOf("a"), Task);
        const auto second = m_held->start(runOf("b"), Task);
        m_held->startUnanswered(*first);
        hold(*m_held);
        const auto end = m_held->startAnswered(*second, m_executor->start(*second, Task));
        CPPUNIT_ASSERT(end && end->outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(m_held->isHeld());
        CPPUNIT_ASSERT(m_held->start(runOf("b", 2), Task));
    }

    void higherFenceOfAnotherHolderReleasesTheExecutor()
    {
        const auto other = makeHeld();
        other->acquire(6);
        hold(*other);
        const HoldOrder order = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT(!m_executor->hold(order));
        CPPUNIT_ASSERT(m_held->holdFenced(order));
        CPPUNIT_ASSERT(!m_held->isHeld());
        CPPUNIT_ASSERT(!m_held->start(runOf("a"), Task));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_held->runs());
    }

    void startRejectedByAHigherFenceNeverRan()
    {
        const auto other = makeHeld();
        other->acquire(6);
        hold(*other);
        const auto order = m_held->start(runOf("a"), Task);
        const auto end = m_held->startAnswered(*order, m_executor->start(*order, Task));
        CPPUNIT_ASSERT(end && end->outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(!m_held->isHeld());
    }

    void inheritedRunsBlockStartsAndBecomeOrphans()
    {
        start("a");
        const auto other = makeHeld();
        other->acquire(6);
        hold(*other);
        CPPUNIT_ASSERT(!other->start(runOf("b"), Task));
        CPPUNIT_ASSERT(other->orphans().empty());
        m_clock->advance(HoldSettings{}.orphanGrace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other->orphans().size());
        m_executor->stop(*other->stop(runOf("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*other).size());
        CPPUNIT_ASSERT(other->start(runOf("b"), Task));
    }

    void claimedInheritedRunUsesItsDemand()
    {
        start("a");
        const auto other = makeHeld();
        other->acquire(6);
        hold(*other);
        other->adopt(runOf("a"), Task);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{18000}, other->freeCapacity().milliCores);
        m_clock->advance(HoldSettings{}.orphanGrace);
        CPPUNIT_ASSERT(other->orphans().empty());
    }

    // An owner that doesn't know the next holder takes a run as lapsed when the former one can't
    // renew the lease any more.
    void unclaimedRunIsNotKeptAliveByTheNextHolder()
    {
        start("a");
        const auto next = makeHeld();
        next->acquire(6);
        holdFor(*next, LongestLease);
        CPPUNIT_ASSERT(!m_executor->runs(runOf("a")));
    }

    void claimedRunIsKeptAliveByTheNextHolder()
    {
        start("a");
        const auto next = makeHeld();
        next->acquire(6);
        hold(*next);
        next->adopt(runOf("a"), Task);
        holdFor(*next, 2 * LongestLease);
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
    }

    // Its task may run elsewhere 1.3 s after the job ended on its host.
    void runWhoseStopsAreLostIsNotKeptAlive()
    {
        start("a");
        CPPUNIT_ASSERT(m_held->stop(runOf("a")));
        holdFor(*m_held, HoldSettings().stopGrace);
        CPPUNIT_ASSERT(!m_held->start(runOf("b"), Task));
        holdFor(*m_held, LongestLease);
        CPPUNIT_ASSERT(!m_executor->runs(runOf("a")));
        CPPUNIT_ASSERT(m_held->start(runOf("b"), Task));
    }

    void stoppedRunDoesNotEndTheLeaseOfOthers()
    {
        start("a");
        start("b");
        m_executor->stop(*m_held->stop(runOf("a")));
        holdFor(*m_held, 2 * LongestLease);
        CPPUNIT_ASSERT(m_executor->runs(runOf("b")));
    }

    // The former holder may have renewed the lease up to then.
    void lapseIsCountedFromTheFirstAnswerToTheNextHolder()
    {
        start("a");
        const auto next = makeHeld();
        next->acquire(6);
        holdFor(*m_held, 2 * LongestLease);
        hold(*next);
        m_clock->advance(milliseconds(100));
        CPPUNIT_ASSERT(next->holdUnanswered().empty());
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
    }

    void claimedRunThatTheExecutorLacksNeverRan()
    {
        const auto other = makeHeld();
        other->acquire(6);
        other->adopt(runOf("a"), Task);
        const auto ends = hold(*other);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(other->freeCapacity() == Capacity);
    }

    void answerOlderThanAStartDoesNotCoverIt()
    {
        const HoldOrder early = m_held->nextHold(Intervals);
        const auto report = m_executor->hold(early);
        m_clock->advance(milliseconds(1));
        start("a");
        CPPUNIT_ASSERT(m_held->holdAnswered(early, *report).empty());
        CPPUNIT_ASSERT(m_held->hasRun(runOf("a")));
    }

    void restartUnderTheSameIdLosesTheRuns()
    {
        start("a");
        m_clock->advance(milliseconds(20));
        m_executor->restart();
        const auto ends = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Lost);
        CPPUNIT_ASSERT(ends.front().hasExecutorCrashed);
        start("b");
        m_executor->end(runOf("b"), RunOutcome::Lapsed);
        m_clock->advance(milliseconds(1));
        const auto next = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(!next.front().hasExecutorCrashed);
    }

    void unresponsiveExecutorGetsNoLeaseAndItsRunsLapse()
    {
        start("a");
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        CPPUNIT_ASSERT(!m_held->nextHold(Intervals).leaseUntil);
        CPPUNIT_ASSERT(!m_held->start(runOf("b"), Task));
        m_clock->advance(milliseconds(1000));
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        m_clock->advance(milliseconds(400));
        CPPUNIT_ASSERT(!m_executor->runs(runOf("a")));
        const auto ends = m_held->holdUnanswered();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Lapsed);
        CPPUNIT_ASSERT(!ends.front().hasExecutorCrashed);
    }

    // Executors may carry out a hold seconds after it was sent, and count the time of its lease from
    // then on.
    void holdWithoutAnswerRenewsNoLeaseLater()
    {
        start("a");
        HoldOrder late = m_held->nextHold(Intervals);
        m_clock->advance(milliseconds(650));
        m_held->invalidateHold(late);
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        hold(*m_held);
        CPPUNIT_ASSERT(!m_executor->hold(late));
    }

    // The fence has few bits for this, and a long partition loses many holds.
    void unansweredHoldsWithoutLeaseKeepTheFence()
    {
        m_held->invalidateHold(m_held->nextHold(Intervals));
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        const Fence raised = m_held->fence();
        const HoldOrder order = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT(!order.leaseUntil);
        m_held->invalidateHold(order);
        CPPUNIT_ASSERT_EQUAL(raised, m_held->fence());
    }

    // Failure on lumenfold-mill trouble-3: the executor's data centre was disconnected and its
    // holder there kept renewing the lease, while the next holder, in another data centre, reported
    // the run as lapsed.
    void holderThatNeverReachedTheExecutorReportsNoLapsedRuns()
    {
        start("a");
        const auto outside = makeHeld();
        outside->acquire(6);
        outside->adopt(runOf("a"), Task);
        for (int i = 0; i < 20; ++i) {
            m_clock->advance(milliseconds(400));
            hold(*m_held);
            CPPUNIT_ASSERT(outside->holdUnanswered().empty());
        }
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
    }

    void onlyAHoldSentAfterASuspensionVerifiesTheLease()
    {
        const HoldOrder before = m_held->nextHold(Intervals);
        const auto report = m_executor->hold(before);
        m_clock->advance(milliseconds(1));
        m_held->invalidateLease();
        (void)m_held->holdAnswered(before, *report);
        CPPUNIT_ASSERT(!m_held->start(runOf("a"), Task));
        hold(*m_held);
        CPPUNIT_ASSERT(m_held->start(runOf("a"), Task));
    }

    // Two concurrent holds: the answer that the executor wrote first arrives last.
    void outdatedAnswerDoesNotRestoreAnEndedRun()
    {
        start("a");
        m_clock->advance(milliseconds(10));
        const HoldOrder first = m_held->nextHold(Intervals);
        const auto early = m_executor->hold(first);
        m_clock->advance(milliseconds(10));
        m_executor->end(runOf("a"), RunOutcome::Done);
        const HoldOrder second = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_held->holdAnswered(second, *m_executor->hold(second)).size());
        CPPUNIT_ASSERT(m_held->holdAnswered(first, *early).empty());
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
        CPPUNIT_ASSERT(m_held->mayStart());
    }

    // The executor's clock doesn't order answers that were written in the same millisecond. A run
    // that came back blocked the executor until its next answer, and was reported as lost then.
    void answerOfTheSameMillisecondDoesNotRestoreAnEndedRun()
    {
        start("a");
        m_clock->advance(milliseconds(10));
        const HoldOrder first = m_held->nextHold(Intervals);
        const auto early = m_executor->hold(first);
        m_executor->end(runOf("a"), RunOutcome::Done);
        const HoldOrder second = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_held->holdAnswered(second, *m_executor->hold(second)).size());
        CPPUNIT_ASSERT(m_held->holdAnswered(first, *early).empty());
        CPPUNIT_ASSERT(m_held->mayStart());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_held->runs());
    }

    void answerOfAnEarlierProcessIsIgnored()
    {
        start("a");
        m_clock->advance(milliseconds(10));
        const HoldOrder first = m_held->nextHold(Intervals);
        const auto early = m_executor->hold(first);
        m_clock->advance(milliseconds(10));
        m_executor->restart();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*m_held).size());
        CPPUNIT_ASSERT(m_held->holdAnswered(first, *early).empty());
        CPPUNIT_ASSERT(m_held->mayStart());
    }

    void restartAfterTheClockWasSetBackIsNoticed()
    {
        start("a");
        m_clock->advance(milliseconds(10));
        const HoldOrder order = m_held->nextHold(Intervals);
        const HoldReport before{ExecutorTime(50), 100, {runOf("a")}, {}};
        CPPUNIT_ASSERT(m_held->holdAnswered(order, before).empty());
        const HoldReport report{ExecutorTime(5), 50, {}, {}};
        CPPUNIT_ASSERT(m_held->holdAnswered(order, report).empty());
        ExecutorRegistration registration = m_held->registration();
        registration.incarnation = report.incarnation;
        m_held->update(registration);
        const auto ends = m_held->holdAnswered(order, report);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Lost);
    }

    // The executor's entry may be away for a while and come back with the executor itself.
    void recordOfAReturnedExecutorContinuesItsFences()
    {
        const auto order = m_held->start(runOf("a"), Task);
        m_held->startUnanswered(*order);
        hold(*m_held);
        const auto returned = makeHeld();
        returned->continueFences(m_held->fence());
        returned->acquire(5);
        hold(*returned);
        CPPUNIT_ASSERT(returned->mayStart());
    }

    void unansweredStartIsResolvedWhileAHoldWaits()
    {
        const HoldOrder waiting = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT(waiting.wait > Duration{});
        const auto order = m_held->start(runOf("a"), Task);
        CPPUNIT_ASSERT(m_held->startUnanswered(*order));
        CPPUNIT_ASSERT(!m_held->startUnanswered(*order));
        CPPUNIT_ASSERT(m_held->hasUnconfirmedStarts());
        const HoldOrder resolving = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT(resolving.wait == Duration{});
        const auto ends = m_held->holdAnswered(resolving, *m_executor->hold(resolving));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::NotStarted);
        CPPUNIT_ASSERT(!m_held->hasUnconfirmedStarts());
        CPPUNIT_ASSERT(m_executor->start(*order, Task) == StartAnswer::Fenced);
    }

    void startWithAnOldRunNumberIsSuperseded()
    {
        start("a");
        m_executor->end(runOf("a"), RunOutcome::Failed);
        hold(*m_held);
        const auto order = m_held->start(runOf("a"), Task);
        const auto end = m_held->startAnswered(*order, m_executor->start(*order, Task));
        CPPUNIT_ASSERT(end && end->outcome == RunOutcome::Superseded);
    }

    // Load: a start whenever there is free capacity, on an executor that fails each run at once, as
    // on lumenfold-mill scale-2. Expected are three starts before the circuit breaker opens, then
    // probes after 150, 300, 600, 1200 and every further 1500 ms.
    void executorThatFailsEverythingGetsFewProbes()
    {
        const int starts = failFor(std::chrono::seconds(10), 0);
        CPPUNIT_ASSERT(starts >= 4);
        CPPUNIT_ASSERT(starts <= 13);
    }

    void recoveredExecutorIsUsedWithinTheLongestBackoff()
    {
        failFor(std::chrono::seconds(6), 0);
        m_clock->advance(CircuitBreakerSettings{}.longestBackoff);
        hold(*m_held);
        start("probe");
        CPPUNIT_ASSERT(!m_held->start(runOf("second"), Task));
        m_executor->end(runOf("probe"), RunOutcome::Done);
        hold(*m_held);
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
    }

    // Load: one run in five belongs to a job that fails on every executor.
    void jobThatFailsEverywhereOpensNoCircuitBreaker()
    {
        for (int i = 0; i < 100; ++i) {
            const std::string task = "job" + std::to_string(i) + ".0.0.0";
            start(task);
            m_executor->end(runOf(task), i % 5 == 0 ? RunOutcome::Failed : RunOutcome::Done);
            hold(*m_held);
            CPPUNIT_ASSERT(!m_held->circuitBreaker().isOpen());
        }
    }

    // Load: tasks that wait for free capacity, and an executor that answers holds but receives no
    // start. Since it was always idle, one task was sent to it 14 times in 0.7 s.
    void executorThatReceivesNoStartsGetsFewAttempts()
    {
        const int starts = loseStartsFor(std::chrono::seconds(10));
        CPPUNIT_ASSERT(starts >= 4);
        CPPUNIT_ASSERT(starts <= 12);
        CPPUNIT_ASSERT(m_held->nextProbe().has_value());
    }

    void executorThatReceivesStartsAgainIsUsedInFull()
    {
        loseStartsFor(std::chrono::seconds(6));
        m_clock->advance(CircuitBreakerSettings{}.longestBackoff);
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
        start("first");
        start("second");
        CPPUNIT_ASSERT(!m_held->nextProbe());
    }

    // Load: one start in three is lost, at any executor, while another run is active all the time.
    // araa-hive, deploy/days/deadly-long.toml varied with seed 1: a job was shown as failed after one
    // crash and a start on an executor that had crashed before.
    void unconfirmedStartIsNotBlamedForACrash()
    {
        start("running");
        const auto order = m_held->start(runOf("a"), Task);
        CPPUNIT_ASSERT(m_held->startUnanswered(*order));
        // The start may be carried out late, and renew the lease.
        m_clock->advance(LongestLease);
        CPPUNIT_ASSERT(lapseAfterClosedConnection().run == runOf("running"));
        m_executor->restart();
        const auto ends = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().run == runOf("a"));
        CPPUNIT_ASSERT(!ends.front().hasExecutorCrashed);
    }

    void executorThatClosesItsConnectionAndStaysSilentHasCrashed()
    {
        start("a");
        CPPUNIT_ASSERT(lapseAfterClosedConnection().hasExecutorCrashed);
    }

    void closedConnectionOfAnExecutorThatAnswersAgainIsNoCrash()
    {
        start("a");
        CPPUNIT_ASSERT(m_held->holdUnanswered(true).empty());
        m_clock->advance(milliseconds(1));
        CPPUNIT_ASSERT(hold(*m_held).empty());
        m_clock->advance(milliseconds(1400));
        CPPUNIT_ASSERT(!m_held->holdUnanswered().front().hasExecutorCrashed);
    }

    void shrunkCapacityIsNotOverfilled()
    {
        start("a");
        start("b");
        ExecutorRegistration registration;
        registration.id = "e1";
        registration.capacity = {20000, 65536, 0};
        m_held->update(registration);
        CPPUNIT_ASSERT(!m_held->start(runOf("c"), {1, 0, 0}));
        m_executor->end(runOf("a"), RunOutcome::Done);
        m_clock->advance(milliseconds(1));
        hold(*m_held);
        CPPUNIT_ASSERT(!m_held->start(runOf("c"), Task));
        registration.capacity = Capacity;
        m_held->update(registration);
        CPPUNIT_ASSERT(m_held->start(runOf("c"), Task));
    }

    void singleLostStartsDontReduceCapacity()
    {
        start("long");
        for (int i = 0; i < 90; ++i) {
            const std::string task = "job" + std::to_string(i) + ".0.0.0";
            const auto order = m_held->start(runOf(task), Task);
            CPPUNIT_ASSERT(order.has_value());
            if (i % 3 == 0) {
                m_held->startUnanswered(*order);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*m_held).size());
                continue;
            }
            (void)m_held->startAnswered(*order, m_executor->start(*order, Task));
            m_executor->end(runOf(task), RunOutcome::Done);
            hold(*m_held);
        }
    }

    // Load: a connection breaks, which loses all starts in transit on it.
    void startsLostOnOneConnectionCountOnce()
    {
        const auto first = m_held->start(runOf("a"), Task);
        const auto second = m_held->start(runOf("b"), Task);
        m_held->startUnanswered(*first);
        m_held->startUnanswered(*second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hold(*m_held).size());
        CPPUNIT_ASSERT(m_held->freeCapacity() == Capacity);
    }

    void drainingExecutorGetsNoStarts()
    {
        ExecutorRegistration registration = m_held->registration();
        registration.isDraining = true;
        m_held->update(registration);
        CPPUNIT_ASSERT(!m_held->start(runOf("a"), Task));
        CPPUNIT_ASSERT(m_held->freeCapacity() == Resources{});
    }

    // An executor was cut off right after it had received a start, which it carried out seconds later. By
    // then the task had been started elsewhere, 1.3 s after the start was sent.
    void startWithoutAnswerIsNotOverBeforeTheExecutorAnswers()
    {
        const auto order = m_held->start(runOf("a"), Task);
        CPPUNIT_ASSERT(m_held->startUnanswered(*order));
        for (int i = 0; i < 20; ++i) {
            m_clock->advance(milliseconds(100));
            CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        }
        StartOrder late = *order;
        *late.leaseUntil += milliseconds(2000);
        CPPUNIT_ASSERT(m_executor->start(late, Task) == StartAnswer::Started);
        CPPUNIT_ASSERT(hold(*m_held).empty());
        m_executor->end(runOf("a"), RunOutcome::Done);
        m_clock->advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*m_held).size());
    }

    // A host lost an executor to another host and got it back while an answer was on its way.
    void answerToAnEarlierHolderOfTheSameHostSaysNothingOfTheNext()
    {
        const HoldOrder order = m_held->nextHold(Intervals);
        const auto report = m_executor->hold(order);
        m_held->release();
        const auto other = makeHeld();
        other->acquire(6);
        hold(*other);
        const auto start = other->start(runOf("a"), Task);
        CPPUNIT_ASSERT(!other->startAnswered(*start, m_executor->start(*start, Task)));
        m_held->acquire(7);
        m_held->adopt(runOf("a"), Task);
        CPPUNIT_ASSERT(m_held->holdAnswered(order, *report).empty());
        for (int i = 0; i < 20; ++i) {
            m_clock->advance(milliseconds(100));
            hold(*other);
            CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        }
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
    }

    // A client submits a job again, whose runs have the same ids.
    void answerToAnEarlierStartDoesNotEndALaterRun()
    {
        const auto first = m_held->start(runOf("a"), Task);
        CPPUNIT_ASSERT(m_held->startUnanswered(*first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold(*m_held).size());
        start("a");
        CPPUNIT_ASSERT(!m_held->startAnswered(*first, m_executor->start(*first, Task)));
        CPPUNIT_ASSERT(m_held->hasRun(runOf("a")));
        m_executor->end(runOf("a"), RunOutcome::Done);
        hold(*m_held);
        CPPUNIT_ASSERT(!m_held->startAnswered(*first, StartAnswer::Fenced));
    }

    // The executor's clock starts anew, so that all later answers counted as older than the last one of the
    // former process.
    void restartThatAnAnswerToAnEarlierHoldTellsOfIsNoticed()
    {
        m_clock->advance(milliseconds(5000));
        start("a");
        hold(*m_held);
        const HoldOrder order = m_held->nextHold(Intervals);
        m_held->release();
        m_held->acquire(6);
        m_held->adopt(runOf("a"), Task);
        hold(*m_held);
        m_clock->advance(milliseconds(10));
        m_executor->restart();
        const auto report = m_executor->hold(order);
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT(m_held->holdAnswered(order, *report).empty());
        m_clock->advance(milliseconds(10));
        const auto ends = hold(*m_held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().outcome == RunOutcome::Lost);
        CPPUNIT_ASSERT(ends.front().hasExecutorCrashed);
        CPPUNIT_ASSERT(m_held->start(runOf("b"), Task));
    }

    // A hold that is carried out before the lease of the one before has expired renews it, counted from then.
    void runIsNotOverWhileALateHoldMayRenewItsLease()
    {
        start("a");
        hold(*m_held);
        m_clock->advance(milliseconds(1));
        HoldOrder late = m_held->nextHold(Intervals);
        CPPUNIT_ASSERT(late.leaseUntil);
        m_clock->advance(milliseconds(650));
        m_held->invalidateHold(late);
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        m_clock->advance(milliseconds(250));
        *late.leaseUntil += milliseconds(900);
        CPPUNIT_ASSERT(m_executor->hold(late));
        m_clock->advance(milliseconds(500));
        const auto ends = m_held->holdUnanswered();
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ends.size());
    }

    // The lease that a start requests covers the other runs of the executor as well.
    void runIsNotOverWhileALateStartMayRenewItsLease()
    {
        start("a");
        auto late = m_held->start(runOf("b"), Task);
        m_clock->advance(milliseconds(50));
        CPPUNIT_ASSERT(m_held->startUnanswered(*late));
        m_clock->advance(milliseconds(900));
        *late->leaseUntil += milliseconds(900);
        CPPUNIT_ASSERT(m_executor->start(*late, Task) == StartAnswer::Started);
        m_clock->advance(milliseconds(500));
        CPPUNIT_ASSERT(m_held->holdUnanswered().empty());
        CPPUNIT_ASSERT(m_executor->runs(runOf("a")));
    }

private:
    [[nodiscard]] std::unique_ptr<HeldExecutor> makeHeld() const
    {
        ExecutorRegistration registration;
        registration.id = "e1";
        registration.capacity = Capacity;
        return std::make_unique<HeldExecutor>(*m_clock, HoldSettings{}, registration);
    }

    /// Starts a run whenever there is free capacity and lets each fail at once; returns the new
    /// total of \p starts.
    int failFor(Duration time, int starts)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(10)) {
            const std::string task = "bad" + std::to_string(starts) + ".0.0.0";
            if (const auto order = m_held->start(runOf(task), Task)) {
                ++starts;
                (void)m_held->startAnswered(*order, m_executor->start(*order, Task));
                m_executor->end(runOf(task), RunOutcome::Failed);
            }
            m_clock->advance(milliseconds(10));
            hold(*m_held);
        }
        return starts;
    }

    /// Starts a run whenever there is free capacity; each start is lost, which is detected 50 ms
    /// later. Returns the number of starts.
    int loseStartsFor(Duration time)
    {
        int starts = 0;
        for (Duration passed{}; passed < time; passed += milliseconds(50)) {
            const auto order = m_held->start(runOf("lost" + std::to_string(starts)), Task);
            m_clock->advance(milliseconds(50));
            if (order) {
                ++starts;
                CPPUNIT_ASSERT(m_held->startUnanswered(*order));
            }
            hold(*m_held);
        }
        return starts;
    }

    /// The executor closes its connections and doesn't answer until the lease has expired.
    RunEnd lapseAfterClosedConnection()
    {
        CPPUNIT_ASSERT(m_held->holdUnanswered(true).empty());
        m_clock->advance(milliseconds(1400));
        const auto ends = m_held->holdUnanswered();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        return ends.front();
    }

    std::vector<RunEnd> hold(HeldExecutor &held)
    {
        const HoldOrder order = held.nextHold(Intervals);
        const auto report = m_executor->hold(order);
        CPPUNIT_ASSERT(report.has_value());
        return held.holdAnswered(order, *report);
    }

    /// Sends a hold every 50 ms.
    void holdFor(HeldExecutor &held, Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(50)) {
            hold(held);
            m_clock->advance(milliseconds(50));
        }
    }

    void start(const std::string &task)
    {
        const auto order = m_held->start(runOf(task), Task);
        CPPUNIT_ASSERT(order.has_value());
        CPPUNIT_ASSERT(!m_held->startAnswered(*order, m_executor->start(*order, Task)));
    }

    std::unique_ptr<ManualClock> m_clock;
    std::unique_ptr<FakeExecutor> m_executor;
    std::unique_ptr<HeldExecutor> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldExecutorTest);
