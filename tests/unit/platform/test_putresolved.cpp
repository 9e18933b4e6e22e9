#include "anvilmill/platform/putresolved.h"
#include "fakes/fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::test::FakePlatform;

namespace {

constexpr Duration Timeout = std::chrono::seconds(1);

} // namespace

class PutResolvedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PutResolvedTest);
    CPPUNIT_TEST(lostReplyIsResolvedByReadingTheKey);
    CPPUNIT_TEST(repeatedChangeIsWrittenOnlyOnce);
    CPPUNIT_TEST(writeByAnotherWriterIsAConflict);
    CPPUNIT_TEST(outcomeIsUnknownOrUnreachableWhileTheStoreIsDown);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostReplyIsResolvedByReadingTheKey()
    {
        m_platform.repliesToLose = 1;
        const StoreReply reply = putResolved(m_platform, {"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(reply.outcome == CallOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(StoreVersion{1}, reply.entry->version);
    }

    void repeatedChangeIsWrittenOnlyOnce()
    {
        const StorePut change{"key", "a", NoVersion, "c1"};
        m_platform.repliesToLose = 2;
        CPPUNIT_ASSERT(putResolved(m_platform, change, Timeout).outcome == CallOutcome::Unknown);
        const StoreReply again = putResolved(m_platform, change, Timeout);
        CPPUNIT_ASSERT(again.outcome == CallOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(StoreVersion{1}, again.entry->version);
    }

    void writeByAnotherWriterIsAConflict()
    {
        CPPUNIT_ASSERT(m_platform.put({"key", "other", NoVersion, "c0"}, Timeout).isDone());
        m_platform.repliesToLose = 1;
        const StoreReply reply = putResolved(m_platform, {"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(reply.outcome == CallOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), reply.entry->value);
    }

    void outcomeIsUnknownOrUnreachableWhileTheStoreIsDown()
    {
        m_platform.repliesToLose = 2;
        const StoreReply reply = putResolved(m_platform, {"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(reply.outcome == CallOutcome::Unknown);
        m_platform.isDown = true;
        const StoreReply unsent = putResolved(m_platform, {"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(unsent.outcome == CallOutcome::Unreachable);
    }

private:
    ManualClock m_clock;
    FakePlatform m_platform{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PutResolvedTest);
