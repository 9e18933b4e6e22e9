#include "batch/runregistry.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::RunRegistry;
using std::chrono::seconds;

class RunRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunRegistryTest);
    CPPUNIT_TEST(endIsKnownForAWhile);
    CPPUNIT_TEST(forgottenRunHasNoOwner);
    CPPUNIT_TEST(endOfAnEarlierAttemptIsNotThatOfALaterOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void endIsKnownForAWhile()
    {
        ManualClock clock;
        RunRegistry registry(clock);
        const RunId first{"job.0.0.0", 1};
        registry.setOwner(first, "a", "e1");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), registry.ownerOf(first, "e1"));
        registry.ended({first, RunOutcome::Done, std::nullopt}, "e1");
        CPPUNIT_ASSERT(registry.ownerOf(first, "e1").empty());
        CPPUNIT_ASSERT(registry.endOf(first, "a", "e1")->outcome == RunOutcome::Done);
        clock.advance(seconds(4));
        registry.ended({{"job.0.0.1", 1}, RunOutcome::Done, std::nullopt}, "e2");
        CPPUNIT_ASSERT(!registry.endOf(first, "a", "e1"));
    }

    void forgottenRunHasNoOwner()
    {
        ManualClock clock;
        RunRegistry registry(clock);
        const RunId kept{"job.0.0.0", 1};
        const RunId moved{"job.0.0.1", 1};
        registry.setOwner(kept, "a", "e1");
        registry.setOwner(moved, "b", "e2");
        registry.forget(moved, "e2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.owners().size());
        CPPUNIT_ASSERT(registry.runsOf("b").empty());
        CPPUNIT_ASSERT(!registry.endOf(moved, "b", "e2"));
    }

    // A client sends a job again, to another host: its tasks and run numbers begin anew.
    void endOfAnEarlierAttemptIsNotThatOfALaterOne()
    {
        ManualClock clock;
        RunRegistry registry(clock);
        const RunId run{"job.0.0.0", 1};
        registry.setOwner(run, "a", "e1");
        registry.ended({run, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!registry.endOf(run, "b", "e1"));
        CPPUNIT_ASSERT(!registry.endOf(run, "a", "e2"));
        CPPUNIT_ASSERT(registry.endOf(run, "a", "e1"));
        registry.setOwner(run, "a", "e1");
        CPPUNIT_ASSERT(!registry.endOf(run, "a", "e1"));
        // Runs of this host's own jobs have no other owner.
        const RunId own{"job.0.0.1", 1};
        registry.ended({own, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!registry.endOf(own, "b", "e1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRegistryTest);
