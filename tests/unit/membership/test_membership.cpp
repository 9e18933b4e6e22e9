#include "datacentresimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::test::DataCentreSimulation;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Strings = std::vector<std::string>;

/// Time until all hosts act under one view; at least \p bound if they don't.
Duration timeToConverge(DataCentreSimulation &simulation, Duration bound)
{
    const Duration start = simulation.now();
    while (!simulation.hasConverged() && simulation.now() - start < bound)
        simulation.run(milliseconds(10));
    return simulation.now() - start;
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(hostsFormOneView);
    CPPUNIT_TEST(replacementActsWithinTwoSeconds);
    CPPUNIT_TEST(replacementIsRoutedToWithinTwoSecondsWithoutPlatform);
    CPPUNIT_TEST(ownersKeepActingWithoutPlatform);
    CPPUNIT_TEST(intermittentOutageStopsNoOwner);
    CPPUNIT_TEST(hostWithoutPlatformKeepsActingThroughDelegate);
    CPPUNIT_TEST(isolatedHostStopsAndIsRemoved);
    CPPUNIT_TEST(hostFailureDuringAnOutageStopsOwnersUntilItEnds);
    CPPUNIT_TEST(pausedHostDoesNotActWhenResumed);
    CPPUNIT_TEST(startWithoutPlatformHasNoOwners);
    CPPUNIT_TEST(partitionHealedInBothOrders);
    CPPUNIT_TEST(leavingHostIsRemovedImmediately);
    CPPUNIT_TEST(wholeDataCentreIsReplaced);
    CPPUNIT_TEST(restoredStoreDoesNotRevertTheView);
    CPPUNIT_TEST(lostAnswerOfAWriteIsResolved);
    CPPUNIT_TEST(dataCentresExchangeHostLists);
    CPPUNIT_TEST(callsDoNotGrowWithHostsOfADataCentre);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostsFormOneView()
    {
        DataCentreSimulation simulation(1);
        startThree(simulation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.acting().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.host("a").currentView().members.size());
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
    }

    void replacementActsWithinTwoSeconds()
    {
        DataCentreSimulation simulation(2);
        startThree(simulation);
        simulation.start("d");
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(2));
    }

    void replacementIsRoutedToWithinTwoSecondsWithoutPlatform()
    {
        DataCentreSimulation simulation(3);
        startThree(simulation);
        simulation.isPlatformDown = true;
        simulation.run(seconds(20));
        simulation.start("d");
        simulation.run(seconds(2));
        // The new host has the owners' view for forwarding and is a live peer of the owners, but is
        // not an owner itself.
        CPPUNIT_ASSERT(simulation.acting() == Strings({"a", "b", "c"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.host("d").currentView().members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.host("d").alivePeers().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.host("a").alivePeers().size());
    }

    void ownersKeepActingWithoutPlatform()
    {
        DataCentreSimulation simulation(4);
        startThree(simulation);
        simulation.isPlatformDown = true;
        for (int step = 0; step < 3'600; ++step) {
            simulation.run(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.acting().size());
        }
        simulation.isPlatformDown = false;
        for (int step = 0; step < 30; ++step) {
            simulation.run(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.acting().size());
        }
        CPPUNIT_ASSERT(simulation.hasConverged());
    }

    void intermittentOutageStopsNoOwner()
    {
        DataCentreSimulation simulation(5);
        startThree(simulation);
        for (int step = 0; step < 400; ++step) {
            simulation.isPlatformDown = simulation.random().nextBelow(2) == 0;
            simulation.run(milliseconds(simulation.random().nextBelow(8'000)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.acting().size());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
    }

    void hostWithoutPlatformKeepsActingThroughDelegate()
    {
        DataCentreSimulation simulation(6);
        startThree(simulation);
        simulation.disconnectPlatform("c", true);
        for (int step = 0; step < 60; ++step) {
            simulation.run(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, simulation.acting().size());
        }
    }

    void isolatedHostStopsAndIsRemoved()
    {
        DataCentreSimulation simulation(7);
        startThree(simulation);
        isolate(simulation, "a", true);
        simulation.run(MembershipOptions().leaseLength);
        CPPUNIT_ASSERT(simulation.acting() == Strings({"b", "c"}));
        simulation.run(seconds(10));
        CPPUNIT_ASSERT(simulation.acting() == Strings({"b", "c"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, simulation.host("b").currentView().members.size());
        isolate(simulation, "a", false);
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(5));
    }

    void hostFailureDuringAnOutageStopsOwnersUntilItEnds()
    {
        DataCentreSimulation simulation(8);
        startThree(simulation);
        simulation.isPlatformDown = true;
        simulation.run(seconds(30));
        simulation.kill("b");
        simulation.run(seconds(10));
        CPPUNIT_ASSERT(simulation.acting().empty());
        simulation.isPlatformDown = false;
        simulation.run(seconds(30));
        CPPUNIT_ASSERT(simulation.acting() == Strings({"a", "c"}));
    }

    void pausedHostDoesNotActWhenResumed()
    {
        DataCentreSimulation simulation(9);
        startThree(simulation);
        simulation.pause("a");
        simulation.run(seconds(30));
        CPPUNIT_ASSERT(simulation.acting() == Strings({"b", "c"}));
        simulation.resume("a");
        CPPUNIT_ASSERT(simulation.acting() == Strings({"b", "c"}));
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
    }

    void startWithoutPlatformHasNoOwners()
    {
        DataCentreSimulation simulation(10);
        simulation.isPlatformDown = true;
        startThree(simulation);
        simulation.run(minutes(1));
        CPPUNIT_ASSERT(simulation.acting().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, simulation.host("a").alivePeers().size());
        simulation.isPlatformDown = false;
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(5));
    }

    void partitionHealedInBothOrders()
    {
        for (const bool isPlatformFirst : {true, false}) {
            DataCentreSimulation simulation(11);
            startThree(simulation);
            isolate(simulation, "c", true);
            simulation.run(seconds(20));
            if (isPlatformFirst)
                simulation.disconnectPlatform("c", false);
            else
                disconnectFromPeers(simulation, "c", false);
            simulation.run(seconds(20));
            CPPUNIT_ASSERT_EQUAL(isPlatformFirst ? std::size_t{2} : std::size_t{3},
                                 simulation.acting().size());
            simulation.healAll();
            CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(5));
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        }
    }

    void leavingHostIsRemovedImmediately()
    {
        DataCentreSimulation simulation(12);
        startThree(simulation);
        for (const char *name : {"a", "b", "c"}) {
            simulation.host(name).leave();
            CPPUNIT_ASSERT(!simulation.host(name).mayActAsOwner());
            simulation.run(seconds(2));
            CPPUNIT_ASSERT(simulation.host(name).hasLeft());
            simulation.kill(name);
        }
        simulation.start("a");
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= seconds(2));
    }

    void wholeDataCentreIsReplaced()
    {
        DataCentreSimulation simulation(13);
        startThree(simulation);
        for (const char *name : {"a", "b", "c"})
            simulation.kill(name);
        simulation.run(seconds(1));
        for (const char *name : {"a", "b", "c"})
            simulation.start(name);
        const MembershipOptions options;
        const Duration bound = options.leaseLength + options.authorityWait() + seconds(4);
        CPPUNIT_ASSERT(timeToConverge(simulation, minutes(1)) <= bound);
    }

    void restoredStoreDoesNotRevertTheView()
    {
        DataCentreSimulation simulation(14);
        startThree(simulation);
        simulation.store().saveSnapshot();
        simulation.start("d");
        simulation.kill("b");
        simulation.run(seconds(30));
        const std::uint64_t epoch = simulation.host("a").currentView().epoch;
        simulation.store().restoreSnapshot();
        simulation.run(seconds(30));
        CPPUNIT_ASSERT(simulation.hasConverged());
        CPPUNIT_ASSERT(simulation.host("a").currentView().epoch > epoch);
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
    }

    void lostAnswerOfAWriteIsResolved()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            DataCentreSimulation simulation(seed);
            simulation.faults.answerLoss = 0.5;
            startThree(simulation);
            simulation.run(seconds(60));
            simulation.faults = {};
            simulation.run(seconds(20));
            CPPUNIT_ASSERT(simulation.hasConverged());
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation());
        }
    }

    void dataCentresExchangeHostLists()
    {
        DataCentreSimulation simulation(15);
        for (const char *name : {"a", "b"})
            simulation.start(name, "bole");
        for (const char *name : {"p", "q"})
            simulation.start(name, "piassa");
        simulation.run(seconds(15));
        for (const char *name : {"a", "b", "p", "q"}) {
            const DataCentreDirectory &directory = simulation.host(name).directory();
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hostsOf(directory, "bole"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hostsOf(directory, "piassa"));
        }
        simulation.kill("q");
        simulation.run(seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hostsOf(simulation.host("b").directory(), "piassa"));
    }

    void callsDoNotGrowWithHostsOfADataCentre()
    {
        CPPUNIT_ASSERT(callsInAMinute(16) <= callsInAMinute(2) * 5 / 4);
    }

private:
    static void startThree(DataCentreSimulation &simulation)
    {
        for (const char *name : {"a", "b", "c"})
            simulation.start(name);
        simulation.run(seconds(10));
    }

    static void disconnectFromPeers(DataCentreSimulation &simulation, const std::string &name,
                                    bool isDisconnected)
    {
        for (const char *other : {"a", "b", "c"})
            simulation.disconnectPeers(name, other, isDisconnected);
    }

    static void isolate(DataCentreSimulation &simulation, const std::string &name, bool isIsolated)
    {
        disconnectFromPeers(simulation, name, isIsolated);
        simulation.disconnectPlatform(name, isIsolated);
    }

    static std::size_t hostsOf(const DataCentreDirectory &directory, const std::string &dataCentre)
    {
        const auto *summary = directory.find(dataCentre);
        return summary ? summary->hosts.size() : 0;
    }

    static std::uint64_t callsInAMinute(int hosts)
    {
        DataCentreSimulation simulation(16);
        for (int number = 0; number < hosts; ++number)
            simulation.start("host-" + std::to_string(number));
        simulation.run(seconds(30));
        const std::uint64_t before = simulation.platformCalls();
        simulation.run(minutes(1));
        return simulation.platformCalls() - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
