#include "anvilmill/configuration/follower.h"

#include "fakes/fleetoperator.h"
#include "fakes/followerfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using anvilmill::fakes::FollowerFleet;
using Operator = anvilmill::fakes::FleetOperator;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Target for 8 hosts, also after a partition has healed.
constexpr Duration InForceLimit = seconds(2);

void assertInForce(FollowerFleet &fleet, const RevisionId &id, Duration limit)
{
    const auto taken = fleet.runUntil([&] { return fleet.isInForceEverywhere(id); }, limit);
    CPPUNIT_ASSERT_MESSAGE("not in force everywhere within the limit", taken);
}

void isolate(FollowerFleet &fleet, const std::string &dataCentre, int dataCentres)
{
    for (int i = 0; i < dataCentres; ++i)
        fleet.cutPairs.insert({dataCentre, "dc" + std::to_string(i)});
    fleet.cutPairs.erase({dataCentre, dataCentre});
}

} // namespace

class SpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpreadTest);
    CPPUNIT_TEST(changesAreInForceOnEightHostsInTime);
    CPPUNIT_TEST(dataCentreWithoutPlatformReceivesChangesFromPeers);
    CPPUNIT_TEST(isolatedDataCentreCatchesUpInEitherHealingOrder);
    CPPUNIT_TEST(recoversFromLostDuplicatedAndReorderedDeltas);
    CPPUNIT_TEST(startingHostAdoptsHighestRevisionWhilePlatformIsDown);
    CPPUNIT_TEST(startingHostRejectsOlderRevisionOfThePlatform);
    CPPUNIT_TEST(olderPlatformIsReportedAndNextChangeIsApplied);
    CPPUNIT_TEST(differentSheetWithTheSameRevisionIsReported);
    CPPUNIT_TEST(reportListsTheLaggingHost);
    CPPUNIT_TEST(malformedMessagesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesAreInForceOnEightHostsInTime()
    {
        FollowerFleet fleet(1, 4, 2);
        Operator op(fleet, 1);
        fleet.run(seconds(2));
        for (int i = 0; i < 20; ++i) {
            assertInForce(fleet, op.applyUntilAccepted(), InForceLimit);
            fleet.run(milliseconds(150));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.findRevert());
    }

    void dataCentreWithoutPlatformReceivesChangesFromPeers()
    {
        FollowerFleet fleet(2, 4, 2);
        Operator op(fleet, 2);
        fleet.run(seconds(2));
        fleet.cutFromPlatform.insert("dc2");
        for (int i = 0; i < 20; ++i)
            assertInForce(fleet, op.applyUntilAccepted(), InForceLimit);
    }

    void isolatedDataCentreCatchesUpInEitherHealingOrder()
    {
        for (const bool isPlatformFirst : {true, false}) {
            FollowerFleet fleet(3, 4, 2);
            Operator op(fleet, 3);
            op.applyUntilAccepted();
            fleet.run(seconds(2));
            isolate(fleet, "dc1", 4);
            fleet.cutFromPlatform.insert("dc1");
            RevisionId last;
            for (int i = 0; i < 50; ++i) {
                last = op.applyUntilAccepted();
                fleet.run(milliseconds(100));
            }
            CPPUNIT_ASSERT(!fleet.isInForceEverywhere(last));
            if (isPlatformFirst)
                fleet.cutFromPlatform.clear();
            else
                fleet.cutPairs.clear();
            assertInForce(fleet, last, InForceLimit);
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.findRevert());
        }
    }

    void recoversFromLostDuplicatedAndReorderedDeltas()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FollowerFleet fleet(seed, 4, 2);
            Operator op(fleet, seed);
            fleet.network.loss = 0.3;
            fleet.network.duplicates = 0.3;
            fleet.network.delayed = 0.5;
            RevisionId last;
            for (int i = 0; i < 60; ++i) {
                last = op.applyUntilAccepted();
                fleet.run(milliseconds(100));
            }
            assertInForce(fleet, last, seconds(13));
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.findRevert());
        }
    }

    void startingHostAdoptsHighestRevisionWhilePlatformIsDown()
    {
        FollowerFleet fleet(5, 2, 4);
        Operator op(fleet, 5);
        fleet.run(seconds(1));
        const RevisionId id = op.applyUntilAccepted();
        assertInForce(fleet, id, InForceLimit);
        fleet.store.isDown = true;
        const auto &next = fleet.replace(*fleet.liveHosts().front());
        const auto taken = fleet.runUntil([&] { return next.follower->held() == id; }, seconds(2));
        CPPUNIT_ASSERT(taken);
    }

    void startingHostRejectsOlderRevisionOfThePlatform()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            FollowerFleet fleet(seed, 2, 4);
            Operator op(fleet, seed);
            fleet.run(seconds(1));
            op.applyUntilAccepted();
            const auto backup = fleet.store.entries();
            const RevisionId id = op.applyUntilAccepted();
            assertInForce(fleet, id, InForceLimit);
            fleet.store.restore(backup);
            const auto &next = fleet.replace(*fleet.liveHosts().front());
            fleet.run(seconds(3));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.inForce.size());
            CPPUNIT_ASSERT(next.inForce.front().id == id);
        }
    }

    /// Also verifies that findRevert() detects hosts that accept an older revision.
    void olderPlatformIsReportedAndNextChangeIsApplied()
    {
        for (const bool isFaulty : {false, true}) {
            FollowerFleet fleet(7, 4, 2);
            fleet.acceptsOlderStore = isFaulty;
            Operator op(fleet, 7);
            fleet.run(seconds(1));
            op.applyUntilAccepted();
            const auto backup = fleet.store.entries();
            op.applyUntilAccepted();
            const RevisionId held = op.applyUntilAccepted();
            assertInForce(fleet, held, InForceLimit);
            fleet.store.restore(backup);
            fleet.notifyWatches();
            fleet.run(seconds(3));
            CPPUNIT_ASSERT_EQUAL(isFaulty, !fleet.findRevert().empty());
            if (isFaulty)
                continue;
            CPPUNIT_ASSERT(fleet.isInForceEverywhere(held));
            const auto report = reportOf(fleet, "dc0");
            CPPUNIT_ASSERT(report.problem);
            CPPUNIT_ASSERT(report.problem->find("was restored") != std::string::npos);
            const RevisionId next = op.applyUntilAccepted();
            CPPUNIT_ASSERT(next.revision > held.revision);
            assertInForce(fleet, next, InForceLimit);
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.findRevert());
            fleet.run(seconds(3));
            CPPUNIT_ASSERT(!reportOf(fleet, "dc0").problem);
        }
    }

    void differentSheetWithTheSameRevisionIsReported()
    {
        FollowerFleet fleet(8, 2, 2);
        fleet.run(seconds(1));
        Operator first(fleet, 8);
        Operator second(fleet, 9);
        first.applyUntilAccepted();
        fleet.run(seconds(2));
        const auto backup = fleet.store.entries();
        fleet.cutFromPlatform.insert("dc1");
        isolate(fleet, "dc1", 2);
        const RevisionId original = first.applyUntilAccepted();
        fleet.run(seconds(2));
        // The platform loses the change; an operator who reaches only dc1 applies another one.
        fleet.store.restore(backup);
        fleet.cutFromPlatform = {"dc0"};
        const RevisionId other = second.applyUntilAccepted();
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(other.revision == original.revision && other != original);
        fleet.cutFromPlatform.clear();
        fleet.cutPairs.clear();
        fleet.run(seconds(3));
        CPPUNIT_ASSERT(reportOf(fleet, "dc0").problem);
        const RevisionId next = first.applyUntilAccepted();
        assertInForce(fleet, next, InForceLimit);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.findRevert());
    }

    void reportListsTheLaggingHost()
    {
        FollowerFleet fleet(10, 2, 4);
        Operator op(fleet, 10);
        fleet.run(seconds(1));
        const RevisionId id = op.applyUntilAccepted();
        assertInForce(fleet, id, InForceLimit);
        fleet.run(seconds(2));
        const auto report = reportOf(fleet, "dc0");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), report.hosts.size());
        CPPUNIT_ASSERT(report.lagging.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), report.revision);
        // A host that membership still lists as live but that does not respond.
        FollowerFleet::Host *silent = nullptr;
        for (auto *host : fleet.liveHosts()) {
            if (host->id.dataCentre == "dc0" && !host->follower->reportDue())
                silent = host;
        }
        silent->isAlive = false;
        op.applyUntilAccepted();
        fleet.run(seconds(2));
        const auto later = reportOf(fleet, "dc0");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later.lagging.size());
        CPPUNIT_ASSERT_EQUAL(silent->id.host, later.lagging.front().host);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), later.lagging.front().revision);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), later.revision);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), later.highestRevision);
    }

    void malformedMessagesAreIgnored()
    {
        CPPUNIT_ASSERT(!decodeConfigurationMessage("nonsense"));
        ConfigurationMessage negative;
        negative.summary = wire::configuration::Summary{"x", -1};
        CPPUNIT_ASSERT(!decodeConfigurationMessage(encode(negative)));
        ConfigurationMessage message;
        message.whole = asWhole(Configuration::initial());
        const std::string bytes = encode(message);
        SeededRandom random(3);
        for (int i = 0; i < 2000; ++i) {
            std::string mutated = bytes;
            mutated[random.nextBelow(mutated.size())] = static_cast<char>(random.nextBelow(256));
            const auto decoded = decodeConfigurationMessage(mutated);
            CPPUNIT_ASSERT(decoded || !decoded.error().reason.empty());
        }
        FollowerFleet fleet(11, 1, 2);
        message.whole->revision = 9;
        message.whole->digest = "wrong";
        auto *host = fleet.liveHosts().front();
        host->follower->receive(fleet.liveHosts().back()->id, message);
        CPPUNIT_ASSERT_EQUAL(Revision(0), host->follower->held().revision);
        CPPUNIT_ASSERT(!host->follower->problem().empty());
    }

private:
    static wire::configuration::InForceReport reportOf(FollowerFleet &fleet,
                                                       const std::string &dataCentre)
    {
        for (auto *host : fleet.liveHosts()) {
            const auto report = host->follower->reportDue();
            if (host->id.dataCentre == dataCentre && report)
                return *report;
        }
        CPPUNIT_FAIL("no host of " + dataCentre + " reports");
        return {};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);
