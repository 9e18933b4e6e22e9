#include "batch/jobmessages.h"
#include "batch/mesh.h"
#include "batch/relayedjobs.h"
#include "fakes/unusedport.h"
#include "loop/timerqueue.h"

#include "anvilmill/manualclock.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::formatEndpoint;
using anvilmill::tests::unusedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::meshframe::MeshFrame;

namespace {

} // namespace

/// Tests a dispatcher's answers for relayed jobs whose messages are lost or cross each other. The
/// test builds the incoming frames, and a second mesh receives the outgoing ones.
class RelayedJobsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayedJobsTest);
    CPPUNIT_TEST(jobRoundTripKeepsItsDemands);
    CPPUNIT_TEST(lostAnswerIsSentAgain);
    CPPUNIT_TEST(unknownJobIsBroken);
    CPPUNIT_TEST(jobInTheSameFrameAsTheListIsAccepted);
    CPPUNIT_TEST(jobThatIsNotListedIsCancelled);
    CPPUNIT_TEST(jobOfASilentHostIsBrokenNotCancelled);
    CPPUNIT_TEST(unstartedJobOfADisconnectedHostIsSuspended);
    CPPUNIT_TEST(suspendedJobRunsOnceItsHostListsIt);
    CPPUNIT_TEST(suspendedJobOfASilentHostIsReportedAsNotRun);
    CPPUNIT_TEST(startedJobOfADisconnectedHostContinues);
    CPPUNIT_TEST(malformedJobIsRefused);
    CPPUNIT_TEST(jobThatWaitedAtAFrozenDispatcherIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        m_peerAddress = unusedEndpoint();
        m_mesh = std::make_unique<Mesh>(*m_loop, *m_timers, "dispatcher", unusedEndpoint(),
                                        ignoringEvents());
        m_peer = std::make_unique<Mesh>(
                *m_loop, *m_timers, "weak", m_peerAddress,
                MeshEvents{[this](const MeshFrame &frame) { recordAnswers(frame); },
                           [](const std::string &) {}});
        m_jobs = std::make_unique<RelayedJobs>(
                *m_mesh, m_clock,
                SchedulerCalls{
                        [this](BatchJob job, std::function<void(const BatchResult &)> handler) {
                            m_submitted.push_back(std::move(job));
                            m_handlers[++m_lastJob] = std::move(handler);
                            return std::make_optional(m_lastJob);
                        },
                        [this](JobNumber number) {
                            m_cancelled.insert(number);
                            m_handlers.at(number)(
                                    {BatchEnd::Cancelled, "cancelled", {}, 0, {}, "", {}});
                        },
                        [this](JobNumber number) { return m_started.count(number) > 0; }});
        m_answers.clear();
        m_submitted.clear();
        m_handlers.clear();
        m_cancelled.clear();
        m_started.clear();
        m_lastJob = 0;
    }

    void tearDown() override
    {
        m_jobs.reset();
        m_mesh.reset();
        m_peer.reset();
        m_timers->clear();
        m_timers.reset();
        m_loop.reset();
    }

    void jobRoundTripKeepsItsDemands()
    {
        m_jobs->received(frameWithJob(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_submitted.size());
        const BatchJob &job = m_submitted.front();
        CPPUNIT_ASSERT_EQUAL(std::string("job7"), job.id);
        CPPUNIT_ASSERT_EQUAL(std::string("spec"), *job.spec);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, job.tasks.size());
        CPPUNIT_ASSERT(job.tasks[1].resources == (Resources{2000, 64, 0}));
        CPPUNIT_ASSERT(job.tasks[2].resources == (Resources{4000, 64, 1}));
        CPPUNIT_ASSERT(job.tasks[2].estimate == milliseconds(70));
        CPPUNIT_ASSERT_EQUAL(3, job.route->maxAttempts);
        CPPUNIT_ASSERT_EQUAL(std::string("desk"), job.route->service);
    }

    void lostAnswerIsSentAgain()
    {
        m_jobs->received(frameWithJob(7));
        // The peer is not connected, so the answer is lost.
        m_handlers.at(1)({BatchEnd::Completed, "", {}, 3, {}, "e1", {}});
        connect();
        m_jobs->received(frameWithList({7}));
        waitFor([this] { return m_answers.count(7) > 0; });
        CPPUNIT_ASSERT(m_answers.at(7).end == BatchEnd::Completed);
        CPPUNIT_ASSERT_EQUAL(3, m_answers.at(7).runs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_submitted.size());
    }

    // An earlier process of the dispatcher may have run the job, so it must not be reported as not
    // run.
    void unknownJobIsBroken()
    {
        connect();
        m_jobs->received(frameWithList({9}));
        waitFor([this] { return m_answers.count(9) > 0; });
        CPPUNIT_ASSERT(m_answers.at(9).end == BatchEnd::Broken);
    }

    void jobInTheSameFrameAsTheListIsAccepted()
    {
        connect();
        MeshFrame frame = frameWithJob(7);
        frame.openJobs = {7, 8};
        m_jobs->received(frame);
        waitFor([this] { return m_answers.count(8) > 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_answers.count(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_submitted.size());
    }

    void jobThatIsNotListedIsCancelled()
    {
        m_jobs->received(frameWithJob(7));
        m_jobs->received(frameWithJob(8));
        m_jobs->received(frameWithList({8}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cancelled.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cancelled.count(1));
    }

    // The host that relayed the job may only be silent while its client still waits, so the job
    // must not be reported as cancelled.
    void jobOfASilentHostIsBrokenNotCancelled()
    {
        connect();
        m_jobs->received(frameWithJob(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_jobs->cancelJobsOf("weak"));
        waitFor([this] { return m_answers.count(7) > 0; });
        CPPUNIT_ASSERT(m_answers.at(7).end == BatchEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cancelled.size());
        CPPUNIT_ASSERT(m_jobs->hosts().empty());
    }

    // Soak seed 11: a paused dispatcher read jobs from a connection that their host had closed, and
    // started them while the callers retried elsewhere.
    void unstartedJobOfADisconnectedHostIsSuspended()
    {
        m_jobs->received(frameWithJob(7));
        m_jobs->disconnected("weak");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cancelled.count(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_jobs->hosts().size());
        m_jobs->received(frameWithList({}));
        m_jobs->received(frameWithList({7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_submitted.size());
    }

    void suspendedJobRunsOnceItsHostListsIt()
    {
        connect();
        m_jobs->received(frameWithJob(7));
        m_jobs->disconnected("weak");
        m_jobs->received(frameWithList({7}));
        m_jobs->received(frameWithList({7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_submitted.size());
        m_handlers.at(2)({BatchEnd::Completed, "", {}, 3, {}, "e1", {}});
        waitFor([this] { return m_answers.count(7) > 0; });
        CPPUNIT_ASSERT(m_answers.at(7).end == BatchEnd::Completed);
    }

    void suspendedJobOfASilentHostIsReportedAsNotRun()
    {
        connect();
        m_jobs->received(frameWithJob(7));
        m_jobs->disconnected("weak");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_jobs->cancelJobsOf("weak"));
        waitFor([this] { return m_answers.count(7) > 0; });
        CPPUNIT_ASSERT(m_answers.at(7).end == BatchEnd::Refused);
        CPPUNIT_ASSERT(m_jobs->hosts().empty());
    }

    void startedJobOfADisconnectedHostContinues()
    {
        m_jobs->received(frameWithJob(7));
        m_started.insert(1);
        m_jobs->disconnected("weak");
        CPPUNIT_ASSERT(m_cancelled.empty());
    }

    void malformedJobIsRefused()
    {
        connect();
        MeshFrame frame = frameWithJob(7);
        frame.jobs->front().spec = 5;
        m_jobs->received(frame);
        frame = frameWithJob(8);
        frame.jobs->front().tasks = {2000000000, 1, 1, 1, 1};
        m_jobs->received(frame);
        frame = frameWithJob(9);
        frame.jobs->front().tasks = {-1, 1, 1, 1, 1};
        m_jobs->received(frame);
        waitFor([this] { return m_answers.size() == 3; });
        for (const auto &[number, answer] : m_answers)
            CPPUNIT_ASSERT(answer.end == BatchEnd::Refused);
        CPPUNIT_ASSERT(m_submitted.empty());
    }

    // Its client may have submitted it again to another host meanwhile.
    void jobThatWaitedAtAFrozenDispatcherIsRefused()
    {
        connect();
        m_jobs->outdatedReceived(frameWithJob(7));
        waitFor([this] { return m_answers.count(7) > 0; });
        CPPUNIT_ASSERT(m_answers.at(7).end == BatchEnd::Refused);
        CPPUNIT_ASSERT(m_submitted.empty());
    }

private:
    static MeshEvents ignoringEvents()
    {
        return {[](const MeshFrame &) {}, [](const std::string &) {}};
    }

    void recordAnswers(const MeshFrame &frame)
    {
        if (!frame.jobEnds)
            return;
        for (const auto &end : *frame.jobEnds) {
            const auto number = static_cast<JobNumber>(end.number);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_answers.count(number));
            m_answers[number] = mesh::resultOf(end);
        }
    }

    MeshFrame frameWithJob(JobNumber number)
    {
        RoutePolicy policy;
        policy.route = "quotes";
        policy.service = "desk";
        policy.maxAttempts = 3;
        BatchJob job;
        job.id = "job" + std::to_string(number);
        job.route = std::make_shared<const RoutePolicy>(policy);
        job.spec = std::make_shared<const std::string>("spec");
        job.tasks = {{{2000, 64, 0}, milliseconds(50)},
                     {{2000, 64, 0}, milliseconds(50)},
                     {{4000, 64, 1}, milliseconds(70)}};
        job.arrived = m_clock.now();
        job.deadline = job.arrived + seconds(2);
        MeshFrame frame;
        frame.host = "weak";
        mesh::addJob(frame, number, job, m_clock.now());
        return frame;
    }

    static MeshFrame frameWithList(std::vector<std::int64_t> numbers)
    {
        MeshFrame frame;
        frame.host = "weak";
        frame.openJobs = std::move(numbers);
        return frame;
    }

    void connect()
    {
        m_mesh->setHosts({{"weak", "dc", formatEndpoint(m_peerAddress), false}});
        waitFor([this] { return m_mesh->isConnected("weak"); });
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        const MonotonicTime limit = m_clock.now() + seconds(10);
        while (!isMet() && m_clock.now() < limit)
            m_loop->run_for(milliseconds(5));
        CPPUNIT_ASSERT(isMet());
    }

    SystemClock m_clock;
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::unique_ptr<Mesh> m_mesh;
    std::unique_ptr<Mesh> m_peer;
    std::unique_ptr<RelayedJobs> m_jobs;
    std::vector<BatchJob> m_submitted;
    std::map<JobNumber, std::function<void(const BatchResult &)>> m_handlers;
    std::map<JobNumber, BatchResult> m_answers;
    std::set<JobNumber> m_cancelled;
    std::set<JobNumber> m_started;
    JobNumber m_lastJob = 0;
    boost::asio::ip::tcp::endpoint m_peerAddress;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedJobsTest);
