#include "batch/peerliveness.h"

#include "anvilmill/manualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::daemon::PeerLiveness;
using std::chrono::milliseconds;

class PeerLivenessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLivenessTest);
    CPPUNIT_TEST(requestsToAFrozenHostDontCountAsItsMessages);
    CPPUNIT_TEST(hostWithRareHeartbeatsHasTimeToAnswerARequest);
    CPPUNIT_TEST(messageThatWaitedDoesntShowThatItsSenderIsAlive);
    CPPUNIT_TEST_SUITE_END();

public:
    // A holder stops the runs of a host that it hasn't heard from for 0.9 s, before the host's clients
    // submit their jobs again. It went on requesting starts from the frozen host, each of which put
    // this off.
    void requestsToAFrozenHostDontCountAsItsMessages()
    {
        m_peers.messageReceived("frozen", {});
        for (int i = 0; i < 9; ++i) {
            m_clock.advance(milliseconds(100));
            m_peers.requestSent("frozen");
        }
        CPPUNIT_ASSERT(m_peers.silence("frozen") == milliseconds(900));
        CPPUNIT_ASSERT(m_peers.unresponsiveness("frozen") == milliseconds(800));
    }

    void hostWithRareHeartbeatsHasTimeToAnswerARequest()
    {
        m_peers.messageReceived("far", {});
        m_clock.advance(milliseconds(950));
        m_peers.requestSent("far");
        m_clock.advance(milliseconds(50));
        CPPUNIT_ASSERT(m_peers.unresponsiveness("far") == milliseconds(50));
        m_peers.messageReceived("far", {});
        m_clock.advance(milliseconds(100));
        m_peers.requestSent("far");
        m_clock.advance(milliseconds(100));
        CPPUNIT_ASSERT(m_peers.silence("far") == milliseconds(200));
        CPPUNIT_ASSERT(m_peers.unresponsiveness("far") == milliseconds(100));
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

private:
    ManualClock m_clock;
    PeerLiveness m_peers{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLivenessTest);
