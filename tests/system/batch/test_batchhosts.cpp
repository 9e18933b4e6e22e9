#include "batch/batchhost.h"
#include "batch/batchmetrics.h"
#include "fakes/loopexecutors.h"
#include "fakes/partitionedexecutors.h"
#include "fakes/testjob.h"
#include "fakes/unusedport.h"
#include "loop/timerqueue.h"

#include "anvilmill/randomsource.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::formatEndpoint;
using anvilmill::tests::LoopExecutors;
using anvilmill::tests::PartitionedExecutors;
using anvilmill::tests::testJob;
using anvilmill::tests::unusedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Resources Capacity{4000, 4096, 0};
const Resources Demand{2000, 64, 0};
constexpr Duration MaxWait = seconds(12);

} // namespace

/// Runs two entry hosts with real connections between them, and executors in the same process.
class BatchHostsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchHostsTest);
    CPPUNIT_TEST(jobUsesTheExecutorsOfAllHosts);
    CPPUNIT_TEST(cancelledJobIsStoppedAtTheLeaseHolder);
    CPPUNIT_TEST(runsOfALostHostAreStoppedByTheLeaseHolder);
    CPPUNIT_TEST(tasksOfALostHolderAreRunAgain);
    CPPUNIT_TEST(runsOfALostHolderContinueUnderTheNextHolder);
    CPPUNIT_TEST(executorsChangeHolderDuringRunningJobs);
    CPPUNIT_TEST(taskRunsOnceWhileItsFormerHolderIsPartitionedFromTheExecutor);
    CPPUNIT_TEST(cancelledRunWhoseStopsAreLostEnds);
    CPPUNIT_TEST(cancelledRunEndsBeforeItsNextHolderReadsTheMembership);
    CPPUNIT_TEST(claimBeforeTheLeaseTransferTakesEffectLater);
    CPPUNIT_TEST(endsOfSubmissionsToTwoHostsAreKeptApart);
    CPPUNIT_TEST(claimIsNotAnsweredWithTheEndOfAnEarlierSubmission);
    CPPUNIT_TEST(hostThatIsNoLongerListedIsServed);
    CPPUNIT_TEST(unansweredStartsAreSentToOtherExecutors);
    CPPUNIT_TEST(executorWhoseEntryReturnsIsUsedAgain);
    CPPUNIT_TEST(noRunIsStartedRightAfterAStall);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        m_executors = std::make_unique<LoopExecutors>(m_clock, *m_timers);
        m_executorsOfA = std::make_unique<PartitionedExecutors>(*m_executors, *m_timers);
        m_executorsOfB = std::make_unique<PartitionedExecutors>(*m_executors, *m_timers);
        m_results.clear();
        // Each test uses its own ports, so that it need not wait until those of an earlier test are
        // free.
        m_addressA = unusedEndpoint();
        m_addressB = unusedEndpoint();
        m_a = makeHost("a", m_addressA);
        m_b = makeHost("b", m_addressB);
        setMembership(1, true);
        waitFor([&] { return m_a->reachesExecutors() && m_b->reachesExecutors(); });
        runFor(milliseconds(300));
    }

    void tearDown() override
    {
        m_a.reset();
        m_b.reset();
        m_timers->clear();
        m_loop->stop();
        m_executorsOfA.reset();
        m_executorsOfB.reset();
        m_executors.reset();
        m_timers.reset();
        m_loop.reset();
    }

    void jobUsesTheExecutorsOfAllHosts()
    {
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
        CPPUNIT_ASSERT(m_results["job"].lastExecutor != "");
    }

    void cancelledJobIsStoppedAtTheLeaseHolder()
    {
        m_executors->setRunTime(seconds(60));
        const auto number = submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_a->cancel(*number);
        waitFor([&] { return runningTasks("job", 8) == 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Cancelled);
    }

    // A client resubmits a job 1.3 s after its entry host was lost. No run of the first submission
    // may remain by then.
    void runsOfALostHostAreStoppedByTheLeaseHolder()
    {
        m_executors->setRunTime(seconds(60));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_a.reset();
        const MonotonicTime lost = m_clock.now();
        waitFor([&] { return runningTasks("job", 8) == 0; });
        CPPUNIT_ASSERT(m_clock.now() - lost < seconds(5));
    }

    // The job's host can't know of their ends before the next holder does, for as long as the former one is
    // silent.
    void tasksOfALostHolderAreRunAgain()
    {
        m_executors->setRunTime(seconds(60));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_b.reset();
        waitFor([&] { return runningTasks("job", 8) < 8; });
        runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
        for (const char *const id : {"e1", "e2", "e3", "e4"})
            endAll(id);
        m_executors->setRunTime(milliseconds(50));
        setMembership(2, false);
        waitFor([&] { return m_executors->starts() > 8; });
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
    }

    void runsOfALostHolderContinueUnderTheNextHolder()
    {
        m_executors->setRunTime(seconds(4));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_b.reset();
        setMembership(2, false);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
    }

    void executorsChangeHolderDuringRunningJobs()
    {
        m_executors->setRunTime(milliseconds(1500));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        setMembership(2, true, true);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_b->heldRuns());
    }

    // Host b doesn't read that a holds its executors now and doesn't reach them: it concludes that
    // their leases have expired, which a renews.
    void taskRunsOnceWhileItsFormerHolderIsPartitionedFromTheExecutor()
    {
        m_executors->setRunTime(seconds(60));
        submit(*m_a, "job", 7, MaxWait);
        waitFor([&] { return runningTasks("job", 7) == 7; });
        m_executorsOfB->partition();
        // No hold of b is in flight any more, whose answer would show it the fence of a.
        runFor(milliseconds(50));
        m_a->setMembership(membershipOf(2, false, false));
        runFor(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, runningTasks("job", 7));
        CPPUNIT_ASSERT_EQUAL(7, m_executors->starts());
        CPPUNIT_ASSERT(m_metrics.asText().find("{decision=\"endIgnored\"}") != std::string::npos);
    }

    // The client may submit the job again to another host, which doesn't know the runs.
    void cancelledRunWhoseStopsAreLostEnds()
    {
        m_executors->setRunTime(seconds(60));
        m_executors->dropStops();
        const auto number = submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_a->cancel(*number);
        waitFor([&] { return runningTasks("job", 8) == 0; });
    }

    // Host a has read that it holds the executors of b, which goes on holding them.
    void cancelledRunEndsBeforeItsNextHolderReadsTheMembership()
    {
        m_executors->setRunTime(seconds(60));
        const auto number = submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        m_executorsOfA->partition();
        m_a->setMembership(membershipOf(2, false, false));
        m_a->cancel(*number);
        waitFor([&] { return runningTasks("job", 8) == 0; });
    }

    // A client may resubmit a job to another host while the first host still processes it. The runs
    // of both submissions have the same ids.
    void endsOfSubmissionsToTwoHostsAreKeptApart()
    {
        m_executors->setRunTime(seconds(60));
        const auto first = submit(*m_a, "job", 4, MaxWait);
        waitFor([&] { return runningTasks("job", 4) == 4; });
        submit(*m_b, "job", 4, MaxWait);
        waitFor([&] { return runningTasks("job", 4) == 8; });
        m_a->cancel(*first);
        waitFor([&] { return runningTasks("job", 4) == 4; });
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, runningTasks("job", 4));
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
    }

    void claimIsNotAnsweredWithTheEndOfAnEarlierSubmission()
    {
        submit(*m_a, "job", 2, MaxWait);
        waitFor([&] { return m_results.count("job") > 0; });
        m_results.clear();
        m_executors->setRunTime(seconds(60));
        submit(*m_b, "job", 2, MaxWait);
        waitFor([&] { return runningTasks("job", 2) == 2; });
        // Host a now holds the leases on the executors of b, and has records of ended runs with the
        // same ids.
        setMembership(2, true, true);
        runFor(milliseconds(600));
        CPPUNIT_ASSERT(m_results.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runningTasks("job", 2));
    }

    // Hosts read the membership at different times, especially while the store is slow. A claim may
    // therefore arrive before the new holder has acquired the executor's lease.
    void claimBeforeTheLeaseTransferTakesEffectLater()
    {
        m_executors->setRunTime(milliseconds(1500));
        submit(*m_b, "job", 8, MaxWait);
        waitFor([&] { return runningTasks("job", 8) == 8; });
        const HostMembership membership = membershipOf(2, true, true);
        m_b->setMembership(membership);
        runFor(milliseconds(200));
        m_a->setMembership(membership);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
    }

    // The others remove a host that cannot reach the store from the membership, and acquire the
    // leases on its executors. It continues to serve its clients through these hosts.
    void hostThatIsNoLongerListedIsServed()
    {
        HostMembership membership;
        membership.revision = 2;
        membership.hosts.push_back({"b", "dc", formatEndpoint(m_addressB), false});
        m_b->setMembership(membership);
        runFor(milliseconds(500));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
    }

    // A request waited in the socket while the process was stalled. Its client has meanwhile sent
    // the job to another host, and the client's cancellation is read next.
    void noRunIsStartedRightAfterAStall()
    {
        std::this_thread::sleep_for(milliseconds(600));
        const auto stale = submit(*m_a, "stale", 8, MaxWait);
        CPPUNIT_ASSERT_EQUAL(0, m_executors->starts());
        m_a->cancel(*stale);
        CPPUNIT_ASSERT(m_results["stale"].end == BatchEnd::Cancelled);
        CPPUNIT_ASSERT_EQUAL(0, m_results["stale"].runs);
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
    }

    // Executors may execute unanswered starts seconds later or never, but the caller does not wait
    // that long.
    void unansweredStartsAreSentToOtherExecutors()
    {
        m_executors->dropStarts(5);
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return m_results.count("job") > 0; });
        CPPUNIT_ASSERT(m_results["job"].end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(8, m_executors->starts());
    }

    // The fences of its holder have been raised by unanswered starts before.
    void executorWhoseEntryReturnsIsUsedAgain()
    {
        m_executors->dropStarts(8);
        submit(*m_a, "first", 8, MaxWait);
        waitFor([&] { return m_results.count("first") > 0; });
        for (BatchHost *const host : {m_a.get(), m_b.get()}) {
            for (const char *const id : {"e1", "e2", "e3", "e4"}) {
                host->removeExecutor(id);
                host->updateExecutor(registrationOf(id));
            }
        }
        runFor(milliseconds(300));
        m_executors->setRunTime(seconds(60));
        submit(*m_a, "job", 8, MaxWait);
        waitFor([&] { return m_a->heldRuns() + m_b->heldRuns() == 8; });
    }

