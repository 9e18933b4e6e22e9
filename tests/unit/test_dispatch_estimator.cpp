#include "anvilmill/dispatch/runtimeestimator.h"
#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using anvilmill::Duration;
using anvilmill::RunTimeEstimator;
using anvilmill::SeededRandom;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Executors = 10;
constexpr double TrueWorkMs[] = {60.0, 300.0, 800.0};

double speedOf(std::size_t executor)
{
    return 1.0 + 3.0 * static_cast<double>(executor) / static_cast<double>(Executors - 1);
}

Duration asDuration(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

double asMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Records runs of all services on all executors. Run times vary by up to 50 %; a share of the runs
/// are stragglers, which take 20 times as long.
void recordRuns(RunTimeEstimator &estimator, int observations, double stragglerShare)
{
    SeededRandom random(7);
    for (int i = 0; i < observations; ++i) {
        const std::size_t service = random.nextBelow(3);
        const std::size_t executor = random.nextBelow(Executors);
        double work = TrueWorkMs[service] * (0.5 + random.nextUnit());
        if (random.nextUnit() < stragglerShare)
            work *= 20.0;
        estimator.record(service, executor, asDuration(work / speedOf(executor)));
    }
}

/// Returns the ratio of the expected run time to the true one.
double ratioOf(const RunTimeEstimator &estimator, std::size_t service, std::size_t executor)
{
    const double expected = asMs(estimator.work(service)) / estimator.speed(executor);
    return expected / (TrueWorkMs[service] / speedOf(executor));
}

} // namespace

class DispatchEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchEstimatorTest);
    CPPUNIT_TEST(oneServiceConvergesInTensOfObservations);
    CPPUNIT_TEST(speedIsSeparatedFromWork);
    CPPUNIT_TEST(stragglersHardlyAffectEstimates);
    CPPUNIT_TEST(inaccurateDeclarationsAreIgnored);
    CPPUNIT_TEST(accurateDeclarationsAreUsed);
    CPPUNIT_TEST(estimatesFollowChangedRunTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneServiceConvergesInTensOfObservations()
    {
        RunTimeEstimator estimator;
        for (int i = 0; i < 30; ++i)
            estimator.record(0, 0, milliseconds(900), milliseconds(9000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(900.0, asMs(estimator.work(0)) / estimator.speed(0), 90.0);
    }

    void speedIsSeparatedFromWork()
    {
        RunTimeEstimator estimator;
        recordRuns(estimator, 2000, 0.0);
        for (std::size_t service = 0; service < 3; ++service)
            for (std::size_t executor = 0; executor < Executors; ++executor)
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratioOf(estimator, service, executor), 0.25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, estimator.speed(9) / estimator.speed(0), 1.0);
    }

    void stragglersHardlyAffectEstimates()
    {
        RunTimeEstimator estimator;
        recordRuns(estimator, 2000, 0.02);
        for (std::size_t service = 0; service < 3; ++service)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratioOf(estimator, service, 5), 0.3);
    }

    void inaccurateDeclarationsAreIgnored()
    {
        RunTimeEstimator estimator;
        SeededRandom random(3);
        for (int i = 0; i < 60; ++i) {
            const Duration declared =
                    random.nextUnit() < 0.5 ? milliseconds(10) : milliseconds(1000);
            estimator.record(0, 0, milliseconds(100), declared);
        }
        const double expected = asMs(estimator.work(0, milliseconds(1000))) / estimator.speed(0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, expected, 20.0);
    }

    void accurateDeclarationsAreUsed()
    {
        RunTimeEstimator estimator;
        SeededRandom random(3);
        for (int i = 0; i < 60; ++i) {
            const Duration work = milliseconds(50 + random.nextBelow(950));
            estimator.record(0, 0, work, work);
        }
        CPPUNIT_ASSERT(estimator.work(0, milliseconds(700)) == milliseconds(700));
    }

    void estimatesFollowChangedRunTimes()
    {
        RunTimeEstimator estimator;
        for (int i = 0; i < 500; ++i)
            estimator.record(0, 0, milliseconds(100));
        for (int i = 0; i < 500; ++i)
            estimator.record(0, 0, milliseconds(400));
        CPPUNIT_ASSERT(asMs(estimator.work(0)) / estimator.speed(0) > 200.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchEstimatorTest);
