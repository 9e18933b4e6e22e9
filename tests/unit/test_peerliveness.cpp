#include "batch/peerliveness.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::PeerLiveness;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerLivenessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLivenessTest);
    CPPUNIT_TEST(whatIsSharedWithAFrozenHostDoesntCountAsItsMessages);
    CPPUNIT_TEST(hostWithRareHeartbeatsIsOverdueOnlyOnceItShares);
    CPPUNIT_TEST(messageThatWaitedDoesntShowThatItsSenderIsAlive);
    CPPUNIT_TEST(hostIsSilentWhileThisMachineIsSuspended);
    CPPUNIT_TEST_SUITE_END();

public:
    // A holder stops the runs of a host that it hasn't heard from for 0.9 s, before the host's clients
    // submit their jobs again. It went on requesting starts from the frozen host, each of which put
    // this off.
    void whatIsSharedWithAFrozenHostDoesntCountAsItsMessages()
    {
        m_peers.messageReceived("frozen", {});
        m_peers.setSharing({"frozen"});
        for (int i = 0; i < 9; ++i) {
            m_clock.advance(milliseconds(100));
            m_peers.setSharing({"frozen", "other"});
        }
        CPPUNIT_ASSERT(m_peers.silence("frozen") == milliseconds(900));
        CPPUNIT_ASSERT(m_peers.overdue("frozen") == milliseconds(900));
    }

    void hostWithRareHeartbeatsIsOverdueOnlyOnceItShares()
    {
        m_peers.messageReceived("far", {});
        m_clock.advance(milliseconds(950));
        m_peers.setSharing({"far"});
        m_clock.advance(milliseconds(50));
        CPPUNIT_ASSERT(m_peers.silence("far") == seconds(1));
        CPPUNIT_ASSERT(m_peers.overdue("far") == milliseconds(50));
        m_peers.messageReceived("far", {});
        m_clock.advance(milliseconds(200));
        m_peers.setSharing({"far"});
        CPPUNIT_ASSERT(m_peers.overdue("far") == milliseconds(200));
        // It shares nothing for a moment.
        m_peers.setSharing({});
        m_peers.setSharing({"far"});
        CPPUNIT_ASSERT(m_peers.overdue("far") == Duration{});
    }

    // A slow holder read the last messages of a frozen host late, and so kept its runs for longer.
    void messageThatWaitedDoesntShowThatItsSenderIsAlive()
    {
        m_peers.messageReceived("frozen", {});
        m_clock.advance(milliseconds(800));
        m_peers.messageReceived("frozen", milliseconds(700));
        CPPUNIT_ASSERT(m_peers.silence("frozen") == milliseconds(700));
        m_peers.messageReceived("frozen", milliseconds(900));
        CPPUNIT_ASSERT(m_peers.silence("frozen") == milliseconds(700));
        CPPUNIT_ASSERT(m_peers.takeNewlySilent(milliseconds(900)).empty());
        m_clock.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peers.takeNewlySilent(milliseconds(900)).size());
        CPPUNIT_ASSERT(m_peers.takeNewlySilent(milliseconds(900)).empty());
    }

    // A holder that had been suspended for 0.9 s went on renewing the leases for the runs of a host that was
    // lost meanwhile.
    void hostIsSilentWhileThisMachineIsSuspended()
    {
        m_peers.messageReceived("lost", {});
        m_clock.suspend(milliseconds(900));
        CPPUNIT_ASSERT(m_peers.silence("lost") == milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peers.takeNewlySilent(milliseconds(890)).size());
    }

private:
    ManualClock m_clock;
    PeerLiveness m_peers{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLivenessTest);
