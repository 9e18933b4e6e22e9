#include "datacentresimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::test::DataCentreSimulation;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const std::vector<std::string> Names = {"a", "b", "c", "d"};

const std::string &anyHost(DataCentreSimulation &simulation)
{
    return Names[simulation.random().nextBelow(Names.size())];
}

void startAll(DataCentreSimulation &simulation)
{
    for (const std::string &name : Names)
        simulation.start(name);
    simulation.run(seconds(10));
}

/// Injects or heals one random fault.
void injectRandomFault(DataCentreSimulation &simulation)
{
    const std::string &one = anyHost(simulation);
    const std::string &other = anyHost(simulation);
    switch (simulation.random().nextBelow(9)) {
    case 0:
        simulation.pause(one);
        break;
    case 1:
        simulation.resume(one);
        break;
    case 2:
        simulation.disconnectPlatform(one, true);
        break;
    case 3:
        simulation.disconnectPlatform(one, false);
        break;
    case 4:
        simulation.disconnectPeers(one, other, true);
        break;
    case 5:
        simulation.disconnectPeers(one, other, false);
        break;
    case 6:
        simulation.isPlatformDown = !simulation.isPlatformDown;
        break;
    case 7:
        simulation.kill(one);
        simulation.start(one);
        break;
    default:
        simulation.healAll();
        simulation.faults = {0.1, 0.1, 0.1, 0.05};
    }
}

/// Runs four hosts through random faults; returns the first violation, if any.
std::string runWithRandomFaults(DataCentreSimulation &simulation, int steps)
{
    startAll(simulation);
    simulation.faults = {0.1, 0.1, 0.1, 0.05};
    for (int step = 0; step < steps && simulation.violation().empty(); ++step) {
        injectRandomFault(simulation);
        simulation.run(milliseconds(simulation.random().nextBelow(6'000)));
    }
    return simulation.violation();
}

/// Repeats platform outages of the whole data centre, after which one host stays disconnected from
/// the platform and then also from its peers.
std::string runWithOutages(DataCentreSimulation &simulation, int rounds)
{
    startAll(simulation);
    for (int round = 0; round < rounds && simulation.violation().empty(); ++round) {
        simulation.isPlatformDown = true;
        simulation.run(milliseconds(5'000 + simulation.random().nextBelow(15'000)));
        const std::string &isolated = anyHost(simulation);
        simulation.disconnectPlatform(isolated, true);
        simulation.isPlatformDown = false;
        simulation.run(milliseconds(simulation.random().nextBelow(3'000)));
        for (const std::string &name : Names)
            simulation.disconnectPeers(isolated, name, true);
        simulation.run(seconds(15));
        simulation.healAll();
        simulation.run(seconds(15));
    }
    return simulation.violation();
}

} // namespace

class ViewSafetyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewSafetyTest);
    CPPUNIT_TEST(ownersHoldOneViewUnderRandomFaults);
    CPPUNIT_TEST(ownersHoldOneViewAroundOutages);
    CPPUNIT_TEST(brokenPromisesAreDetected);
    CPPUNIT_TEST(longerAuthorityThanLeaseIsDetected);
    CPPUNIT_TEST(clockDriftBeyondTheBoundIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownersHoldOneViewUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            DataCentreSimulation simulation(seed);
            const std::string violation = runWithRandomFaults(simulation, 80);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violation);
            simulation.healAll();
            simulation.run(minutes(2));
            CPPUNIT_ASSERT_MESSAGE("no convergence, seed " + std::to_string(seed),
                                   simulation.hasConverged());
        }
    }

    void ownersHoldOneViewAroundOutages()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            DataCentreSimulation simulation(seed);
            CPPUNIT_ASSERT_EQUAL(std::string(), runWithOutages(simulation, 10));
        }
    }

    void brokenPromisesAreDetected()
    {
        // Hosts keep their promises for a tenth of the announced time.
        CPPUNIT_ASSERT(isViolationDetected({}, [](DataCentreSimulation &simulation) {
            simulation.modifyMessage = [](wire::peer::MembershipMessage &message) {
                if (message.heartbeat && message.heartbeat->promiseMs)
                    *message.heartbeat->promiseMs *= 10;
            };
        }));
    }

    void longerAuthorityThanLeaseIsDetected()
    {
        // Hosts assume twice the lease length and do not wait for other hosts' authority to expire.
        MembershipOptions options;
        options.clockDrift = -0.5;
        CPPUNIT_ASSERT(isViolationDetected(options, [](DataCentreSimulation &) {}));
    }

    void clockDriftBeyondTheBoundIsDetected()
    {
        CPPUNIT_ASSERT(isViolationDetected(
                {}, [](DataCentreSimulation &simulation) { simulation.maxDrift = 0.8; }));
    }

private:
    template <typename Setup>
    static bool isViolationDetected(const MembershipOptions &options, const Setup &setup)
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            DataCentreSimulation outage(seed, options);
            setup(outage);
            DataCentreSimulation randomFaults(seed, options);
            setup(randomFaults);
            if (!runWithOutages(outage, 10).empty()
                || !runWithRandomFaults(randomFaults, 80).empty())
                return true;
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewSafetyTest);
