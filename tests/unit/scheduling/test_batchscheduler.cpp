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

constexpr Duration StaleAfter = seconds(1);
const Resources Capacity{32000, 65536, 0};
const Resources Demand{14000, 64, 0};

} // namespace

class BatchSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchSchedulerTest);
    CPPUNIT_TEST(tasksStartAtOnceWhileCapacityIsFree);
    CPPUNIT_TEST(reservedCapacityIsNotAssignedTwice);
    CPPUNIT_TEST(lowerPriorityNumberIsScheduledFirst);
    CPPUNIT_TEST(jobIsCompletedWithItsLastTask);
    CPPUNIT_TEST(failedTaskIsRetriedElsewhereUpToItsAttempts);
    CPPUNIT_TEST(taskThatCrashesItsExecutorsIsGivenUp);
    CPPUNIT_TEST(taskThatLosesItsLeaseIsNotGivenUp);
    CPPUNIT_TEST(crashesOfOtherTasksAreNotAddedUp);
    CPPUNIT_TEST(refusedStartIsNotCountedAsAttempt);
    CPPUNIT_TEST(refusalAppliesToAllExecutorsOfTheHolder);
    CPPUNIT_TEST(refusalOfTheOwnHostAppliesToOneExecutor);
    CPPUNIT_TEST(executorsOfTheOwnHostArePreferredUnlessSlow);
    CPPUNIT_TEST(longTaskWaitsForAnExecutorThatIsFastEnough);
    CPPUNIT_TEST(shortTasksUseSlowExecutorsMeanwhile);
    CPPUNIT_TEST(taskThatNoExecutorCanFinishInTimeStartsAnywhere);
    CPPUNIT_TEST(supersededRunGetsAHigherNumber);
    CPPUNIT_TEST(jobThatNoExecutorFitsIsRefusedAtOnce);
    CPPUNIT_TEST(jobBehindALongQueueIsRefusedAtOnce);
    CPPUNIT_TEST(lateJobIsScheduledAfterThoseThatCanBeInTime);
    CPPUNIT_TEST(uselessLateJobIsRefused);
    CPPUNIT_TEST(sustainedOverloadCompletesMostJobsThatFitInTime);
    CPPUNIT_TEST(unstartedJobIsRefusedAtItsDeadline);
    CPPUNIT_TEST(startedJobIsBrokenAtItsDeadlineAndStopped);
    CPPUNIT_TEST(cancelStopsRunningTasks);
    CPPUNIT_TEST(taskOfADisconnectedCallerIsNotStarted);
    CPPUNIT_TEST(staleReportOffersNoCapacity);
    CPPUNIT_TEST(jobWithoutAReachableExecutorIsRefusedAtOnce);
    CPPUNIT_TEST(ownDataCentreIsPreferredToEquallyFastOthers);
    CPPUNIT_TEST(fasterExecutorIsPreferred);
    CPPUNIT_TEST(ownDataCentreCanBePreferredToFasterOthers);
    CPPUNIT_TEST(jobThatIsScheduledAlreadyIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_ended.clear();
        m_clock = std::make_unique<ManualClock>();
        m_random = std::make_unique<SeededRandom>(3);
        m_view = std::make_unique<CapacityView>(*m_clock, "a", StaleAfter);
        m_output = std::make_unique<FakeBatchOutput>();
        m_scheduler = std::make_unique<BatchScheduler>(*m_clock, *m_random, *m_view, *m_output);
        m_policy.route = "quotes";
        m_policy.service = "desk";
        m_policy.maxAttempts = 2;
    }

    void tasksStartAtOnceWhileCapacityIsFree()
    {
        addExecutors(2);
        submit(1, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.0"), m_output->starts.front().run.task);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_output->starts.front().run.number);
    }

    void reservedCapacityIsNotAssignedTwice()
    {
        addExecutors(1);
        submit(1, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        // The holder's report includes the reserved capacity: it is not counted twice.
        acceptAll();
        m_view->report({"e0", {4000, 65536, 0}, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        m_scheduler->runEnded({m_output->starts[0].run, RunOutcome::Done, milliseconds(50)});
        m_view->report({"e0", {18000, 65536, 0}, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
    }

    void lowerPriorityNumberIsScheduledFirst()
    {
        addExecutors(1);
        submit(1, 2);
        m_policy.priority = 2;
        submit(2, 1);
        m_policy.priority = 0;
        submit(3, 1);
        freeCapacityForOneTask();
        CPPUNIT_ASSERT_EQUAL(JobNumber{3}, m_output->starts.back().task.job);
    }

    void jobIsCompletedWithItsLastTask()
    {
        addExecutors(1);
        submit(1, 2);
        end(0, RunOutcome::Done);
        CPPUNIT_ASSERT(m_output->ends.empty());
        end(1, RunOutcome::Done);
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler->jobs());
    }

    void failedTaskIsRetriedElsewhereUpToItsAttempts()
    {
        addExecutors(3);
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

    // Issue 30: a task that crashed each of its executors was started on up to seven of them.
    void taskThatCrashesItsExecutorsIsGivenUp()
    {
        addExecutors(4);
        submit(1, 2);
        crashExecutor(0);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.empty());
        crashExecutor(2);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Failed);
        CPPUNIT_ASSERT_EQUAL(std::string("executorsCrashed"), m_output->ends.at(1).cause);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_output->stops.size());
    }

    void taskThatLosesItsLeaseIsNotGivenUp()
    {
        addExecutors(4);
        submit(1, 1);
        for (std::size_t i = 0; i < 3; ++i) {
            end(i, RunOutcome::Lapsed);
            m_scheduler->place();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.empty());
    }

    void crashesOfOtherTasksAreNotAddedUp()
    {
        addExecutors(4);
        submit(1, 2);
        crashExecutor(0);
        crashExecutor(1);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.empty());
    }

    void refusedStartIsNotCountedAsAttempt()
    {
        addExecutors(3);
        submit(1, 1);
        for (std::size_t i = 0; i < 2; ++i) {
            m_scheduler->startRefused(m_output->starts.back().run);
            m_scheduler->place();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.empty());
    }

    void refusalAppliesToAllExecutorsOfTheHolder()
    {
        addExecutors(3);
        m_view->report({"e0", Capacity, "busy"});
        m_view->report({"e1", Capacity, "busy"});
        submit(1, 1);
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), m_view->idOf(m_output->starts.back().executor));
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        m_view->report({"e1", Capacity, "busy"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_output->starts.size());
    }

    void refusalOfTheOwnHostAppliesToOneExecutor()
    {
        addExecutors(2);
        m_view->setPreferredHost("self");
        m_view->report({"e0", Capacity, "self"});
        m_view->report({"e1", Capacity, "self"});
        submit(1, 1);
        m_scheduler->startRefused(m_output->starts.back().run);
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->starts[0].executor != m_output->starts[1].executor);
    }

    void executorsOfTheOwnHostArePreferredUnlessSlow()
    {
        constexpr double Fast = 1.4;
        constexpr double Slow = 0.6;
        addExecutors(2);
        m_view->setPreferredHost("self");
        m_view->report({"e1", Capacity, "self"});
        m_view->setSpeed(0, Fast);
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), m_view->idOf(m_output->starts[0].executor));
        m_view->setSpeed(1, Slow);
        submit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), m_view->idOf(m_output->starts[1].executor));
    }

    // Load: all fast executors are in use, slow ones are free. A long task that starts on a slow one
    // is late for certain.
    void longTaskWaitsForAnExecutorThatIsFastEnough()
    {
        addFullFastAndFreeSlowExecutor();
        submit(1, 1, seconds(1));
        CPPUNIT_ASSERT(m_output->starts.empty());
        m_view->report({"e0", Capacity, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), m_view->idOf(m_output->starts.back().executor));
    }

    void shortTasksUseSlowExecutorsMeanwhile()
    {
        addFullFastAndFreeSlowExecutor();
        submit(1, 1, seconds(1));
        m_policy.route = "checks";
        m_policy.priority = 1;
        submit(2, 1, milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_output->starts.size());
        CPPUNIT_ASSERT_EQUAL(JobNumber{2}, m_output->starts.back().task.job);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), m_view->idOf(m_output->starts.back().executor));
    }

    void taskThatNoExecutorCanFinishInTimeStartsAnywhere()
    {
        addFullFastAndFreeSlowExecutor();
        submit(1, 1, seconds(1));
        m_clock->advance(milliseconds(1000));
        m_view->report({"e1", Capacity, "holder"});
        m_scheduler->expire();
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_output->starts.size());
    }

    void supersededRunGetsAHigherNumber()
    {
        addExecutors(1);
        submit(1, 1);
        end(0, RunOutcome::Superseded);
        m_scheduler->place();
        CPPUNIT_ASSERT(m_output->starts.back().run.number > 10);
    }

    void jobThatNoExecutorFitsIsRefusedAtOnce()
    {
        addExecutors(2);
        const auto refusal = m_scheduler->submit(1, jobOf(1, 1, {64000, 64, 0}));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("tooLarge"), refusal->cause);
    }

    // Load: a burst of several times the work that the executors can complete before the callers'
    // deadlines.
    void jobBehindALongQueueIsRefusedAtOnce()
    {
        addExecutors(1);
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

    // Load: capacity for two tasks, a job that has waited beyond its target, and one that has just
    // arrived.
    void lateJobIsScheduledAfterThoseThatCanBeInTime()
    {
        addExecutors(1);
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        submit(1, 2);
        submit(2, 1);
        m_clock->advance(milliseconds(250));
        m_scheduler->expire();
        submit(3, 1);
        freeCapacityForOneTask();
        CPPUNIT_ASSERT_EQUAL(JobNumber{3}, m_output->starts.back().task.job);
        m_view->report({"e0", Capacity, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(JobNumber{2}, m_output->starts.back().task.job);
    }

    void uselessLateJobIsRefused()
    {
        addExecutors(1);
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

    // Load: for four seconds 1.5 times the capacity of one executor, in jobs of one task of 170 ms
    // with a target of 332 ms. Scheduled in order of arrival alone, all but the first jobs would be
    // late.
    void sustainedOverloadCompletesMostJobsThatFitInTime()
    {
        addExecutors(1);
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        const int inTime = inTimeUnderLoad(seconds(4), milliseconds(57));
        // Two run at a time: 47 fit into four seconds.
        CPPUNIT_ASSERT(inTime >= 38);
    }

    void unstartedJobIsRefusedAtItsDeadline()
    {
        addExecutors(1);
        submit(1, 2);
        submit(2, 1);
        m_clock->advance(milliseconds(1500));
        m_scheduler->expire();
        CPPUNIT_ASSERT(m_output->ends.at(2).end == BatchEnd::Refused);
    }

    void startedJobIsBrokenAtItsDeadlineAndStopped()
    {
        addExecutors(1);
        submit(1, 2);
        m_clock->advance(milliseconds(1500));
        m_scheduler->expire();
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->stops.size());
    }

    // A host that was frozen reads a request, and only later that its client has closed the connection
    // and submitted the job again to another host.
    void taskOfADisconnectedCallerIsNotStarted()
    {
        addExecutors(1);
        bool isDisconnected = true;
        BatchJob job = jobOf(1, 3, Demand);
        job.isAbandoned = [&isDisconnected] { return isDisconnected; };
        CPPUNIT_ASSERT(!m_scheduler->submit(1, BatchJob(job)));
        m_scheduler->place();
        CPPUNIT_ASSERT(m_output->starts.empty());
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_scheduler->jobs());

        // The caller disconnects while the third task waits for capacity.
        isDisconnected = false;
        CPPUNIT_ASSERT(!m_scheduler->submit(2, std::move(job)));
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        isDisconnected = true;
        freeCapacityForOneTask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
        CPPUNIT_ASSERT(m_output->ends.at(2).end == BatchEnd::Cancelled);
    }

    void cancelStopsRunningTasks()
    {
        addExecutors(1);
        submit(1, 3);
        m_scheduler->cancel(1);
        CPPUNIT_ASSERT(m_output->ends.at(1).end == BatchEnd::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->stops.size());
        m_view->report({"e0", Capacity, "holder"});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
    }

    void staleReportOffersNoCapacity()
    {
        addExecutors(1);
        submit(1, 3);
        m_clock->advance(StaleAfter + milliseconds(1));
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_output->starts.size());
    }

    // A host without recent reports from any holder can start no task: it refuses jobs at once.
    void jobWithoutAReachableExecutorIsRefusedAtOnce()
    {
        addExecutors(2);
        m_clock->advance(StaleAfter + milliseconds(1));
        const auto refusal = m_scheduler->submit(1, jobOf(1, 1, Demand));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("noExecutor"), refusal->cause);
        CPPUNIT_ASSERT(!m_view->hasRecentReport());
    }

    void ownDataCentreIsPreferredToEquallyFastOthers()
    {
        addExecutor("far", "b");
        addExecutor("near", "a");
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("near"), m_output->starts.back().executor);
    }

    void fasterExecutorIsPreferred()
    {
        addExecutor("near", "a");
        addExecutor("far", "b");
        m_view->setSpeed(*m_view->find("far"), 1.6);
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("far"), m_output->starts.back().executor);
    }

    void ownDataCentreCanBePreferredToFasterOthers()
    {
        addExecutor("near", "a");
        addExecutor("far", "b");
        m_view->setSpeed(*m_view->find("far"), 1.6);
        m_view->setOwnDataCentreFirst(true);
        submit(1, 3);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("near"), m_output->starts.front().executor);
        CPPUNIT_ASSERT_EQUAL(*m_view->find("far"), m_output->starts.back().executor);
    }

    // A client that lost its host submits the job through another one, which transfers it to the same
    // dispatcher.
    void jobThatIsScheduledAlreadyIsRefused()
    {
        addExecutors(2);
        submit(1, 1);
        const auto refusal = m_scheduler->submit(2, jobOf(1, 1, Demand));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("alreadyScheduled"), refusal->cause);
        CPPUNIT_ASSERT(refusal->retryAfter > Duration{});
        m_scheduler->place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_output->starts.size());
        m_scheduler->cancel(1);
        CPPUNIT_ASSERT(!m_scheduler->submit(3, jobOf(1, 1, Demand)));
    }

