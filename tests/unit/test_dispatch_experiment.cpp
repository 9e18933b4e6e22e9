#include "commandline.h"
#include "experimentpolicies.h"
#include "experimentreport.h"
#include "experimentsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace anvilmill::tools;

namespace {

WorkloadSettings smallSettings()
{
    WorkloadSettings settings;
    settings.executors = 10;
    settings.warmUp = {};
    settings.phases = {{std::chrono::seconds(2), 0.7}};
    return settings;
}

} // namespace

class DispatchExperimentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchExperimentTest);
    CPPUNIT_TEST(workloadHasTheRequestedLoad);
    CPPUNIT_TEST(everyPolicyFinishesEveryJob);
    CPPUNIT_TEST(sameSeedReproducesTheRun);
    CPPUNIT_TEST(quantilesUseTheSortedValues);
    CPPUNIT_TEST(invalidFlagsAreUsageErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void workloadHasTheRequestedLoad()
    {
        const Workload workload = makeWorkload(smallSettings(), 1);
        double work = 0.0;
        for (const SimulatedJob &job : workload.jobs)
            work += std::chrono::duration<double>(job.totalWork()).count();
        const double requested = 0.7 * workload.capacity() * 2.0;
        CPPUNIT_ASSERT(work >= requested);
        const double last = std::chrono::duration<double>(workload.jobs.back().totalWork()).count();
        CPPUNIT_ASSERT(work < requested + 270.0 * 20.0 + last);
    }

    void everyPolicyFinishesEveryJob()
    {
        const Workload workload = makeWorkload(smallSettings(), 2);
        for (const Policy &policy : experimentPolicies()) {
            const RunResult result = simulate(workload, policy, 2);
            const bool areFinished =
                    std::all_of(result.jobs.begin(), result.jobs.end(), [](const JobResult &job) {
                        return job.state == JobResult::State::Finished;
                    });
            CPPUNIT_ASSERT_MESSAGE(policy.name, areFinished);
        }
    }

    void sameSeedReproducesTheRun()
    {
        const Workload workload = makeWorkload(smallSettings(), 3);
        for (const Policy &policy : experimentPolicies()) {
            const RunResult first = simulate(workload, policy, 3);
            const RunResult second = simulate(workload, policy, 3);
            CPPUNIT_ASSERT_EQUAL(first.wastedMessages, second.wastedMessages);
            for (std::size_t i = 0; i < first.jobs.size(); ++i)
                CPPUNIT_ASSERT(first.jobs[i].response == second.jobs[i].response);
        }
    }

    void quantilesUseTheSortedValues()
    {
        CPPUNIT_ASSERT_EQUAL(3.0, quantileOf({5.0, 1.0, 3.0, 4.0, 2.0}, 0.5));
        CPPUNIT_ASSERT_EQUAL(5.0, quantileOf({5.0, 1.0, 3.0, 4.0, 2.0}, 1.0));
        CPPUNIT_ASSERT_EQUAL(0.0, quantileOf({}, 0.5));
    }

    void invalidFlagsAreUsageErrors()
    {
        CPPUNIT_ASSERT_EQUAL(2, runCommandLine({"anvilmill", "experiment", "--seeds", "0"}));
        CPPUNIT_ASSERT_EQUAL(2, runCommandLine({"anvilmill", "experiment", "--policy", "none"}));
        CPPUNIT_ASSERT_EQUAL(2, runCommandLine({"anvilmill", "experiment", "--nonsense"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchExperimentTest);
