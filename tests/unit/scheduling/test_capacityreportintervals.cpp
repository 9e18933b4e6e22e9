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

/// The number of full capacity reports that a dispatcher receives in an hour.
std::size_t reportsInAnHour(const CapacityReportIntervals &intervals, std::size_t hosts,
                            bool isNear, bool isWaiting)
{
    std::size_t reports = 0;
    for (std::size_t i = 0; i < HeartbeatsInAnHour; ++i)
        reports += intervals.isDue(i, isNear, isWaiting) ? hosts : 0;
    return reports;
}

} // namespace

/// Guards against full capacity reports that are too frequent for large fleets or already stale.
class CapacityReportIntervalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityReportIntervalsTest);
    CPPUNIT_TEST(farReportsDoNotGrowWithTheFleet);
    CPPUNIT_TEST(hostsWithWaitingJobsGetReportsSooner);
    CPPUNIT_TEST(smallFleetReportsInEachHeartbeat);
    CPPUNIT_TEST(changeReportsAreAtMostOneFrameAMillisecond);
    CPPUNIT_TEST(timelyReportsAreNotStale);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: the dispatchers of 147, 300, 1,000 and 6,300 hosts in six data centres. With a report
    // each second, or in each heartbeat while jobs wait, those of the largest fleet would receive
    // 8,000 a second.
    void farReportsDoNotGrowWithTheFleet()
    {
        for (const std::size_t far : {42U, 92U, 310U, 2000U}) {
            const CapacityReportIntervals intervals =
                    capacityReportIntervals(far, false, Heartbeat);
            CPPUNIT_ASSERT(reportsInAnHour(intervals, far, false, false) <= SecondsInAnHour * 48);
            CPPUNIT_ASSERT(reportsInAnHour(intervals, far, false, true) <= HeartbeatsInAnHour * 48);
        }
    }

    void hostsWithWaitingJobsGetReportsSooner()
    {
        const CapacityReportIntervals intervals = capacityReportIntervals(42, false, Heartbeat);
        CPPUNIT_ASSERT_EQUAL(SecondsInAnHour, reportsInAnHour(intervals, 1, false, false));
        CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour, reportsInAnHour(intervals, 1, false, true));
        CPPUNIT_ASSERT_EQUAL(SecondsInAnHour, reportsInAnHour(intervals, 1, true, false));
        CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour, reportsInAnHour(intervals, 1, true, true));
    }

    void smallFleetReportsInEachHeartbeat()
    {
        const CapacityReportIntervals intervals = capacityReportIntervals(6, true, Heartbeat);
        for (const bool isNear : {true, false}) {
            for (const bool isWaiting : {true, false})
                CPPUNIT_ASSERT_EQUAL(HeartbeatsInAnHour,
                                     reportsInAnHour(intervals, 1, isNear, isWaiting));
        }
        CPPUNIT_ASSERT(intervals.nearStaleAfter == Duration(milliseconds(900)));
    }

    void changeReportsAreAtMostOneFrameAMillisecond()
    {
        for (const std::size_t near : {1U, 6U, 10U, 25U}) {
            const auto frames = static_cast<Duration::rep>(near);
            CPPUNIT_ASSERT(changeReportInterval(near) >= frames * Duration(milliseconds(1)));
        }
        CPPUNIT_ASSERT(changeReportInterval(6) < changeReportInterval(25));
        CPPUNIT_ASSERT(changeReportInterval(1000) <= milliseconds(25));
    }

    void timelyReportsAreNotStale()
    {
        for (const std::size_t far : {0U, 42U, 92U, 2000U}) {
            const CapacityReportIntervals intervals =
                    capacityReportIntervals(far, false, Heartbeat);
            CPPUNIT_ASSERT(intervals.nearStaleAfter > 2 * intervals.near * Heartbeat);
            CPPUNIT_ASSERT(intervals.farStaleAfter > 2 * intervals.far * Heartbeat);
        }
        const CapacityReportIntervals intervals = capacityReportIntervals(92, false, Heartbeat);
        ManualClock clock;
        CapacityView view(clock, "dc", intervals.nearStaleAfter);
        view.setStaleAfter(intervals.nearStaleAfter, intervals.farStaleAfter);
        const Resources capacity{4000, 1024, 0};
        ExecutorRegistration registration;
        registration.service = "quotes";
        registration.capacity = capacity;
        for (const std::string dataCentre : {"dc", "other"}) {
            registration.id = "in-" + dataCentre;
            registration.dataCentre = dataCentre;
            view.update(registration);
            view.report({registration.id, capacity, "host"});
        }
        clock.advance(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::string(), view.holderOf(*view.find("in-dc")));
        CPPUNIT_ASSERT_EQUAL(std::string("host"), view.holderOf(*view.find("in-other")));
        CPPUNIT_ASSERT(view.bestFor({"quotes", capacity}) == view.find("in-other"));
        clock.advance(seconds(2));
        CPPUNIT_ASSERT(!view.hasRecentReport());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityReportIntervalsTest);