private:
    void addFullFastAndFreeSlowExecutor()
    {
        constexpr double Fast = 1.4;
        constexpr double Slow = 0.6;
        m_policy.stretch = 1.6;
        m_policy.target = milliseconds(60);
        addExecutors(2);
        m_view->report({"e0", {4000, 65536, 0}, "holder"});
        m_view->setSpeed(0, Fast);
        m_view->setSpeed(1, Slow);
    }

    void addExecutor(const std::string &id, const std::string &dataCentre)
    {
        ExecutorRegistration registration;
        registration.id = id;
        registration.service = "desk";
        registration.dataCentre = dataCentre;
        registration.capacity = Capacity;
        m_view->update(registration);
        m_view->report({id, Capacity, "holder of " + id});
    }

    void addExecutors(int count)
    {
        for (int i = 0; i < count; ++i)
            addExecutor("e" + std::to_string(i), "a");
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

    void submit(JobNumber number, std::size_t tasks, Duration estimate = milliseconds(170))
    {
        BatchJob job = jobOf(number, tasks, Demand);
        for (TaskDemand &task : job.tasks)
            task.estimate = estimate;
        CPPUNIT_ASSERT(!m_scheduler->submit(number, std::move(job)));
        m_scheduler->place();
    }

    /// Submits a job at each interval; each started task runs for 170 ms. Returns the number of
    /// jobs that ended within 332 ms.
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
            m_view->report({"e0", {Capacity.milliCores - used, Capacity.memoryMb, 0}, "holder"});
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

    void crashExecutor(std::size_t start)
    {
        m_scheduler->runEnded(
                {m_output->starts.at(start).run, RunOutcome::Lapsed, std::nullopt, true});
    }

    void acceptAll()
    {
        for (const TaskStart &start : m_output->starts)
            m_scheduler->startAccepted(start.run);
    }

    void freeCapacityForOneTask()
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
