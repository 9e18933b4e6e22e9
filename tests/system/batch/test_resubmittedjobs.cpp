#include "fakes/virtualhosts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace anvilmill;
using anvilmill::tests::VirtualHosts;
using std::chrono::milliseconds;

/// Tests jobs that are submitted again while a host still schedules the first submission.
class ResubmittedJobsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResubmittedJobsTest);
    CPPUNIT_TEST(jobRunsOnceAlthoughItsHostGetsItTwice);
    CPPUNIT_TEST(jobRunsOnceAlthoughTwoHostsTransferItToOneDispatcher);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobRunsOnceAlthoughItsHostGetsItTwice()
    {
        VirtualHosts hosts(2, 2, {2000, 65536, 0});
        hosts.executors().setRunTime(milliseconds(500));
        const JobNumber first = hosts.submit("h0", "job", milliseconds(1500));
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
        std::optional<BatchResult> second;
        (void)hosts.host("h0").submit(hosts.makeJob("job", milliseconds(1500)),
                                      [&](const BatchResult &result) { second = result; });
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
        CPPUNIT_ASSERT(second && second->end == BatchEnd::Refused);
        CPPUNIT_ASSERT(second->retryAfter > Duration{});
        // The refusal leaves the first submission's run to be stopped.
        hosts.host("h0").cancel(first);
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts.activeRuns("job"));
    }

    void jobRunsOnceAlthoughTwoHostsTransferItToOneDispatcher()
    {
        VirtualHosts hosts(5, 2, {2000, 65536, 0});
        hosts.executors().setRunTime(milliseconds(500));
        // The first three dispatch; the first one is chosen nearly always.
        hosts.adoptStrengths({{"h0", 1000000}, {"h1", 500}, {"h2", 500}, {"h3", 250}, {"h4", 250}},
                             2);
        hosts.runFor(milliseconds(1000));
        CPPUNIT_ASSERT(!hosts.host("h3").isDispatcher() && !hosts.host("h4").isDispatcher());
        (void)hosts.submit("h3", "job", milliseconds(1500));
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
        std::optional<BatchResult> second;
        (void)hosts.host("h4").submit(hosts.makeJob("job", milliseconds(1500)),
                                      [&](const BatchResult &result) { second = result; });
        hosts.runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.activeRuns("job"));
        CPPUNIT_ASSERT(second && second->end == BatchEnd::Refused);
        CPPUNIT_ASSERT_EQUAL(std::string("h0"), second->dispatcher);
        CPPUNIT_ASSERT(second->retryAfter > Duration{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResubmittedJobsTest);
