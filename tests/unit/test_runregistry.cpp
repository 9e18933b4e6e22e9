#include "batch/runregistry.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::RunBook;
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
        RunBook book(clock);
        const RunId first{"job.0.0.0", 1};
        book.setOwner(first, "a", "e1");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), book.ownerOf(first, "e1"));
        book.ended({first, RunOutcome::Done, std::nullopt}, "e1");
        CPPUNIT_ASSERT(book.ownerOf(first, "e1").empty());
        CPPUNIT_ASSERT(book.endOf(first, "a", "e1")->outcome == RunOutcome::Done);
        clock.advance(seconds(4));
        book.ended({{"job.0.0.1", 1}, RunOutcome::Done, std::nullopt}, "e2");
        CPPUNIT_ASSERT(!book.endOf(first, "a", "e1"));
    }

    void forgottenRunHasNoOwner()
    {
        ManualClock clock;
        RunBook book(clock);
        const RunId kept{"job.0.0.0", 1};
        const RunId moved{"job.0.0.1", 1};
        book.setOwner(kept, "a", "e1");
        book.setOwner(moved, "b", "e2");
        book.forget(moved, "e2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.owners().size());
        CPPUNIT_ASSERT(book.runsOf("b").empty());
        CPPUNIT_ASSERT(!book.endOf(moved, "b", "e2"));
    }

    // A client sends a job again, to another host: its tasks and run numbers begin anew.
    void endOfAnEarlierAttemptIsNotThatOfALaterOne()
    {
        ManualClock clock;
        RunBook book(clock);
        const RunId run{"job.0.0.0", 1};
        book.setOwner(run, "a", "e1");
        book.ended({run, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!book.endOf(run, "b", "e1"));
        CPPUNIT_ASSERT(!book.endOf(run, "a", "e2"));
        CPPUNIT_ASSERT(book.endOf(run, "a", "e1"));
        book.setOwner(run, "a", "e1");
        CPPUNIT_ASSERT(!book.endOf(run, "a", "e1"));
        // Runs of this host's own jobs have no other owner.
        const RunId own{"job.0.0.1", 1};
        book.ended({own, RunOutcome::NotStarted, std::nullopt}, "e1");
        CPPUNIT_ASSERT(!book.endOf(own, "b", "e1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRegistryTest);
