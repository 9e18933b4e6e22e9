#include "fakes/fakebatchoutput.h"

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityview.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace anvilmill;
using anvilmill::tests::FakeBatchOutput;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Stale = seconds(1);
const Resources Room{32000, 65536, 0};
const Resources Demand{14000, 64, 0};

} // namespace

class BatchSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchSchedulerTest);
    CPPUNIT_TEST(tasksStartAtOnceWhileThereIsRoom);
    CPPUNIT_TEST(roomThatWasAskedForIsNotGivenTwice);
    CPPUNIT_TEST(lowerPriorityNumberGoesFirst);
    CPPUNIT_TEST(jobIsDoneWithItsLastTask);
    CPPUNIT_TEST(failedTaskIsRetriedElsewhereUpToItsAttempts);
    CPPUNIT_TEST(refusedStartIsNoAttempt);
    CPPUNIT_TEST(refusalSpeaksForAllThatTheHolderReports);
    CPPUNIT_TEST(refusalOfTheOwnHostSpeaksForOneExecutor);
    CPPUNIT_TEST(executorsOfTheOwnHostGoFirstUnlessSlow);
    CPPUNIT_TEST(supersededRunGetsAHigherNumber);
    CPPUNIT_TEST(jobThatNoExecutorFitsIsRefusedAtOnce);
    CPPUNIT_TEST(jobBehindALongQueueIsRefusedAtOnce);
    CPPUNIT_TEST(lateJobWaitsForThoseThatCanBeInTime);
    CPPUNIT_TEST(jobWorthNothingAnyMoreIsRefused);
    CPPUNIT_TEST(sustainedOverloadServesMostOfWhatFitsInTime);
    CPPUNIT_TEST(unstartedJobIsRefusedAtItsDeadline);
    CPPUNIT_TEST(startedJobIsBrokenAtItsDeadlineAndStopped);
    CPPUNIT_TEST(cancelStopsWhatRuns);
    CPPUNIT_TEST(staleRoomIsNotCountedOn);
    CPPUNIT_TEST(jobWithoutAReachableExecutorIsRefusedAtOnce);
    CPPUNIT_TEST(ownDataCentreGoesBeforeEquallyFastOthers);
    CPPUNIT_TEST(fasterExecutorGoesFirst);
    CPPUNIT_TEST(ownDataCentreMayGoBeforeFasterOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_ended.clear();
        m_clock = std::make_unique<ManualClock>();
        m_random = std::make_unique<SeededRandom>(3);
        m_view = std::make_unique<CapacityView>(*m_clock, "a", Stale);
        m_output = std::make_unique<FakeBatchOutput>();
        m_scheduler = std::make_unique<BatchScheduler>(*m_clock, *m_random, *m_view, *m_output);
        m_policy.route = "quotes";
        m_policy.service = "desk";
        m_policy.maxAttempts = 2;
    }

    void tasksStartAtOnceWhileThereIsRoom()
    {
        useExecutors(2);
        submit(1, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.0"), m_output->starts.front().run.task);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_output->starts.front().run.number);
    }

    void roomThatWasAskedForIsNotGivenTwice()
    {
        useExecutors(1);
        submit(1, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        // The holder has reserved the room and says so: nothing is counted twice.
        acceptAll();
        m_view->report({"e0", {4000, 65536, 0}, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        m_scheduler->runEnded({m_output->starts[0].run, RunOutcome::Done, milliseconds(50)});
        m_view->report({"e0", {18000, 65536, 0}, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
    }

    void lowerPriorityNumberGoesFirst()
    {
        useExecutors(1);
        submit(1, 2);
        m_policy.priority = 2;
        submit(2, 1);
        m_policy.priority = 0;
        submit(3, 1);
        freeOne();
        CPPUNIT_ASSERT_EQUAL(JobNumber{3}, m_output->starts.back().task.job);
    }

    void jobIsDoneWithItsLastTask()
    {
        useExecutors(1);
        submit(1, 2);
        end(0, RunOutcome::Done);
        CPPUNIT_ASSERT(m_output->ends.empty());
        end(1, RunOutcome::Done);
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler->jobs());
    }

    void failedTaskIsRetriedElsewhereUpToItsAttempts()
    {
        useExecutors(3);
        submit(1, 1);
        const std::size_t first = m_output->starts.back().executor;
        end(0, RunOutcome::Failed);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->starts.back().executor != first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_output->starts.back().run.number);
        end(1, RunOutcome::Failed);
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Failed);
    }

    void refusedStartIsNoAttempt()
    {
        useExecutors(3);
        submit(1, 1);
        for (std::size_t i = 0; i < 2; ++i) {
            m_scheduler->startRefused(m_output->starts.back().run);
            m_scheduler->place();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.empty());
    }

    void refusalSpeaksForAllThatTheHolderReports()
    {
        useExecutors(3);
        m_view->report({"e0", Room, "busy"});
        m_view->report({"e1", Room, "busy"});
        submit(1, 1);
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), m_view->idOf(m_output->starts.back().executor));
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        m_view->report({"e1", Room, "busy"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
    }

    void refusalOfTheOwnHostSpeaksForOneExecutor()
    {
        useExecutors(2);
        m_view->setPreferredHost("self");
        m_view->report({"e0", Room, "self"});
        m_view->report({"e1", Room, "self"});
        submit(1, 1);
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->starts[0].executor != m_output->starts[1].executor);
    }

    void executorsOfTheOwnHostGoFirstUnlessSlow()
    {
        constexpr double Fast = 1.4;
        constexpr double Slow = 0.6;
        useExecutors(2);
        m_view->setPreferredHost("self");
        m_view->report({"e1", Room, "self"});
        m_view->setSpeed(0, Fast);
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), m_view->idOf(m_output->starts[0].executor));
        m_view->setSpeed(1, Slow);
        submit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), m_view->idOf(m_output->starts[1].executor));
    }

    void supersededRunGetsAHigherNumber()
    {
        useExecutors(1);
        submit(1, 1);
        end(0, RunOutcome::Superseded);
        m_scheduler->place();
        CPPUNIT_ASSERT(m_output->starts.back().run.number > 10);
    }

    void jobThatNoExecutorFitsIsRefusedAtOnce()
    {
        useExecutors(2);
        const auto refusal = m_scheduler->submit(1, jobOf(1, 1, {64000, 64, 0}));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("tooLarge"), refusal->cause);
    }

    // Load: a burst of several times what the executors do within the callers' time.
    void jobBehindALongQueueIsRefusedAtOnce()
    {
        useExecutors(1);
        std::optional<BatchRefusal> refusal;
        JobNumber number = 0;
        while (!refusal && number < 1000) {
            ++number;
            refusal = m_scheduler->submit(number, jobOf(number, 4, Demand));
            m_scheduler->place();
        }
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("queueTooLong"), refusal->cause);
        CPPUNIT_ASSERT(refusal->retryAfter > Duration{});
        for (const TaskStart &start : m_output->starts)
            CPPUNIT_ASSERT(start.task.job != number);
    }

    // Load: room for two tasks, a job that has waited beyond its aim, and one that has just come.
    void lateJobWaitsForThoseThatCanBeInTime()
    {
        useExecutors(1);
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        submit(1, 2);
        submit(2, 1);
        m_clock->advance(milliseconds(250));
        m_scheduler->expire();
        submit(3, 1);
        freeOne();
        CPPUNIT_ASSERT_EQUAL(JobNumber{3}, m_output->starts.back().task.job);
        m_view->report({"e0", Room, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(JobNumber{2}, m_output->starts.back().task.job);
    }

    void jobWorthNothingAnyMoreIsRefused()
    {
        useExecutors(1);
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        submit(1, 2);
        submit(2, 1);
        for (int i = 0; i < 9; ++i) {
            m_clock->advance(milliseconds(100));
            m_scheduler->expire();
        }
        CPPUNIT_ASSERT(m_output->ends.at(2).end == BatchEnd::Refused);
        CPPUNIT_ASSERT(m_output->ends.count(1) == 0);
    }

    // Load: for four seconds one and a half times what one executor does, in jobs of one task of
    // 170 ms whose aim is 332 ms. In the order of arrival alone all but the first are late.
    void sustainedOverloadServesMostOfWhatFitsInTime()
    {
        useExecutors(1);
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        const int inTime = inTimeUnderLoad(seconds(4), milliseconds(57));
        // Two at a time: 47 fit into four seconds.
        CPPUNIT_ASSERT(inTime >= 38);
    }

    void unstartedJobIsRefusedAtItsDeadline()
    {
        useExecutors(1);
        submit(1, 2);
        submit(2, 1);
        m_clock->advance(milliseconds(1500));
        m_scheduler->expire();
        CPPUNIT_ASSERT(m_output->ends.at(2).end == BatchEnd::Refused);
    }

    void startedJobIsBrokenAtItsDeadlineAndStopped()
    {
        useExecutors(1);
        submit(1, 2);
        m_clock->advance(milliseconds(1500));
        m_scheduler->expire();
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->stops.size());
    }

    void cancelStopsWhatRuns()
    {
        useExecutors(1);
        submit(1, 3);
        m_scheduler->cancel(1);
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->stops.size());
        m_view->report({"e0", Room, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
    }

    void staleRoomIsNotCountedOn()
    {
        useExecutors(1);
        submit(1, 3);
        m_clock->advance(Stale + milliseconds(1));
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
    }

    // A host that hears no holder can start nothing: its clients are told at once.
    void jobWithoutAReachableExecutorIsRefusedAtOnce()
    {
        useExecutors(2);
        m_clock->advance(Stale + milliseconds(1));
        const auto refusal = m_scheduler->submit(1, jobOf(1, 1, Demand));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("noExecutor"), refusal->cause);
        CPPUNIT_ASSERT(!m_view->hasRecentReport());
    }

    void ownDataCentreGoesBeforeEquallyFastOthers()
    {
        useExecutor("far", "b");
        useExecutor("near", "a");
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("near"), m_output->starts.back().executor);
    }

    void fasterExecutorGoesFirst()
    {
        useExecutor("near", "a");
        useExecutor("far", "b");
        m_view->setSpeed(*m_view->find("far"), 1.6);
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("far"), m_output->starts.back().executor);
    }

    void ownDataCentreMayGoBeforeFasterOthers()
    {
        useExecutor("near", "a");
        useExecutor("far", "b");
        m_view->setSpeed(*m_view->find("far"), 1.6);
        m_view->setOwnDataCentreFirst(true);
        submit(1, 3);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("near"), m_output->starts.front().executor);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("far"), m_output->starts.back().executor);
    }

