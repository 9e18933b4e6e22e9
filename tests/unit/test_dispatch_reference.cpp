#include "experimentreference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using anvilmill::Duration;
using anvilmill::tools::lowerBounds;
using anvilmill::tools::referenceResponses;
using anvilmill::tools::SimulatedJob;
using anvilmill::tools::Workload;
using std::chrono::milliseconds;

namespace {

SimulatedJob jobOf(Duration arrival, const std::vector<Duration> &works)
{
    SimulatedJob job;
    job.arrival = arrival;
    for (const Duration work : works)
        job.tasks.push_back({work, std::nullopt});
    return job;
}

/// One executor of speed 2 with one slot, and one of speed 1 with one slot.
Workload twoSlots(const std::vector<SimulatedJob> &jobs)
{
    Workload workload;
    workload.executors = {{"slow", 1, 1.0, false}, {"fast", 1, 2.0, false}};
    workload.jobs = jobs;
    return workload;
}

} // namespace

class DispatchReferenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchReferenceTest);
    CPPUNIT_TEST(longestTaskUsesTheFastestSlot);
    CPPUNIT_TEST(shortestJobStartsFirst);
    CPPUNIT_TEST(failingExecutorsAreExcluded);
    CPPUNIT_TEST(lowerBoundIsLongestTaskOrAllSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestTaskUsesTheFastestSlot()
    {
        const auto responses =
                referenceResponses(twoSlots({jobOf({}, {milliseconds(10), milliseconds(100)})}));
        CPPUNIT_ASSERT(responses[0] == milliseconds(50));
    }

    void shortestJobStartsFirst()
    {
        const auto responses =
                referenceResponses(twoSlots({jobOf({}, {milliseconds(100), milliseconds(100)}),
                                             jobOf(milliseconds(1), {milliseconds(300)}),
                                             jobOf(milliseconds(2), {milliseconds(20)})}));
        CPPUNIT_ASSERT(responses[0] == milliseconds(100));
        CPPUNIT_ASSERT(responses[2] == milliseconds(58));
        CPPUNIT_ASSERT(responses[1] == milliseconds(60 + 150 - 1));
    }

    void failingExecutorsAreExcluded()
    {
        Workload workload = twoSlots({jobOf({}, {milliseconds(100)})});
        workload.executors[1].failsAll = true;
        CPPUNIT_ASSERT(referenceResponses(workload)[0] == milliseconds(100));
    }

    void lowerBoundIsLongestTaskOrAllSlots()
    {
        const auto bounds = lowerBounds(
                twoSlots({jobOf({}, {milliseconds(100)}),
                          jobOf({}, {milliseconds(100), milliseconds(100), milliseconds(100)})}));
        CPPUNIT_ASSERT(bounds[0] == milliseconds(50));
        CPPUNIT_ASSERT(bounds[1] == milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchReferenceTest);
