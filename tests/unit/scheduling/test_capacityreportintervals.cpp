#include "anvilmill/manualclock.h"
#include "anvilmill/scheduling/capacityreportintervals.h"
#include "anvilmill/scheduling/capacityview.h"

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Heartbeat = milliseconds(250);
constexpr std::size_t SecondsInAnHour = 3600;
constexpr std::size_t HeartbeatsInAnHour = 4 * SecondsInAnHour;

/// How many holders' rooms a dispatcher hears in an hour.
std::size_t heardInAnHour(const CapacityReportIntervals &pace, std::size_t hosts, bool isNear,
                          bool isWaiting)
{
    std::size_t heard = 0;
    for (std::size_t i = 0; i < HeartbeatsInAnHour; ++i)
        heard += pace.isDue(i, isNear, isWaiting) ? hosts : 0;
    return heard;
}

} // namespace

/// How often dispatchers tell each other all their room.
class CapacityReportIntervalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityReportIntervalsTest);
    CPPUNIT_TEST(farTellingsDoNotGrowWithTheFleet);
    CPPUNIT_TEST(hostsWithWaitingJobsHearSooner);
    CPPUNIT_TEST(smallFleetTellsInEachHeartbeat);
    CPPUNIT_TEST(whatIsToldInTimeIsCountedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: the dispatchers of 147, 300, 1,000 and 6,300 hosts in six data centres. Told each second, or
    // in each heartbeat while jobs wait, the last ones would hear 8,000 hosts a second.
    void farTellingsDoNotGrowWithTheFleet()
    {
        for (const std::size_t far : {42U, 92U, 310U, 2000U}) {
            const CapacityReportIntervals pace = capacityReportIntervals(far, false, Heartbeat);
            CPPUNIT_ASSERT(heardInAnHour(pace, far, false, false) <= SecondsInAnHour * 48);
            CPPUNIT_ASSERT(heardInAnHour(pace, far, false, true) <= HeartbeatsInAnHour * 48);
        }
    }

    void hostsWithWaitingJobsHearSooner()
    {
        const CapacityReportIntervals pace = capacityReportIntervals(42, false, Heartbeat);
        CPPUNIT_ASSERT_EQUAL(SecondsInAnHour, heardInAnHour(pace, 1, false, false));
        CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour, heardInAnHour(pace, 1, false, true));
        CPPUNIT_ASSERT_EQUAL(SecondsInAnHour, heardInAnHour(pace, 1, true, false));
        CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour, heardInAnHour(pace, 1, true, true));
    }

    void smallFleetTellsInEachHeartbeat()
    {
        const CapacityReportIntervals pace = capacityReportIntervals(6, true, Heartbeat);
        for (const bool isNear : {true, false}) {
            for (const bool isWaiting : {true, false})
                CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour, heardInAnHour(pace, 1, isNear, isWaiting));
        }
        CPPUNIT_ASSERT(pace.nearStaleAfter == Duration(milliseconds(900)));
    }

    void whatIsToldInTimeIsCountedOn()
    {
        for (const std::size_t far : {0U, 42U, 92U, 2000U}) {
            const CapacityReportIntervals pace = capacityReportIntervals(far, false, Heartbeat);
            CPPUNIT_ASSERT(pace.nearStaleAfter > 2 * pace.near * Heartbeat);
            CPPUNIT_ASSERT(pace.farStaleAfter > 2 * pace.far * Heartbeat);
        }
        const CapacityReportIntervals pace = capacityReportIntervals(92, false, Heartbeat);
        ManualClock clock;
        CapacityView view(clock, "dc", pace.nearStaleAfter);
        view.setStaleAfter(pace.nearStaleAfter, pace.farStaleAfter);
        const Resources room{4000, 1024, 0};
        ExecutorRegistration registration;
        registration.service = "quotes";
        registration.capacity = room;
        for (const std::string dataCentre : {"dc", "other"}) {
            registration.id = "in-" + dataCentre;
            registration.dataCentre = dataCentre;
            view.update(registration);
            view.report({registration.id, room, "host"});
        }
        clock.advance(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::string(), view.holderOf(*view.find("in-dc")));
        CPPUNIT_ASSERT_EQUAL(std::string("host"), view.holderOf(*view.find("in-other")));
        CPPUNIT_ASSERT(view.bestFor({"quotes", room}) == view.find("in-other"));
        clock.advance(seconds(2));
        CPPUNIT_ASSERT(!view.hasRecentReport());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityReportIntervalsTest);