private:
    void useExecutor(const std::string &id, const std::string &dataCentre)
    {
        ExecutorRegistration registration;
        registration.id = id;
        registration.service = "desk";
        registration.dataCentre = dataCentre;
        registration.capacity = Room;
        m_view->update(registration);
        m_view->report({id, Room, "holder of " + id});
    }

    void useExecutors(int count)
    {
        for (int i = 0; i < count; ++i)
            useExecutor("e" + std::to_string(i), "a");
    }

    [[nodiscard]] BatchJob jobOf(JobNumber number, std::size_t tasks, const Resources &demand)
    {
        BatchJob job;
        job.id = "job" + std::to_string(number);
        job.route = std::make_shared<const RoutePolicy>(m_policy);
        job.spec = std::make_shared<const std::string>("spec");
        job.tasks.assign(tasks, {demand, milliseconds(170)});
        job.arrived = m_clock->now();
        job.deadline = job.arrived + milliseconds(1500);
        return job;
    }

    void submit(JobNumber number, std::size_t tasks)
    {
        CPPUNIT_ASSERT(!m_scheduler->submit(number, jobOf(number, tasks, Demand)));
        m_scheduler->place();
    }

    /// Submits a job at each interval and runs what is started for 170 ms; returns how many ended
    /// within 332 ms.
    int inTimeUnderLoad(Duration time, Duration interval)
    {
        constexpr Duration Step = milliseconds(1);
        std::map<JobNumber, MonotonicTime> arrivals;
        std::multimap<MonotonicTime, RunId> running;
        std::size_t seen = 0;
        MonotonicTime next = m_clock->now();
        for (Duration passed{}; passed < time; passed += Step) {
            m_clock->advance(Step);
            while (!running.empty() && running.begin()->first <= m_clock->now()) {
                m_scheduler->startAccepted(running.begin()->second);
                m_scheduler->runEnded(
                        {running.begin()->second, RunOutcome::Done, milliseconds(170)});
                running.erase(running.begin());
            }
            m_scheduler->expire();
            if (m_clock->now() >= next) {
                next += interval;
                const JobNumber number = arrivals.size() + 1;
                arrivals[number] = m_clock->now();
                if (m_scheduler->submit(number, jobOf(number, 1, Demand)))
                    m_output->ends[number].end = BatchEnd::Refused;
            }
            const auto used = static_cast<std::int64_t>(running.size()) * Demand.milliCores;
            m_view->report({"e0", {Room.milliCores - used, Room.memoryMb, 0}, "holder"});
            m_scheduler->place();
            for (; seen < m_output->starts.size(); ++seen) {
                running.emplace(m_clock->now() + milliseconds(170), m_output->starts[seen].run);
                m_scheduler->startAccepted(m_output->starts[seen].run);
            }
            for (const auto &[number, result] : m_output->ends) {
                if (result.end == BatchEnd::Completed && m_ended.count(number) == 0)
                    m_ended[number] = m_clock->now() - arrivals[number];
            }
        }
        return static_cast<int>(std::count_if(m_ended.begin(), m_ended.end(), [](const auto &each) {
            return each.second <= milliseconds(332);
        }));
    }

    void end(std::size_t start, RunOutcome outcome)
    {
        m_scheduler->startAccepted(m_output->starts[start].run);
        m_scheduler->runEnded({m_output->starts[start].run, outcome, std::nullopt});
    }

    void acceptAll()
    {
        for (const TaskStart &start : m_output->starts)
            m_scheduler->startAccepted(start.run);
    }

    void freeOne()
    {
        acceptAll();
        m_view->report({"e0", {14000, 65536, 0}, "holder"});
        m_scheduler->place();
    }

    std::unique_ptr<ManualClock> m_clock;
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<CapacityView> m_view;
    std::unique_ptr<FakeBatchOutput> m_output;
    std::unique_ptr<BatchScheduler> m_scheduler;
    RoutePolicy m_policy;
    std::map<JobNumber, Duration> m_ended;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchSchedulerTest);
