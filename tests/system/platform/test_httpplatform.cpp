#include "anvilmill/clock.h"
#include "anvilmill/platform/putresolved.h"
#include "platform/httpplatform.h"
#include "platform/platformstandin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace anvilmill;
using namespace anvilmill::daemon;

namespace {

constexpr Duration Timeout = std::chrono::seconds(10);

} // namespace

class HttpPlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpPlatformTest);
    CPPUNIT_TEST(writesByCompareAndSwap);
    CPPUNIT_TEST(keysMayContainAnyCharacter);
    CPPUNIT_TEST(largestValueIsAccepted);
    CPPUNIT_TEST(lostReplyIsUnknownAndResolved);
    CPPUNIT_TEST(rejectionAndMissingServerAreUnreachable);
    CPPUNIT_TEST(timeoutIsUnknown);
    CPPUNIT_TEST(watchReturnsOnChange);
    CPPUNIT_TEST(watchTimesOutUnchanged);
    CPPUNIT_TEST(leasesAreRenewedInBatches);
    CPPUNIT_TEST(restoredSnapshotHasOlderContents);
    CPPUNIT_TEST(hostListIsFilteredByDataCentre);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesByCompareAndSwap()
    {
        CPPUNIT_ASSERT(!m_platform.get("key", Timeout).entry);
        const StoreReply first = m_platform.put({"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(first.isDone());
        const StoreReply second = m_platform.put({"key", "b", NoVersion, "c2"}, Timeout);
        CPPUNIT_ASSERT(second.outcome == CallOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), second.entry->value);
        CPPUNIT_ASSERT(m_platform.put({"key", "b", first.entry->version, "c2"}, Timeout).isDone());
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), m_platform.get("key", Timeout).entry->changeId);
    }

    void keysMayContainAnyCharacter()
    {
        const std::string key = "view/bole ?#&=+%\xc3\xa9";
        CPPUNIT_ASSERT(m_platform.put({key, "a", NoVersion, "c1"}, Timeout).isDone());
        CPPUNIT_ASSERT_EQUAL(key, m_platform.get(key, Timeout).entry->key);
    }

    void largestValueIsAccepted()
    {
        const std::string value(MaxStoreValueSize, 'x');
        CPPUNIT_ASSERT(m_platform.put({"key", value, NoVersion, "c1"}, Timeout).isDone());
        CPPUNIT_ASSERT(m_platform.get("key", Timeout).entry->value == value);
        const StoreReply refused = m_platform.put({"key", value + "x", 1, "c2"}, Timeout);
        CPPUNIT_ASSERT(refused.outcome == CallOutcome::Unreachable);
    }

    void lostReplyIsUnknownAndResolved()
    {
        m_standIn.faults().repliesToLose = 1;
        const StorePut change{"key", "a", NoVersion, "c1"};
        CPPUNIT_ASSERT(m_platform.put(change, Timeout).outcome == CallOutcome::Unknown);
        CPPUNIT_ASSERT(putResolved(m_platform, change, Timeout).isDone());
        CPPUNIT_ASSERT_EQUAL(StoreVersion{1}, m_platform.get("key", Timeout).entry->version);
    }

    void rejectionAndMissingServerAreUnreachable()
    {
        m_standIn.faults().isDown = true;
        const StoreReply refused = m_platform.put({"key", "a", NoVersion, "c1"}, Timeout);
        CPPUNIT_ASSERT(refused.outcome == CallOutcome::Unreachable);
        m_standIn.faults().isDown = false;
        CPPUNIT_ASSERT(!m_platform.get("key", Timeout).entry);

        std::string unused;
        {
            const PlatformStandIn gone("127.0.0.1:0", m_clock);
            unused = gone.address();
        }
        HttpPlatform nowhere(unused);
        CPPUNIT_ASSERT(nowhere.get("key", Timeout).outcome == CallOutcome::Unreachable);
    }

    void timeoutIsUnknown()
    {
        m_standIn.faults().answerDelay = Duration(std::chrono::milliseconds(400)).count();
        const StoreReply reply =
                m_platform.put({"key", "a", NoVersion, "c1"}, std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(reply.outcome == CallOutcome::Unknown);
        m_standIn.faults().answerDelay = 0;
        CPPUNIT_ASSERT(m_platform.get("other", Timeout).isDone());
    }

    void watchReturnsOnChange()
    {
        std::thread writer([this] {
            CPPUNIT_ASSERT(m_platform.put({"key", "a", NoVersion, "c1"}, Timeout).isDone());
        });
        const StoreReply reply = m_platform.watch("key", NoVersion, Timeout);
        writer.join();
        CPPUNIT_ASSERT(reply.isDone());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), reply.entry->value);
    }

    void watchTimesOutUnchanged()
    {
        const StoreReply reply = m_platform.watch("key", NoVersion, std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(reply.outcome == CallOutcome::Unchanged);
    }

    void leasesAreRenewedInBatches()
    {
        const Duration length = std::chrono::hours(1);
        const LeaseId first = m_platform.grantLease("a", length, Timeout).held.at(0);
        const LeaseId second = m_platform.grantLease("b", length, Timeout).held.at(0);
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(m_platform.releaseLease(second, Timeout).isDone());
        const LeaseReply renewed = m_platform.renewLeases({first, second}, Timeout);
        CPPUNIT_ASSERT(renewed.held == std::vector<LeaseId>{first});
        CPPUNIT_ASSERT(renewed.lapsed == std::vector<LeaseId>{second});
        CPPUNIT_ASSERT(m_platform.queryLeases({first}, Timeout).held.size() == 1);
    }

    void restoredSnapshotHasOlderContents()
    {
        CPPUNIT_ASSERT(m_platform.put({"key", "a", NoVersion, "c1"}, Timeout).isDone());
        m_standIn.state().saveSnapshot();
        CPPUNIT_ASSERT(m_platform.put({"key", "b", 1, "c2"}, Timeout).isDone());
        m_standIn.state().restoreSnapshot();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_platform.get("key", Timeout).entry->value);
    }

    void hostListIsFilteredByDataCentre()
    {
        ListedHost executor;
        executor.state = ListedHost::State::Leaving;
        executor.dataCentre = "bole";
        executor.name = "127.0.0.1:9000";
        executor.slots = 8;
        executor.services = {"quotes"};
        ListedHost entryHost;
        entryHost.role = ListedHost::Role::EntryHost;
        entryHost.dataCentre = "piassa";
        m_standIn.state().setHosts({executor, entryHost});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_platform.hosts("", Timeout).hosts.size());
        const HostListReply reply = m_platform.hosts("bole", Timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.hosts.size());
        CPPUNIT_ASSERT(reply.hosts[0].state == ListedHost::State::Leaving);
        CPPUNIT_ASSERT_EQUAL(8, reply.hosts[0].slots);
        CPPUNIT_ASSERT(reply.hosts[0].services == executor.services);
    }

private:
    SystemClock m_clock;
    PlatformStandIn m_standIn{"127.0.0.1:0", m_clock};
    HttpPlatform m_platform{m_standIn.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPlatformTest);
