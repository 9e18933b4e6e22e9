#include "anvilmill/executor/holderassignment.h"
#include "anvilmill/executor/peertopology.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace anvilmill;

namespace {

constexpr int DataCentres = 6;
constexpr int Executors = 183;

std::string nameOf(int dataCentre, const std::string &kind, int number)
{
    return "dc" + std::to_string(dataCentre) + "-" + kind + std::to_string(number);
}

/// The large site: 3 hosts of half a core, 6 of 0.3 and 15 of 0.09 in each of six data centres.
HostMembership largeSite()
{
    HostMembership membership;
    membership.revision = 1;
    for (int dc = 0; dc < DataCentres; ++dc) {
        const std::string dataCentre = "dc" + std::to_string(dc);
        const auto add = [&](const std::string &kind, int count, std::int64_t milliCores) {
            for (int i = 0; i < count; ++i)
                membership.hosts.push_back(
                        {nameOf(dc, kind, i), dataCentre, "", false, milliCores});
        };
        add("strong", 3, 500);
        add("medium", 6, 300);
        add("weak", 15, 90);
    }
    return membership;
}

std::map<std::string, int> heldBy(const HolderAssignment &assignment, const std::string &dataCentre)
{
    std::map<std::string, int> held;
    for (int i = 0; i < Executors; ++i)
        ++held[*assignment.holderOf("executor-" + std::to_string(i), dataCentre)];
    return held;
}

} // namespace

/// Choice of dispatchers, holders and connections at the size of the large site.
class DispatchersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchersTest);
    CPPUNIT_TEST(strongHostsAreDispatchers);
    CPPUNIT_TEST(executorsAreAssignedByStrength);
    CPPUNIT_TEST(hostsOfEqualStrengthAreAllDispatchers);
    CPPUNIT_TEST(weakHostsAreDispatchersIfStrongHostsLeave);
    CPPUNIT_TEST(twoHostsCanBeLostWithoutLosingAllDispatchers);
    CPPUNIT_TEST(weakHostHasFewConnections);
    CPPUNIT_TEST(connectionsAreMutual);
    CPPUNIT_TEST(capacityIsReportedToHostsThatPlaceTasks);
    CPPUNIT_TEST(unlistedDispatcherReceivesCapacityChanges);
    CPPUNIT_TEST(holdsAgreesWithHolderOf);
    CPPUNIT_TEST(oneHostReadsTheEntriesOfALargeFleet);
    CPPUNIT_TEST(eachDataCentreOfASmallFleetHasItsOwnReader);
    CPPUNIT_TEST_SUITE_END();