private:
    [[nodiscard]] static ExecutorRegistration registrationOf(const std::string &id)
    {
        ExecutorRegistration registration;
        registration.id = id;
        registration.service = "desk";
        registration.dataCentre = "dc";
        registration.capacity = Capacity;
        return registration;
    }

    [[nodiscard]] std::unique_ptr<BatchHost> makeHost(const std::string &name,
                                                      const boost::asio::ip::tcp::endpoint &address)
    {
        BatchHostSettings settings;
        settings.name = name;
        settings.dataCentre = "dc";
        settings.meshAddress = address;
        PartitionedExecutors &executors = name == "a" ? *m_executorsOfA : *m_executorsOfB;
        auto host = std::make_unique<BatchHost>(*m_loop, *m_timers, m_clock, m_random, executors,
                                                m_metrics, settings);
        for (const std::string id : {"e1", "e2", "e3", "e4"}) {
            if (name == "a")
                m_executors->add(id, Capacity);
            host->updateExecutor(registrationOf(id));
        }
        return host;
    }

    [[nodiscard]] HostMembership membershipOf(StoreVersion revision, bool hasB, bool isBLeaving)
    {
        HostMembership membership;
        membership.revision = revision;
        membership.hosts.push_back({"a", "dc", formatEndpoint(m_addressA), false});
        if (hasB)
            membership.hosts.push_back({"b", "dc", formatEndpoint(m_addressB), isBLeaving});
        return membership;
    }

    void setMembership(StoreVersion revision, bool hasB, bool isBLeaving = false)
    {
        const HostMembership membership = membershipOf(revision, hasB, isBLeaving);
        if (m_a)
            m_a->setMembership(membership);
        if (m_b)
            m_b->setMembership(membership);
    }

    std::optional<JobNumber> submit(BatchHost &host, const std::string &id, std::size_t tasks,
                                    Duration wait)
    {
        return host.submit(testJob(m_clock, id, tasks, Demand, wait),
                           [this, id](const BatchResult &result) { m_results[id] = result; });
    }

    [[nodiscard]] std::size_t runningTasks(const std::string &job, std::size_t tasks)
    {
        std::size_t running = 0;
        for (std::size_t i = 0; i < tasks; ++i) {
            for (const char *const id : {"e1", "e2", "e3", "e4"})
                running += m_executors->executor(id).runs({job + ".0.0." + std::to_string(i), 1});
        }
        return running;
    }

    void endAll(const std::string &executor)
    {
        for (std::size_t i = 0; i < 8; ++i) {
            const RunId run{"job.0.0." + std::to_string(i), 1};
            if (m_executors->executor(executor).runs(run))
                m_executors->executor(executor).end(run, RunOutcome::Done);
        }
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        const MonotonicTime limit = m_clock.now() + MaxWait;
        while (!isMet() && m_clock.now() < limit)
            m_loop->run_for(milliseconds(5));
        CPPUNIT_ASSERT(isMet());
    }

    void runFor(Duration time) { m_loop->run_for(time); }

    SystemClock m_clock;
    SeededRandom m_random{7};
    BatchMetrics m_metrics;
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::unique_ptr<LoopExecutors> m_executors;
    std::unique_ptr<PartitionedExecutors> m_executorsOfA;
    std::unique_ptr<PartitionedExecutors> m_executorsOfB;
    std::unique_ptr<BatchHost> m_a;
    std::unique_ptr<BatchHost> m_b;
    std::map<std::string, BatchResult> m_results;
    boost::asio::ip::tcp::endpoint m_addressA;
    boost::asio::ip::tcp::endpoint m_addressB;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHostsTest);
