#include "batch/hostregistry.h"
#include "fakes/fakeasyncstore.h"
#include "fakes/loopwait.h"
#include "loop/timerqueue.h"

#include "anvilmill/randomsource.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::tests::FakeAsyncStore;
using anvilmill::tests::FakeStoreContents;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Prefix = RegistrySettings{}.prefix;

std::string entryOf(int number)
{
    return R"({"dataCentre":"dc","peerAddress":"127.0.0.1:)" + std::to_string(number)
           + R"(","incarnation":1,"isLeaving":false})";
}

} // namespace

/// Tests the membership that a host derives from the entries of the other hosts.
class HostRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostRegistryTest);
    CPPUNIT_TEST(entriesOfHostsThatStartTogetherAreBatched);
    CPPUNIT_TEST(membershipFollowsTheEntries);
    CPPUNIT_TEST(malformedEntryAddsNoHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<boost::asio::io_context>(1);
        m_timers = std::make_unique<TimerQueue>(*m_loop, m_clock);
        m_contents = std::make_shared<FakeStoreContents>();
        m_contents->put(Prefix + "first", entryOf(1));
        m_store = std::make_unique<FakeAsyncStore>(*m_timers, m_contents);
        m_memberships.clear();
        m_registry = std::make_unique<HostRegistry>(
                *m_store, *m_timers, m_clock, m_random, RegistrySettings{},
                PeerHost{"self", "dc", "127.0.0.1:9", false}, 1,
                [this](const HostMembership &membership) { m_memberships.push_back(membership); });
        m_registry->start();
        waitFor([this] { return hosts() == 1; });
    }

    void tearDown() override
    {
        m_registry.reset();
        m_store.reset();
        m_timers->clear();
        m_timers.reset();
        m_loop.reset();
    }

    // Load pattern: 300 hosts write their entries as they start after a power failure. When entries
    // were applied one by one, each host computed dozens of memberships a second, for 3,000
    // executors each.
    void entriesOfHostsThatStartTogetherAreBatched()
    {
        m_memberships.clear();
        const MonotonicTime began = m_clock.now();
        for (int i = 2; i <= 150; ++i) {
            m_contents->put(Prefix + "host" + std::to_string(i), entryOf(i));
            m_loop->run_for(milliseconds(4));
        }
        waitFor([this] { return hosts() == 150; });
        const auto maxMemberships = (m_clock.now() - began) / milliseconds(100) + 2;
        CPPUNIT_ASSERT(static_cast<long>(m_memberships.size()) <= maxMemberships);
    }

    void membershipFollowsTheEntries()
    {
        m_contents->put(Prefix + "second", entryOf(2));
        waitFor([this] { return hosts() == 2; });
        m_contents->put(Prefix + "second", entryOf(3));
        waitFor([this] { return m_memberships.back().hosts.back().peerAddress == "127.0.0.1:3"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts());
        m_contents->remove(Prefix + "first");
        waitFor([this] { return hosts() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string("second"), m_memberships.back().hosts.front().name);
    }

    void malformedEntryAddsNoHost()
    {
        m_contents->put(Prefix + "second", "{\"dataCentre\":7}");
        m_contents->put(Prefix + "third", entryOf(3));
        waitFor([this] { return hosts() == 2; });
        m_contents->put(Prefix + "third", "\xff");
        waitFor([this] { return hosts() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), m_memberships.back().hosts.front().name);
    }

private:
    [[nodiscard]] std::size_t hosts() const
    {
        return m_memberships.empty() ? 0 : m_memberships.back().hosts.size();
    }

    template <typename Condition>
    void waitFor(Condition isMet)
    {
        CPPUNIT_ASSERT(tests::runUntil(*m_loop, isMet, seconds(10)));
    }

    SystemClock m_clock;
    SeededRandom m_random{7};
    std::unique_ptr<boost::asio::io_context> m_loop;
    std::unique_ptr<TimerQueue> m_timers;
    std::shared_ptr<FakeStoreContents> m_contents;
    std::unique_ptr<FakeAsyncStore> m_store;
    std::unique_ptr<HostRegistry> m_registry;
    std::vector<HostMembership> m_memberships;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostRegistryTest);
