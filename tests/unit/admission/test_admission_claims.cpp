#include "smallcluster.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace anvilmill;
using namespace anvilmill::testing;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const std::string Key = "order-17";

/// A version 7 UUID with the current time of \p clock.
std::string timedKey(const Clock &clock)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock.wallNow().time_since_epoch());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (int shift = 44; shift >= 0; shift -= 4)
        hex += Digits[(static_cast<std::uint64_t>(millis.count()) >> static_cast<unsigned>(shift))
                      & 0xfU];
    return hex.substr(0, 8) + "-" + hex.substr(8) + "-7cc3-98c4-dc0c0c07398f";
}

} // namespace

class AdmissionClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionClaimsTest);
    CPPUNIT_TEST(oneHostIsGrantedAndOthersReceiveTheHolder);
    CPPUNIT_TEST(anotherBodyIsAConflict);
    CPPUNIT_TEST(aRefusedAttemptNeverRuns);
    CPPUNIT_TEST(onlyTheGrantedAttemptMayStart);
    CPPUNIT_TEST(aStartedAttemptIsNotRefused);
    CPPUNIT_TEST(aRevokedStartDoesNotCount);
    CPPUNIT_TEST(aHostMayNotStartAfterTheStartWindow);
    CPPUNIT_TEST(aTicketOfThisHostNeedsNoMessage);
    CPPUNIT_TEST(aTicketOfALostIssuerIsUncertain);
    CPPUNIT_TEST(aRefusedTicketOfALostIssuerIsUncertain);
    CPPUNIT_TEST(aTicketOlderThanTheRetentionIsUncertain);
    CPPUNIT_TEST(aClaimSurvivesTheLossOfAnyOneHost);
    CPPUNIT_TEST(opaqueKeysAreUncertainAfterTheLossOfTwoHosts);
    CPPUNIT_TEST(refusedKeysAreUncertainAfterTheLossOfTwoHosts);
    CPPUNIT_TEST(departedHostsThatTransferRecordsDontCountAsLost);
    CPPUNIT_TEST(aDirectoryWithoutLeaseDoesNotGrant);
    CPPUNIT_TEST(aClaimIsResentAfterALostReply);
    CPPUNIT_TEST(anUnansweredClaimIsUncertain);
    CPPUNIT_TEST(aFullTableRejectsNewSubmissions);
    CPPUNIT_TEST(recordsAreRemovedAfterTheRetention);
    CPPUNIT_TEST(aKeyWithAFutureIssueTimeIsUncertain);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneHostIsGrantedAndOthersReceiveTheHolder()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &runner = cluster.otherHost(Key);
        CPPUNIT_ASSERT(cluster.claim(runner, cluster.request(Key)).outcome
                       == ClaimOutcome::Granted);
        for (const auto &host : cluster.hosts) {
            const ClaimDecision decision = cluster.claim(*host, cluster.request(Key, 2));
            CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Held);
            CPPUNIT_ASSERT(decision.holder == runner.self);
        }
    }

    void anotherBodyIsAConflict()
    {
        SmallCluster cluster(4);
        (void)cluster.claim(cluster.otherHost(Key), cluster.request(Key));
        for (const auto &host : cluster.hosts) {
            const ClaimDecision decision = cluster.claim(*host, cluster.request(Key, 1, 8));
            CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Conflict);
        }
    }

    void aRefusedAttemptNeverRuns()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &refusing = cluster.otherHost(Key);
        const ClaimDecision refusal = cluster.refuse(refusing, cluster.request(Key, 2));
        CPPUNIT_ASSERT(refusal.verdict() == Verdict::NotRun);
        for (const auto &host : cluster.hosts)
            CPPUNIT_ASSERT(cluster.claim(*host, cluster.request(Key, 2)).outcome
                           == ClaimOutcome::Closed);
        CPPUNIT_ASSERT(cluster.claim(refusing, cluster.request(Key, 3)).outcome
                       == ClaimOutcome::Granted);
    }

    void onlyTheGrantedAttemptMayStart()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        (void)cluster.claim(host, cluster.request(Key, 1));
        (void)cluster.refuse(host, cluster.request(Key, 1));
        (void)cluster.claim(host, cluster.request(Key, 2));
        CPPUNIT_ASSERT(!host.admission.mayStart(cluster.request(Key, 1)));
        CPPUNIT_ASSERT(host.admission.mayStart(cluster.request(Key, 2)));
        CPPUNIT_ASSERT(!cluster.directoryOf(Key).admission.mayStart(cluster.request(Key, 2)));
    }

    void aStartedAttemptIsNotRefused()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        (void)cluster.claim(host, cluster.request(Key));
        CPPUNIT_ASSERT(host.admission.mayStart(cluster.request(Key)));
        for (const auto &any : cluster.hosts)
            CPPUNIT_ASSERT(cluster.refuse(*any, cluster.request(Key)).outcome
                           == ClaimOutcome::Held);
    }

    void aRevokedStartDoesNotCount()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        (void)cluster.claim(host, cluster.request(Key));
        CPPUNIT_ASSERT(host.admission.mayStart(cluster.request(Key)));
        host.admission.startRevoked(cluster.request(Key));
        CPPUNIT_ASSERT(cluster.refuse(host, cluster.request(Key)).outcome == ClaimOutcome::Closed);
        CPPUNIT_ASSERT(!host.admission.mayStart(cluster.request(Key)));
    }

    void aHostMayNotStartAfterTheStartWindow()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        (void)cluster.claim(host, cluster.request(Key));
        cluster.clock.advance(cluster.settings.startWindow - seconds(1));
        CPPUNIT_ASSERT(host.admission.mayStart(cluster.request(Key)));
        cluster.clock.advance(seconds(1));
        CPPUNIT_ASSERT(!host.admission.mayStart(cluster.request(Key)));
    }

    void aTicketOfThisHostNeedsNoMessage()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &issuer = *cluster.hosts.front();
        const std::string ticket = issuer.admission.issueTickets(1).front().asString();
        const std::uint64_t before = issuer.admission.status().messagesSent;
        CPPUNIT_ASSERT(cluster.claim(issuer, cluster.request(ticket)).outcome
                       == ClaimOutcome::Granted);
        CPPUNIT_ASSERT_EQUAL(before, issuer.admission.status().messagesSent);
        const ClaimDecision elsewhere = cluster.claim(*cluster.hosts[1], cluster.request(ticket));
        CPPUNIT_ASSERT(elsewhere.holder == issuer.self);
    }

    void aTicketOfALostIssuerIsUncertain()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &issuer = *cluster.hosts[0];
        const std::string unknown = issuer.admission.issueTickets(1).front().asString();
        const std::string running = issuer.admission.issueTickets(1).front().asString();
        (void)cluster.claim(*cluster.hosts[1], cluster.request(running));
        issuer.isAlive = false;
        cluster.adoptNewView();
        const ClaimDecision lost = cluster.claim(*cluster.hosts[2], cluster.request(unknown));
        CPPUNIT_ASSERT(lost.outcome == ClaimOutcome::Uncertain);
        const ClaimDecision held = cluster.claim(*cluster.hosts[2], cluster.request(running));
        CPPUNIT_ASSERT(held.holder == cluster.hosts[1]->self);
        CPPUNIT_ASSERT(cluster.hosts[1]->admission.mayStart(cluster.request(running)));
    }

    void aRefusedTicketOfALostIssuerIsUncertain()
    {
        // The issuer may have granted a later attempt to a host of another data centre.
        SmallCluster cluster(4);
        SmallCluster::Host &issuer = *cluster.hosts[0];
        const std::string ticket = issuer.admission.issueTickets(1).front().asString();
        SmallCluster::Host &refusing = *cluster.hosts[1];
        CPPUNIT_ASSERT(cluster.refuse(refusing, cluster.request(ticket)).outcome
                       == ClaimOutcome::Closed);
        issuer.isAlive = false;
        cluster.adoptNewView();
        for (std::size_t i = 1; i < 4; ++i) {
            CPPUNIT_ASSERT(cluster.refuse(*cluster.hosts[i], cluster.request(ticket, 2)).outcome
                           == ClaimOutcome::Uncertain);
            CPPUNIT_ASSERT(cluster.claim(*cluster.hosts[i], cluster.request(ticket, 1)).outcome
                           == ClaimOutcome::Uncertain);
        }
    }

    void aTicketOlderThanTheRetentionIsUncertain()
    {
        SmallCluster cluster(2);
        SmallCluster::Host &issuer = *cluster.hosts.front();
        const std::string ticket = issuer.admission.issueTickets(1).front().asString();
        cluster.advanceTime(cluster.settings.retention);
        CPPUNIT_ASSERT(cluster.claim(issuer, cluster.request(ticket)).outcome
                       == ClaimOutcome::Uncertain);
    }

    void aClaimSurvivesTheLossOfAnyOneHost()
    {
        for (std::size_t runner = 0; runner < 4; ++runner) {
            for (std::size_t lost = 0; lost < 4; ++lost) {
                SmallCluster cluster(4);
                (void)cluster.claim(*cluster.hosts[runner], cluster.request(Key));
                cluster.hosts[lost]->isAlive = false;
                cluster.adoptNewView();
                SmallCluster::Host &other = *cluster.hosts[lost == 3 ? 2 : 3];
                const ClaimDecision decision = cluster.claim(other, cluster.request(Key));
                CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Held);
                CPPUNIT_ASSERT(decision.holder == cluster.hosts[runner]->self);
                CPPUNIT_ASSERT(cluster.claim(other, cluster.request("new")).outcome
                               == ClaimOutcome::Granted);
            }
        }
    }

    void opaqueKeysAreUncertainAfterTheLossOfTwoHosts()
    {
        SmallCluster cluster(4);
        cluster.hosts[0]->isAlive = false;
        cluster.hosts[1]->isAlive = false;
        cluster.adoptNewView();
        SmallCluster::Host &host = *cluster.hosts[2];
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(Key)).outcome
                       == ClaimOutcome::Uncertain);
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(timedKey(cluster.clock))).outcome
                       == ClaimOutcome::Uncertain);
        cluster.advanceTime(3 * cluster.settings.clockError + seconds(1));
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(timedKey(cluster.clock))).outcome
                       == ClaimOutcome::Granted);
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(Key)).outcome
                       == ClaimOutcome::Uncertain);
        cluster.advanceTime(cluster.settings.retention);
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(Key)).outcome == ClaimOutcome::Granted);
    }

    void refusedKeysAreUncertainAfterTheLossOfTwoHosts()
    {
        // A later attempt may have been granted, and its record lost.
        SmallCluster cluster(4);
        const Placement::Hosts placed = cluster.placed(Key);
        SmallCluster::Host &refusing = cluster.otherHost(Key);
        (void)cluster.refuse(refusing, cluster.request(Key, 1));
        SmallCluster::Host &runner = *cluster.hosts[placed.backup];
        (void)cluster.claim(runner, cluster.request(Key, 2));
        runner.isAlive = false;
        cluster.directoryOf(Key).isAlive = false;
        cluster.adoptNewView();
        CPPUNIT_ASSERT(cluster.claim(refusing, cluster.request(Key, 2)).outcome
                       == ClaimOutcome::Uncertain);
        CPPUNIT_ASSERT(cluster.refuse(refusing, cluster.request(Key, 1)).outcome
                       == ClaimOutcome::Uncertain);
    }

    void departedHostsThatTransferRecordsDontCountAsLost()
    {
        SmallCluster cluster(6);
        SmallCluster::Host &runner = *cluster.hosts[0];
        (void)cluster.claim(runner, cluster.request(Key));
        ++cluster.view.epoch;
        cluster.view.members.erase(cluster.view.members.begin(), cluster.view.members.begin() + 3);
        for (const auto &host : cluster.hosts)
            host->admission.viewAdopted(cluster.view);
        cluster.deliver();
        SmallCluster::Host &other = *cluster.hosts[5];
        CPPUNIT_ASSERT(cluster.claim(other, cluster.request(Key)).holder == runner.self);
        CPPUNIT_ASSERT(cluster.claim(other, cluster.request("new")).outcome
                       == ClaimOutcome::Granted);
    }

    void aDirectoryWithoutLeaseDoesNotGrant()
    {
        SmallCluster cluster(4);
        cluster.directoryOf(Key).hasLease = false;
        SmallCluster::Host &host = cluster.otherHost(Key);
        CPPUNIT_ASSERT(cluster.claim(host, cluster.request(Key)).outcome
                       == ClaimOutcome::Uncertain);
        CPPUNIT_ASSERT(!host.admission.mayStart(cluster.request(Key)));
    }

    void aClaimIsResentAfterALostReply()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        ClaimDecision decision;
        host.admission.claim(cluster.request(Key),
                             [&](const ClaimDecision &result) { decision = result; });
        SmallCluster::Host &directory = cluster.directoryOf(Key);
        directory.admission.receive(host.self, cluster.messages.front().message);
        cluster.messages.clear();
        CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Uncertain);
        cluster.advanceTime(cluster.settings.resendInterval);
        CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Granted);
    }

    void anUnansweredClaimIsUncertain()
    {
        SmallCluster cluster(4);
        SmallCluster::Host &host = cluster.otherHost(Key);
        SmallCluster::Host &directory = cluster.directoryOf(Key);
        directory.isAlive = false;
        int calls = 0;
        host.admission.claim(cluster.request(Key), [&](const ClaimDecision &decision) {
            CPPUNIT_ASSERT(decision.outcome == ClaimOutcome::Uncertain);
            ++calls;
        });
        cluster.advanceTime(cluster.settings.claimTimeout);
        CPPUNIT_ASSERT_EQUAL(1, calls);
        // Once the directory is reachable again, the timed-out attempt is closed and a later
        // one can run.
        directory.isAlive = true;
        cluster.advanceTime(seconds(2));
        CPPUNIT_ASSERT(cluster.claim(*cluster.hosts[0], cluster.request(Key, 1)).outcome
                       == ClaimOutcome::Closed);
        CPPUNIT_ASSERT(cluster.claim(*cluster.hosts[0], cluster.request(Key, 2)).outcome
                       == ClaimOutcome::Granted);
    }

    void aFullTableRejectsNewSubmissions()
    {
        SmallCluster cluster(1);
        cluster.settings.maxRecords = 16;
        SmallCluster::Host &host = cluster.addHost();
        cluster.hosts.front()->isAlive = false;
        cluster.adoptNewView();
        int granted = 0;
        for (int i = 0; i < 200; ++i) {
            const std::string ticket = host.admission.issueTickets(1).front().asString();
            if (cluster.claim(host, cluster.request(ticket)).outcome == ClaimOutcome::Granted)
                ++granted;
        }
        CPPUNIT_ASSERT_EQUAL(16, granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, host.admission.status().records);
    }

    void recordsAreRemovedAfterTheRetention()
    {
        SmallCluster cluster(4);
        (void)cluster.claim(cluster.otherHost(Key), cluster.request(Key));
        cluster.advanceTime(cluster.settings.retention + seconds(1));
        for (const auto &host : cluster.hosts)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host->admission.status().records);
    }

    void aKeyWithAFutureIssueTimeIsUncertain()
    {
        SmallCluster cluster(4);
        ManualClock fast;
        fast.advance(2 * cluster.settings.clockError);
        CPPUNIT_ASSERT(cluster.claim(*cluster.hosts[0], cluster.request(timedKey(fast))).outcome
                       == ClaimOutcome::Uncertain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionClaimsTest);
