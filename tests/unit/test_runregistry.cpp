#include "batch/runregistry.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::RunOwner;
using anvilmill::daemon::RunRegistry;
using std::chrono::seconds;

class RunRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunRegistryTest);
    CPPUNIT_TEST(endIsKeptForALimitedTime);
    CPPUNIT_TEST(removedRunHasNoOwner);
    CPPUNIT_TEST(endOfAnEarlierSubmissionIsNotThatOfALaterOne);
    CPPUNIT_TEST(endOfAnEarlierSubmissionToTheSameHostIsNotThatOfTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    void endIsKeptForALimitedTime()
    {
        ManualClock clock;
        RunRegistry runs(clock);
        const RunId first{"job.0.0.0", 1};
        runs.setOwner(first, {"a", 1}, "e1");
        CPPUNIT_ASSERT(runs.ownerOf(first, "e1") == (RunOwner{"a", 1}));
        runs.ended({first, RunOutcome::Done, std::nullopt}, "e1");
        CPPUNIT_ASSERT(runs.ownerOf(first, "e1").host.empty());
        CPPUNIT_ASSERT(runs.endOf(first, {"a", 1}, "e1")->outcome == RunOutcome::Done);
        clock.advance(seconds(4));
        runs.ended({{"job.0.0.1", 1}, RunOutcome::Done, std::nullopt}, "e2");
        CPPUNIT_ASSERT(!runs.endOf(first, {"a", 1}, "e1"));
    }

    void removedRunHasNoOwner()
    {
        ManualClock clock;
        RunRegistry runs(clock);
        const RunId kept{"job.0.0.0", 1};
        const RunId moved{"job.0.0.1", 1};
        runs.setOwner(kept, {"a", 1}, "e1");
        runs.setOwner(moved, {"b", 1}, "e2");
        runs.remove(moved, "e2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.owners().size());
        CPPUNIT_ASSERT(runs.runsOf("b").empty());
        CPPUNIT_ASSERT(!runs.endOf(moved, {"b", 1}, "e2"));
    }

    // A client resubmits a job to another host, where its task ids and run numbers start again from
    // the same values.
    void endOfAnEarlierSubmissionIsNotThatOfALaterOne()
    {
        ManualClock clock;
        RunRegistry runs(clock);
        const RunId run{"job.0.0.0", 1};
        runs.setOwner(run, {"a", 1}, "e1");
        runs.ended({run, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!runs.endOf(run, {"b", 1}, "e1"));
        CPPUNIT_ASSERT(!runs.endOf(run, {"a", 1}, "e2"));
        CPPUNIT_ASSERT(runs.endOf(run, {"a", 1}, "e1"));
        runs.setOwner(run, {"a", 1}, "e1");
        CPPUNIT_ASSERT(!runs.endOf(run, {"a", 1}, "e1"));
        // Runs of this host's own jobs have no owner among the other hosts.
        const RunId own{"job.0.0.1", 1};
        runs.ended({own, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!runs.endOf(own, {"b", 1}, "e1"));
    }

    void endOfAnEarlierSubmissionToTheSameHostIsNotThatOfTheNext()
    {
        ManualClock clock;
        RunRegistry runs(clock);
        const RunId run{"job.0.0.0", 1};
        runs.setOwner(run, {"a", 1}, "e1");
        runs.ended({run, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(runs.endOf(run, {"a", 1}, "e1"));
        CPPUNIT_ASSERT(!runs.endOf(run, {"a", 2}, "e1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRegistryTest);
