#include "batch/batchjobs.h"
#include "fakes/virtualhosts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace anvilmill;
using anvilmill::tests::VirtualHosts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Resources Capacity{4000, 4096, 0};
constexpr std::size_t ExecutorsPerHost = 4;
/// Time between the loss of a host and the next submission of its jobs to other hosts.
constexpr Duration ResubmissionDelay = LivenessSettings().resubmissionDelay;
constexpr Duration JobTimeout = seconds(60);
/// With as many hosts, reports of free capacity count as recent for longer than the resubmission delay.
constexpr std::size_t LargeFleet = 12;

} // namespace

/// Entry hosts that are frozen, in virtual time.
class HostLossTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostLossTest);
    CPPUNIT_TEST(runOfAFrozenHostEndsWhileOthersRequestStartsFromIt);
    CPPUNIT_TEST(runOfAFrozenHostEndsAlthoughStopsAreLost);
    CPPUNIT_TEST(noStartIsRequestedFromAHolderThatIsSilent);
    CPPUNIT_TEST(startsThatWaitedAtAFrozenHolderAreNotCarriedOut);
    CPPUNIT_TEST(startsThatWaitedBrieflyAtAFrozenHolderAreNotCarriedOut);
    CPPUNIT_TEST(jobIsStartedWhileAnyOfItsClientsIsConnected);
    CPPUNIT_TEST(replyToAnEarlierSubmissionDoesNotEndTheRunOfTheNext);
    CPPUNIT_TEST(jobCancelledInTheIterationOfItsStartDoesNotRun);
    CPPUNIT_TEST(runOfAFrozenHostEndsAlthoughAllStopsAreLost);
    CPPUNIT_TEST(runOfAFrozenHostEndsAlthoughItsExecutorChangesItsHolder);
    CPPUNIT_TEST(taskAtASilentHolderRunsOnceAlthoughItsStartIsCarriedOutLate);
    CPPUNIT_TEST(cancelledRunEndsAtEveryHolderThatWasRequestedToKeepIt);
    CPPUNIT_TEST(taskRunsOnceAlthoughItsExecutorReturnsToAHolderThatLostIt);
    CPPUNIT_TEST(capacityOfAHolderThatWasSilentRepeatedlyIsUsedSoon);
    CPPUNIT_TEST(hostThatWasFrozenUsesTheCapacityOfOthersSoon);
    CPPUNIT_TEST(formerHolderInAnotherDataCentreIsNotTakenAsSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    // review/1: clients of a frozen host submitted their jobs again while tasks of them still ran on
    // executors that other hosts held, since these took each of their own requests to the frozen host
    // for a sign of life.
    void runOfAFrozenHostEndsWhileOthersRequestStartsFromIt()
    {
        // Reports of free capacity count as recent for longer than the resubmission delay.
        constexpr std::size_t HostCount = 12;
        VirtualHosts hosts(HostCount, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(milliseconds(500));
        submit(hosts, "h0", "short", hosts.capacityOf("h0"));
        hosts.runFor(milliseconds(50));
        hosts.executors().setRunTime(JobTimeout);
        hosts.submit("h0", "victim", JobTimeout);
        hosts.runFor(milliseconds(50));
        CPPUNIT_ASSERT(hosts.holderOf(hosts.executorOf("victim")) != "h0");
        for (std::size_t i = 1; i < HostCount; ++i) {
            const std::string host = "h" + std::to_string(i);
            submit(hosts, host, "long", hosts.capacityOf(host));
        }
        hosts.runFor(seconds(1));

        hosts.freeze("h0");
        const MonotonicTime resubmission = hosts.now() + ResubmissionDelay;
        for (int round = 0; hosts.now() < resubmission; ++round) {
            for (std::size_t i = 1; i < HostCount; ++i)
                submit(hosts, "h" + std::to_string(i), "late" + std::to_string(round), 1);
            hosts.runFor(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts.executorOf("victim"));
    }

    // By the code of the review's case: silent hosts were looked for every 250 ms and a stop was
    // repeated after 200 ms, so that a run whose first stop was lost outlived the resubmission delay.
    void runOfAFrozenHostEndsAlthoughStopsAreLost()
    {
        // The freeze begins at different times after the last heartbeat.
        for (int phase = 0; phase < 5; ++phase) {
            VirtualHosts hosts(2, ExecutorsPerHost, Capacity);
            hosts.executors().setRunTime(JobTimeout);
            submit(hosts, "h0", "job", hosts.capacityOf("h0") + 1);
            hosts.runFor(milliseconds(200 + 50 * phase));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.host("h1").heldRuns());
            hosts.executors().dropStops(LivenessTimeouts::MaxLostStops);
            hosts.freeze("h0");
            hosts.runFor(ResubmissionDelay);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.host("h1").heldRuns());
        }
    }

    // Hosts went on placing tasks on the executors of a frozen holder for as long as its reports counted as
    // recent, and the jobs waited in vain until their deadline.
    void noStartIsRequestedFromAHolderThatIsSilent()
    {
        constexpr std::size_t HostCount = 12;
        VirtualHosts hosts(HostCount, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        for (std::size_t i = 1; i < HostCount; ++i) {
            const std::string host = "h" + std::to_string(i);
            submit(hosts, host, "long", hosts.capacityOf(host));
        }
        hosts.runFor(seconds(1));
        hosts.freeze("h0");
        const JobNumber first = hosts.submit("h1", "first", JobTimeout);
        CPPUNIT_ASSERT(hosts.host("h1").hasStarted(first));
        hosts.runFor(ResubmissionDelay);
        const JobNumber second = hosts.submit("h1", "second", JobTimeout);
        hosts.runFor(milliseconds(20));
        CPPUNIT_ASSERT(!hosts.host("h1").hasStarted(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.host("h1").waitingJobs("quotes"));
    }

    // review/2: a holder that had been frozen for seconds carried out requests to start tasks whose jobs
    // had long been given up, since reading what had waited for it took longer than it paused.
    void startsThatWaitedAtAFrozenHolderAreNotCarriedOut()
    {
        startsThatWaitedAreNotCarriedOut(milliseconds(500));
    }

    // After a short freeze the lease that a start may request hasn't expired yet, and only its age counts.
    void startsThatWaitedBrieflyAtAFrozenHolderAreNotCarriedOut()
    {
        startsThatWaitedAreNotCarriedOut(milliseconds(300));
    }

    // A client that lost its connection may have returned to the same host on another one.
    void jobIsStartedWhileAnyOfItsClientsIsConnected()
    {
        VirtualHosts hosts(1, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        daemon::BatchJobs jobs(hosts.host("h0"), hosts.clock(), hosts.metrics(), JobTimeout);
        submit(hosts, "h0", "long", hosts.capacityOf("h0") - 1);
        const JobNumber last = hosts.submit("h0", "last", JobTimeout);
        hosts.runFor(milliseconds(100));
        const auto isDisconnected = [] { return true; };
        const auto isConnected = [] { return false; };
        std::optional<BatchEnd> end;
        // Both jobs wait for capacity until the last one is cancelled.
        jobs.submit(
                hosts.makeJob("unwanted", JobTimeout),
                [&end](const BatchResult &result) { end = result.end; }, isDisconnected);
        jobs.submit(
                hosts.makeJob("wanted", JobTimeout), [](const BatchResult &) {}, isDisconnected);
        jobs.submit(
                hosts.makeJob("wanted", JobTimeout), [](const BatchResult &) {}, isConnected);
        hosts.host("h0").cancel(last);
        hosts.runFor(seconds(1));
        CPPUNIT_ASSERT(end == BatchEnd::Cancelled);
        CPPUNIT_ASSERT(!hosts.executorOf("wanted").empty());
    }

    // A client disconnected and submitted its job to the same host again. The reply to the first request
    // for the task, which had waited at a frozen holder, ended the record of its run elsewhere, and the
    // task was started once more.
    void replyToAnEarlierSubmissionDoesNotEndTheRunOfTheNext()
    {
        VirtualHosts hosts(3, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        submit(hosts, "h1", "long", hosts.capacityOf("h1") - 1);
        const JobNumber last = hosts.submit("h1", "last", JobTimeout);
        submit(hosts, "h2", "long", hosts.capacityOf("h2"));
        hosts.runFor(seconds(1));
        hosts.freeze("h0");
        const JobNumber first = hosts.submit("h1", "job", JobTimeout);
        CPPUNIT_ASSERT(hosts.host("h1").hasStarted(first));
        hosts.runFor(milliseconds(50));
        hosts.host("h1").cancel(first);
        hosts.host("h1").cancel(last);
        hosts.runFor(milliseconds(150));
        hosts.submit("h1", "job", JobTimeout);
        hosts.runFor(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
        hosts.resume("h0");
        hosts.runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
    }

    // The request and its cancellation were sent in one frame, whose cancellations are handled first.
    void jobCancelledInTheIterationOfItsStartDoesNotRun()
    {
        VirtualHosts hosts(2, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        submit(hosts, "h0", "long", hosts.capacityOf("h0"));
        hosts.runFor(seconds(1));
        const JobNumber job = hosts.submit("h0", "job", JobTimeout);
        CPPUNIT_ASSERT(hosts.host("h0").hasStarted(job));
        hosts.host("h0").cancel(job);
        hosts.runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.activeRuns("job"));
    }

    // The holder went on renewing the lease until it noticed the silence and 0.2 s longer, so that a run
    // whose stops were lost outlived the resubmission delay by up to 1 s.
    void runOfAFrozenHostEndsAlthoughAllStopsAreLost()
    {
        for (int phase = 0; phase < 5; ++phase) {
            VirtualHosts hosts(2, ExecutorsPerHost, Capacity);
            hosts.executors().setRunTime(JobTimeout);
            submit(hosts, "h0", "long", hosts.capacityOf("h0"));
            hosts.runFor(seconds(1));
            hosts.submit("h0", "job", JobTimeout);
            hosts.runFor(milliseconds(200 + 50 * phase));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.host("h1").heldRuns());
            hosts.executors().dropStops();
            hosts.freeze("h0");
            hosts.runFor(ResubmissionDelay);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.activeRuns("job"));
        }
    }

    // The next holder doesn't know whose run it is, and stops it later than the former one would have.
    void runOfAFrozenHostEndsAlthoughItsExecutorChangesItsHolder()
    {
        for (int phase = 0; phase < 8; ++phase) {
            VirtualHosts hosts(3, ExecutorsPerHost, Capacity);
            hosts.executors().setRunTime(JobTimeout);
            submit(hosts, "h0", "long", hosts.capacityOf("h0"));
            hosts.runFor(seconds(1));
            hosts.submit("h0", "job", JobTimeout);
            hosts.runFor(milliseconds(200));
            const std::string former = hosts.holderOf(hosts.executorOf("job"));
            const std::string next = former == "h1" ? "h2" : "h1";
            CPPUNIT_ASSERT(former != "h0");
            hosts.executors().dropStops();
            hosts.freeze("h0");
            const Duration change = milliseconds(700 + 50 * phase);
            hosts.runFor(change);
            for (const std::string &name : {former, next})
                hosts.adoptWithout(name, {former, "h0"}, 2);
            hosts.runFor(ResubmissionDelay - change);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.activeRuns("job"));
        }
    }

    // A start that gets no answer may be carried out seconds later. Its job's host took it as over 4 s after
    // the last message of the holder, which had been frozen right after it sent the start.
    void taskAtASilentHolderRunsOnceAlthoughItsStartIsCarriedOutLate()
    {
        VirtualHosts hosts(3, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        submit(hosts, "h1", "long", hosts.capacityOf("h1"));
        submit(hosts, "h2", "long", hosts.capacityOf("h2") - 1);
        const JobNumber last = hosts.submit("h2", "last", JobTimeout);
        hosts.runFor(seconds(1));
        hosts.executors().delayNextStart(milliseconds(4500));
        hosts.submit("h1", "job", JobTimeout);
        hosts.runFor(milliseconds(20));
        hosts.freeze("h0");
        hosts.host("h2").cancel(last);
        std::size_t mostRuns = 0;
        const auto step = [&] {
            mostRuns = std::max(mostRuns, hosts.activeRuns("job"));
            return false;
        };
        hosts.runUntil(step, milliseconds(5000));
        for (const char *const name : {"h1", "h2"})
            hosts.adoptWithout(name, {"h0"}, 2);
        hosts.runUntil(step, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mostRuns);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
    }

    // Only the last two holders were told of a cancellation. An earlier one that reads no membership went on
    // with the run.
    void cancelledRunEndsAtEveryHolderThatWasRequestedToKeepIt()
    {
        VirtualHosts hosts(4, ExecutorsPerHost, Capacity);
        const MovedRun run = startRunThatCanMove(hosts);
        for (const std::string name : {"h0", "h1", "h2", "h3"}) {
            if (name != run.holder)
                hosts.partitionFromExecutors(name);
        }
        hosts.adoptWithout("h0", {run.holder}, 2);
        hosts.adoptWithout("h0", {run.holder, run.nextHolder}, 3);
        hosts.runFor(milliseconds(50));
        hosts.host("h0").cancel(run.number);
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.activeRuns(run.job));
    }

    // The first holder reads no membership and loses the executor, which another host holds for a moment and
    // goes on holding. It was believed that the run had lapsed once a second had passed since it was claimed
    // from the first holder again.
    void taskRunsOnceAlthoughItsExecutorReturnsToAHolderThatLostIt()
    {
        VirtualHosts hosts(4, ExecutorsPerHost, Capacity);
        const MovedRun run = startRunThatCanMove(hosts);
        hosts.partitionFromExecutors(run.holder);
        hosts.runFor(milliseconds(100));
        hosts.adoptWithout(run.nextHolder, {run.holder}, 2);
        hosts.adoptWithout("h0", {run.holder}, 2);
        hosts.runFor(milliseconds(50));
        hosts.adoptWithout("h0", {}, 3);
        for (int i = 0; i < 30; ++i) {
            hosts.runFor(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns(run.job));
        }
    }

    // The reports of a silent holder are discarded, so that its capacity isn't known when it is back.
    void capacityOfAHolderThatWasSilentRepeatedlyIsUsedSoon()
    {
        VirtualHosts hosts(LargeFleet, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        fillAllBut(hosts, "h0");
        hosts.runFor(seconds(1));
        for (int freeze = 0; freeze < 4; ++freeze) {
            hosts.freeze("h0");
            hosts.runFor(ResubmissionDelay);
            const std::string job = "job" + std::to_string(freeze);
            hosts.submit("h1", job, JobTimeout);
            hosts.runFor(milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.host("h1").waitingJobs("quotes"));
            hosts.resume("h0");
            CPPUNIT_ASSERT(hosts.runUntil([&] { return hosts.activeRuns(job) == 1; },
                                          2 * LivenessTimeouts::HeartbeatInterval));
        }
    }

    // A host that wakes takes all others as silent, since it hasn't read their messages yet.
    void hostThatWasFrozenUsesTheCapacityOfOthersSoon()
    {
        for (int phase = 0; phase < 5; ++phase) {
            VirtualHosts hosts(LargeFleet, ExecutorsPerHost, Capacity);
            hosts.executors().setRunTime(JobTimeout);
            fillAllBut(hosts, "h0");
            hosts.runFor(seconds(1));
            hosts.freeze("h1");
            hosts.runFor(seconds(1) + milliseconds(50 * phase));
            hosts.resume("h1");
            hosts.runFor(milliseconds(1));
            // Its own runs may have lapsed.
            const int jobs = hosts.capacityOf("h1") + 1;
            submit(hosts, "h1", "next", jobs);
            const auto isAnyAtOther = [&] {
                for (int i = 0; i < jobs; ++i) {
                    const std::string executor = hosts.executorOf("h1next" + std::to_string(i));
                    if (!executor.empty() && hosts.holderOf(executor) == "h0")
                        return true;
                }
                return false;
            };
            CPPUNIT_ASSERT(hosts.runUntil(isAnyAtOther, 2 * LivenessTimeouts::HeartbeatInterval));
        }
    }

    // A host in another data centre that shares nothing sends a heartbeat a second, and would be taken as silent
    // between two of them by one that expects frequent ones, as of the former holder of a run.
    void formerHolderInAnotherDataCentreIsNotTakenAsSilent()
    {
        const std::string joining = "h11";
        VirtualHosts hosts(LargeFleet, ExecutorsPerHost, Capacity, 2);
        hosts.executors().setRunTime(JobTimeout);
        adoptWithout(hosts, {joining}, 2);
        hosts.runFor(seconds(10));
        const std::string formerHolder = shareOneRunThatMovesTo(hosts, joining);
        adoptWithout(hosts, {}, 3);
        hosts.runFor(seconds(5));
        CPPUNIT_ASSERT(hosts.host("h0").mesh().isConnected(formerHolder));
        const bool isClosed = hosts.runUntil(
                [&] { return !hosts.host("h0").mesh().isConnected(formerHolder); }, seconds(10));
        CPPUNIT_ASSERT(!isClosed);
    }

private:
    struct MovedRun
    {
        std::string job;
        JobNumber number = 0;
        std::string holder;
        /// Of its executor, without the holder.
        std::string nextHolder;
    };

    /// Starts a run of a job of h0 on an executor that h0 doesn't hold and wouldn't hold next.
    static MovedRun startRunThatCanMove(VirtualHosts &hosts)
    {
        hosts.executors().setRunTime(JobTimeout);
        submit(hosts, "h0", "long", hosts.capacityOf("h0"));
        hosts.runFor(seconds(1));
        std::map<std::string, JobNumber> jobs;
        for (int i = 0; i < hosts.capacityOf("h1"); ++i) {
            const std::string id = "job" + std::to_string(i);
            jobs[id] = hosts.submit("h0", id, JobTimeout);
        }
        hosts.runFor(milliseconds(200));
        for (const auto &[id, number] : jobs) {
            const std::string executor = hosts.executorOf(id);
            const std::string holder = hosts.holderOf(executor);
            const std::string next = hosts.holderOf(executor, {holder});
            if (holder != "h0" && next != "h0")
                return {id, number, holder, next};
        }
        CPPUNIT_FAIL("no executor has two other holders in turn");
        return {};
    }

    static void startsThatWaitedAreNotCarriedOut(Duration wait)
    {
        constexpr std::size_t HostCount = 12;
        VirtualHosts hosts(HostCount, ExecutorsPerHost, Capacity);
        hosts.executors().setRunTime(JobTimeout);
        for (std::size_t i = 1; i < HostCount; ++i) {
            const std::string host = "h" + std::to_string(i);
            submit(hosts, host, "long", hosts.capacityOf(host));
        }
        hosts.runFor(seconds(1));
        hosts.freeze("h0");
        std::map<std::string, std::vector<JobNumber>> stale;
        for (int i = 0; i < hosts.capacityOf("h0"); ++i) {
            for (std::size_t j = 1; j < HostCount; ++j) {
                const std::string host = "h" + std::to_string(j);
                const std::string job = host + "stale" + std::to_string(i);
                stale[host].push_back(hosts.submit(host, job, JobTimeout));
            }
            hosts.runFor(milliseconds(10));
        }
        hosts.runFor(wait);
        for (const auto &[host, jobs] : stale) {
            for (const JobNumber job : jobs)
                hosts.host(host).cancel(job);
        }
        hosts.runFor(milliseconds(10));
        const int starts = hosts.executors().starts();
        hosts.slowDown("h0");
        hosts.runFor(seconds(2));
        CPPUNIT_ASSERT_EQUAL(starts, hosts.executors().starts());
    }

    static void adoptWithout(VirtualHosts &hosts, const std::set<std::string> &missing,
                             StoreVersion revision)
    {
        for (std::size_t i = 0; i < LargeFleet; ++i)
            hosts.adoptWithout("h" + std::to_string(i), missing, revision);
    }

    /// Starts a task of h0 on an executor of another data centre that a joining host will hold, and returns
    /// its present holder. The two hosts share no other run.
    static std::string shareOneRunThatMovesTo(VirtualHosts &hosts, const std::string &joining)
    {
        for (std::size_t i = 0; i < LargeFleet; i += 2) {
            const std::string host = "h" + std::to_string(i);
            submit(hosts, host, "long", hosts.capacityOf(host));
        }
        hosts.runFor(seconds(1));
        std::map<std::string, JobNumber> jobs;
        for (std::size_t i = 0; i < LargeFleet * ExecutorsPerHost; ++i) {
            const std::string id = "job" + std::to_string(i);
            jobs[id] = hosts.submit("h0", id, JobTimeout);
        }
        hosts.runFor(seconds(1));
        std::string formerHolder;
        for (const auto &[id, number] : jobs) {
            const std::string executor = hosts.executorOf(id);
            if (formerHolder.empty() && !executor.empty() && hosts.holderOf(executor) == joining)
                formerHolder = hosts.holderOf(executor, {joining});
            else
                hosts.host("h0").cancel(number);
        }
        hosts.runFor(seconds(1));
        CPPUNIT_ASSERT(!formerHolder.empty());
        return formerHolder;
    }

    /// Fills the executors of all hosts but one with long runs.
    static void fillAllBut(VirtualHosts &hosts, const std::string &except)
    {
        for (std::size_t i = 0; i < LargeFleet; ++i) {
            const std::string host = "h" + std::to_string(i);
            if (host != except)
                submit(hosts, host, "long", hosts.capacityOf(host));
        }
    }

    static void submit(VirtualHosts &hosts, const std::string &host, const std::string &prefix,
                       int jobs)
    {
        for (int i = 0; i < jobs; ++i)
            hosts.submit(host, host + prefix + std::to_string(i), JobTimeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostLossTest);