public:
    void strongHostsAreDispatchers()
    {
        const HolderAssignment assignment(largeSite());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, assignment.dispatchersOf("dc2").size());
        CPPUNIT_ASSERT(assignment.isDispatcher(nameOf(2, "medium", 5)));
        CPPUNIT_ASSERT(!assignment.isDispatcher(nameOf(2, "weak", 0)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 / (6 * 3.3), assignment.shareOf(nameOf(0, "strong", 0)),
                                     1e-9);
    }

    // With equal shares, a host with 0.09 of a core held as many executors as one with half a core.
    void executorsAreAssignedByStrength()
    {
        const HolderAssignment assignment(largeSite());
        int strong = 0;
        int weak = 0;
        for (const auto &[host, held] : heldBy(assignment, "dc0")) {
            strong += host.find("strong") != std::string::npos ? held : 0;
            weak += host.find("weak") != std::string::npos ? held : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, weak);
        // 1.5 of 3.3 cores: 83 of 183 on average, with a deviation of 7.
        CPPUNIT_ASSERT(strong > 62);
        CPPUNIT_ASSERT(strong < 104);
    }

    void hostsOfEqualStrengthAreAllDispatchers()
    {
        HostMembership membership;
        for (int i = 0; i < 5; ++i)
            membership.hosts.push_back({nameOf(0, "weak", i), "dc0", "", false, 90});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, HolderAssignment(membership).allDispatchers().size());
    }

    void weakHostsAreDispatchersIfStrongHostsLeave()
    {
        HostMembership membership = largeSite();
        for (PeerHost &host : membership.hosts)
            host.isLeaving = host.milliCores > 90;
        const HolderAssignment assignment(membership);
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, assignment.dispatchersOf("dc0").size());
    }

    void twoHostsCanBeLostWithoutLosingAllDispatchers()
    {
        HostMembership membership;
        membership.hosts = {{"a", "dc0", "", false, 4000},
                            {"b", "dc0", "", false, 90},
                            {"c", "dc0", "", false, 80},
                            {"d", "dc0", "", false, 70}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, HolderAssignment(membership).allDispatchers().size());
    }

    // In a full mesh, each of 144 hosts was connected to 143 others.
    void weakHostHasFewConnections()
    {
        PeerTopology weak(nameOf(1, "weak", 3), "dc1");
        weak.adopt(largeSite());
        CPPUNIT_ASSERT(!weak.isDispatcher());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, weak.neighbours().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, weak.nearPeers().size());
        CPPUNIT_ASSERT(weak.nearDispatchers().empty());
        PeerTopology strong(nameOf(1, "strong", 0), "dc1");
        strong.adopt(largeSite());
        // 23 in its data centre, 9 dispatchers in each of five others.
        CPPUNIT_ASSERT_EQUAL(std::size_t{23 + 45}, strong.neighbours().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, strong.nearDispatchers().size());
    }

    // Each host sends frames over a connection that it opened, so if only one side connects, the
    // other can't answer.
    void connectionsAreMutual()
    {
        HostMembership membership = largeSite();
        membership.hosts.front().isLeaving = true;
        std::map<std::string, std::vector<PeerHost>> neighbours;
        for (const PeerHost &host : membership.hosts) {
            PeerTopology topology(host.name, host.dataCentre);
            topology.adopt(membership);
            neighbours[host.name] = topology.neighbours();
        }
        for (const auto &[name, hosts] : neighbours) {
            const bool isLeaving = name == membership.hosts.front().name;
            for (const PeerHost &host : hosts) {
                const std::vector<PeerHost> &others = neighbours.at(host.name);
                const bool isMutual = std::any_of(
                        others.begin(), others.end(),
                        [&own = name](const PeerHost &other) { return other.name == own; });
                CPPUNIT_ASSERT(isMutual || isLeaving || host.isLeaving);
            }
        }
    }

    void capacityIsReportedToHostsThatPlaceTasks()
    {
        PeerTopology strong(nameOf(1, "strong", 0), "dc1");
        strong.adopt(largeSite());
        CPPUNIT_ASSERT(strong.needsCapacityReports(nameOf(1, "medium", 0)));
        CPPUNIT_ASSERT(!strong.needsCapacityReports(nameOf(1, "weak", 0)));
        // A host that is disconnected from the store may still act as a dispatcher.
        CPPUNIT_ASSERT(strong.needsCapacityReports("unlisted"));
    }

    // Load: hosts that are cut off from the store, but not from their clients and the other hosts.
    // With reports once a second, 9 to 42 jobs waited on such a host beside free executors.
    void unlistedDispatcherReceivesCapacityChanges()
    {
        PeerTopology strong(nameOf(1, "strong", 0), "dc1");
        HostMembership membership = largeSite();
        strong.adopt(membership);
        std::vector<PeerHost> connected = membership.hosts;
        auto &hosts = membership.hosts;
        hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                                   [](const PeerHost &host) {
                                       return host.name == nameOf(1, "medium", 0)
                                              || host.name == nameOf(2, "medium", 0)
                                              || host.name == nameOf(1, "weak", 0);
                                   }),
                    hosts.end());
        strong.adopt(membership);
        const auto receives = [&strong](const std::string &host) {
            const auto &near = strong.nearDispatchers();
            return std::find(near.begin(), near.end(), host) != near.end();
        };
        CPPUNIT_ASSERT(!receives(nameOf(1, "medium", 0)));
        strong.setConnected(connected);
        CPPUNIT_ASSERT(receives(nameOf(1, "medium", 0)));
        CPPUNIT_ASSERT(strong.isNearPeer(nameOf(1, "medium", 0)));
        CPPUNIT_ASSERT(!receives(nameOf(1, "weak", 0)));
        CPPUNIT_ASSERT(!receives(nameOf(2, "medium", 0)));
    }

    void holdsAgreesWithHolderOf()
    {
        const HolderAssignment assignment(largeSite());
        for (const std::string dataCentre : {"dc0", "dc5", "elsewhere"}) {
            for (int i = 0; i < Executors; ++i) {
                const std::string executor = "executor-" + std::to_string(i);
                const auto holder = assignment.holderOf(executor, dataCentre);
                for (const PeerHost &host : assignment.allDispatchers())
                    CPPUNIT_ASSERT_EQUAL(holder == host.name,
                                         assignment.holds(host.name, executor, dataCentre));
                CPPUNIT_ASSERT(!assignment.holds(nameOf(0, "weak", 1), executor, dataCentre));
            }
        }
    }

    // With one reader per data centre, each of them read 1.3 MB per second for 3,000 executors.
    void oneHostReadsTheEntriesOfALargeFleet()
    {
        std::map<std::string, FeedPlan> plans = feedPlansOfDispatchers(largeSite());
        const auto readers = readersOf(plans);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readers.size());
        std::set<std::string> reached = readers;
        std::vector<std::string> next(readers.begin(), readers.end());
        while (!next.empty()) {
            const std::string host = next.back();
            next.pop_back();
            const FeedPlan &plan = plans.at(host);
            CPPUNIT_ASSERT(plan.listeners.size() <= 13);
            for (const std::string &listener : plan.listeners) {
                CPPUNIT_ASSERT_EQUAL(host, plans.at(listener).source);
                CPPUNIT_ASSERT(reached.insert(listener).second);
                next.push_back(listener);
            }
        }
        CPPUNIT_ASSERT_EQUAL(plans.size(), reached.size());
    }

    void eachDataCentreOfASmallFleetHasItsOwnReader()
    {
        HostMembership membership;
        membership.revision = 1;
        for (int i = 0; i < 9; ++i)
            membership.hosts.push_back(
                    {"host" + std::to_string(i), "dc" + std::to_string(i % 3), "", false, 400});
        const std::map<std::string, FeedPlan> plans = feedPlansOfDispatchers(membership);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, readersOf(plans).size());
        for (const auto &[host, plan] : plans) {
            if (plan.source.empty())
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.listeners.size());
        }
    }

private:
    static std::map<std::string, FeedPlan> feedPlansOfDispatchers(const HostMembership &membership)
    {
        std::map<std::string, FeedPlan> plans;
        for (const PeerHost &host : membership.hosts) {
            PeerTopology topology(host.name, host.dataCentre);
            topology.adopt(membership);
            if (topology.isDispatcher())
                plans[host.name] = topology.feedPlan();
            else
                CPPUNIT_ASSERT(topology.feedPlan().listeners.empty());
        }
        return plans;
    }

    static std::set<std::string> readersOf(const std::map<std::string, FeedPlan> &plans)
    {
        std::set<std::string> readers;
        for (const auto &[host, plan] : plans) {
            if (plan.source.empty())
                readers.insert(host);
        }
        return readers;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchersTest);
