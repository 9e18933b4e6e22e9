#include "anvilmill/clock.h"
#include "anvilmill/randomsource.h"
#include "anvilmill/scheduling/dispatcherchoice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace anvilmill;
using std::chrono::milliseconds;

namespace {

/// Three dispatchers with half a core and six with 0.3, as in a data centre of the large site.
std::vector<DispatcherCandidate> dispatchers()
{
    std::vector<DispatcherCandidate> all;
    all.reserve(9);
    for (int i = 0; i < 3; ++i)
        all.push_back({"strong" + std::to_string(i), 0.5, 0});
    for (int i = 0; i < 6; ++i)
        all.push_back({"medium" + std::to_string(i), 0.3, 0});
    return all;
}

/// Simulates the jobs of one host, one each 20 ms: three times its share of the peak load. The
/// first dispatcher answers after \p slowAnswer, the others after \p answer. Returns the number of
/// jobs per dispatcher.
std::vector<std::size_t> simulate(Duration answer, Duration slowAnswer, std::size_t jobs)
{
    constexpr Duration Interval = milliseconds(20);
    SeededRandom random(11);
    std::vector<DispatcherCandidate> all = dispatchers();
    std::vector<std::size_t> assigned(all.size(), 0);
    std::multimap<Duration, std::size_t> ends;
    Duration now{};
    for (std::size_t i = 0; i < jobs; ++i, now += Interval) {
        while (!ends.empty() && ends.begin()->first <= now) {
            --all[ends.begin()->second].openJobs;
            ends.erase(ends.begin());
        }
        const std::size_t chosen = *chooseDispatcher(all, random);
        ++all[chosen].openJobs;
        ++assigned[chosen];
        ends.emplace(now + (chosen == 0 ? slowAnswer : answer), chosen);
    }
    return assigned;
}

} // namespace

/// Simulates a host that transfers its jobs to dispatchers of different strength.
class DispatcherChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherChoiceTest);
    CPPUNIT_TEST(jobsAreDistributedByStrength);
    CPPUNIT_TEST(slowDispatcherGetsFewJobs);
    CPPUNIT_TEST(noCandidatesYieldNoChoice);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobsAreDistributedByStrength()
    {
        constexpr std::size_t Jobs = 9000;
        const auto assigned = simulate(milliseconds(300), milliseconds(300), Jobs);
        const std::size_t strong = assigned[0] + assigned[1] + assigned[2];
        // They have 1.5 of 3.3 cores; by count alone they would get a third.
        CPPUNIT_ASSERT(strong > Jobs * 42 / 100);
        CPPUNIT_ASSERT(strong < Jobs * 50 / 100);
        for (std::size_t i = 3; i < assigned.size(); ++i)
            CPPUNIT_ASSERT(assigned[i] > 0);
    }

    // The first dispatcher answers five times slower but is still connected.
    void slowDispatcherGetsFewJobs()
    {
        constexpr std::size_t Jobs = 9000;
        const auto assigned = simulate(milliseconds(300), milliseconds(1500), Jobs);
        const std::size_t others = std::min(assigned[1], assigned[2]);
        CPPUNIT_ASSERT(assigned[0] < others / 2);
    }

    void noCandidatesYieldNoChoice()
    {
        SeededRandom random(1);
        CPPUNIT_ASSERT(!chooseDispatcher({}, random));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherChoiceTest);
