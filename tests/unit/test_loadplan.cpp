#include "commandline.h"
#include "loadcollector.h"
#include "loadplan.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace anvilmill::tools;
using namespace std::chrono_literals;

namespace {

LoadSettings sampleSettings()
{
    LoadSettings settings;
    settings.length = 100s;
    settings.jobsPerSecond = 50;
    settings.resubmitShare = 0.2;
    settings.cancelShare = 0.5;
    settings.targets = 3;
    return settings;
}

} // namespace

class LoadPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPlanTest);
    CPPUNIT_TEST(sameSeedGivesTheSamePlan);
    CPPUNIT_TEST(arrivalsMatchTheRate);
    CPPUNIT_TEST(burstsRaiseTheArrivalRate);
    CPPUNIT_TEST(jobsOfAWaveAreCancelledAtTheSameTime);
    CPPUNIT_TEST(idealIsTheLargerBound);
    CPPUNIT_TEST(quantilesAreNearestRank);
    CPPUNIT_TEST(resubmissionsAreNotCountedAsJobs);
    CPPUNIT_TEST(invalidArgumentsAreUsageErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void sameSeedGivesTheSamePlan()
    {
        LoadSettings settings = sampleSettings();
        const auto first = makeLoadPlan(settings);
        const auto second = makeLoadPlan(settings);
        CPPUNIT_ASSERT(sameArrivals(first, second));
        settings.seed = 2;
        CPPUNIT_ASSERT(!sameArrivals(first, makeLoadPlan(settings)));
    }

    void arrivalsMatchTheRate()
    {
        const auto plan = makeLoadPlan(sampleSettings());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, static_cast<double>(plan.size()), 300);
        for (const PlannedJob &job : plan) {
            CPPUNIT_ASSERT(job.arrival < 100s && job.target < 3);
            CPPUNIT_ASSERT(!job.tasks.empty() && job.tasks.size() <= 20);
            CPPUNIT_ASSERT(!job.resubmission || *job.resubmission >= job.arrival);
        }
    }

    void burstsRaiseTheArrivalRate()
    {
        LoadSettings settings = sampleSettings();
        settings.burstFactor = 4;
        const auto plan = makeLoadPlan(settings);
        const auto inBurst = std::count_if(plan.begin(), plan.end(), [](const PlannedJob &job) {
            return job.arrival % 5s >= 4s;
        });
        // A fifth of the time at four times the rate has half of the arrivals.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
                0.5, static_cast<double>(inBurst) / static_cast<double>(plan.size()), 0.05);
    }

    void jobsOfAWaveAreCancelledAtTheSameTime()
    {
        int cancelled = 0;
        for (const PlannedJob &job : makeLoadPlan(sampleSettings())) {
            if (!job.cancellation)
                continue;
            ++cancelled;
            CPPUNIT_ASSERT(*job.cancellation % 10s == 0s);
            CPPUNIT_ASSERT(*job.cancellation > job.arrival);
        }
        CPPUNIT_ASSERT(cancelled > 1000);
    }

    void idealIsTheLargerBound()
    {
        PlannedJob job;
        job.tasks = {100ms, 200ms, 300ms};
        CPPUNIT_ASSERT(job.ideal(1) == 600ms);
        CPPUNIT_ASSERT(job.ideal(8) == 300ms);
    }

    void quantilesAreNearestRank()
    {
        std::vector<double> samples;
        for (int i = 100; i >= 1; --i)
            samples.push_back(i);
        const auto quantiles = quantilesOf(samples);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, quantiles.p50, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(99, quantiles.p99, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, quantiles.largest, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, quantilesOf({}).p50, 1e-9);
    }

    void resubmissionsAreNotCountedAsJobs()
    {
        LoadCollector collector;
        collector.add({"answered", 200ms, 100ms, 4, true, false, false});
        collector.add({"answered", 900ms, 100ms, 4, false, false, true});
        collector.add({"answered", 5000ms, 100ms, 0, true, true, false});
        const LoadResult result = collector.result({}, {}, 2s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, result.jobs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, result.resubmissions);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, result.lateSends);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, result.ratioToIdeal.largest, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, result.goodTasksPerSecond, 1e-9);
    }

    void invalidArgumentsAreUsageErrors()
    {
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, load({"192.0.2.1:80"}));
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, load({"--seconds", "9999", "127.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, load({"--cancel", "2", "127.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(int{UsageError}, load({"compare", "one"}));
    }

private:
    static bool sameArrivals(const std::vector<PlannedJob> &left,
                             const std::vector<PlannedJob> &right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                          [](const PlannedJob &one, const PlannedJob &other) {
                              return one.arrival == other.arrival && one.tasks == other.tasks
                                     && one.target == other.target;
                          });
    }

    static int load(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"anvilmill", "load"});
        return runCommandLine(arguments);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);
