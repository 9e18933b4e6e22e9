#include "batch/peerclocks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

using namespace anvilmill;
using anvilmill::daemon::PeerClocks;
using anvilmill::wire::meshframe::MeshFrame;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two hosts whose machines were started at different times.
class PeerClocksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerClocksTest);
    CPPUNIT_TEST(frameThatWaitedInTheSocketsOfAFrozenHostIsOld);
    CPPUNIT_TEST(frameToSeveralHostsIsAgedByWhatEarlierFramesTold);
    CPPUNIT_TEST(framesReadLateDontMakeTheirAnswersLookOld);
    CPPUNIT_TEST(ageIsUnknownBeforeTheSenderHasSeenThisHostsClock);
    CPPUNIT_TEST(timeOfAnEarlierBootOfThisMachineIsIgnored);
    CPPUNIT_TEST(malformedTimesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // review/1 and review/2: a host that had been frozen carried out requests to start tasks that had
    // waited in its sockets for seconds, while the tasks ran elsewhere.
    void frameThatWaitedInTheSocketsOfAFrozenHostIsOld()
    {
        exchange();
        const MeshFrame request = sentByB();
        advance(seconds(3));
        m_a.received(request, timeAtA());
        CPPUNIT_ASSERT(*m_a.ageOf(request, timeAtA()) >= seconds(3));
        CPPUNIT_ASSERT(*m_a.ageOf(request, timeAtA()) <= seconds(3) + Delay);
        const MeshFrame next = sentByB();
        advance(Delay);
        m_a.received(next, timeAtA());
        CPPUNIT_ASSERT(*m_a.ageOf(next, timeAtA()) <= 2 * Delay);
    }

    void frameToSeveralHostsIsAgedByWhatEarlierFramesTold()
    {
        exchange();
        MeshFrame report;
        report.host = "b";
        PeerClocks::stampForAll(report, timeAtB());
        advance(milliseconds(700));
        m_a.received(report, timeAtA());
        CPPUNIT_ASSERT(*m_a.ageOf(report, timeAtA()) >= milliseconds(700));
        CPPUNIT_ASSERT(*m_a.ageOf(report, timeAtA()) <= milliseconds(700) + Delay);
    }

    void framesReadLateDontMakeTheirAnswersLookOld()
    {
        exchange();
        const MeshFrame late = sentByA();
        advance(seconds(2));
        m_b.received(late, timeAtB());
        const MeshFrame request = sentByB();
        advance(Delay);
        m_a.received(request, timeAtA());
        CPPUNIT_ASSERT(*m_a.ageOf(request, timeAtA()) <= 2 * Delay);
    }

    void ageIsUnknownBeforeTheSenderHasSeenThisHostsClock()
    {
        const MeshFrame first = sentByB();
        m_a.received(first, timeAtA());
        CPPUNIT_ASSERT(!m_a.ageOf(first, timeAtA()));
        exchange();
        const MeshFrame second = sentByB();
        m_a.received(second, timeAtA());
        CPPUNIT_ASSERT(m_a.ageOf(second, timeAtA()));
        m_a.reset("b");
        CPPUNIT_ASSERT(!m_a.ageOf(second, timeAtA()));
    }

    void timeOfAnEarlierBootOfThisMachineIsIgnored()
    {
        MeshFrame request = sentByB();
        request.echoUs = std::chrono::microseconds(seconds(5000)).count();
        m_a.received(request, timeAtA());
        CPPUNIT_ASSERT(!m_a.ageOf(request, timeAtA()));
    }

    void malformedTimesAreIgnored()
    {
        exchange();
        for (const std::int64_t time : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-1},
                                        std::numeric_limits<std::int64_t>::max()}) {
            MeshFrame frame = sentByB();
            frame.sentUs = time;
            m_a.received(frame, timeAtA());
            CPPUNIT_ASSERT(!m_a.ageOf(frame, timeAtA()));
            frame = sentByB();
            frame.echoUs = time;
            m_a.received(frame, timeAtA());
            CPPUNIT_ASSERT(*m_a.ageOf(frame, timeAtA()) <= 2 * Delay);
        }
    }

private:
    static constexpr Duration Delay = milliseconds(2);

    [[nodiscard]] Duration timeAtA() const { return seconds(100) + m_elapsed; }
    [[nodiscard]] Duration timeAtB() const { return seconds(9000) + m_elapsed; }
    void advance(Duration time) { m_elapsed += time; }

    [[nodiscard]] MeshFrame sentByA() const { return sent(m_a, "a", "b", timeAtA()); }
    [[nodiscard]] MeshFrame sentByB() const { return sent(m_b, "b", "a", timeAtB()); }

    static MeshFrame sent(const PeerClocks &clocks, const std::string &from, const std::string &to,
                          Duration now)
    {
        MeshFrame frame;
        frame.host = from;
        clocks.stamp(frame, to, now);
        return frame;
    }

    /// One frame in each direction.
    void exchange()
    {
        const MeshFrame first = sentByA();
        advance(Delay);
        m_b.received(first, timeAtB());
        const MeshFrame second = sentByB();
        advance(Delay);
        m_a.received(second, timeAtA());
    }

    Duration m_elapsed{};
    PeerClocks m_a;
    PeerClocks m_b;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerClocksTest);
