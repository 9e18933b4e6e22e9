#include "fakes/eventually.h"
#include "peer/membershipservice.h"
#include "platform/httpplatform.h"
#include "platform/platformstandin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

using namespace anvilmill;
using namespace anvilmill::daemon;
using anvilmill::test::eventually;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MembershipServiceOptions shortIntervalOptions(std::vector<MembershipSeed> seeds)
{
    MembershipServiceOptions options;
    options.membership.heartbeatInterval = milliseconds(100);
    options.membership.suspectAfter = milliseconds(500);
    options.membership.roundInterval = milliseconds(100);
    options.membership.minRoundInterval = milliseconds(20);
    options.membership.leaseLength = milliseconds(1'000);
    options.membership.promiseLength = milliseconds(700);
    options.membership.summaryInterval = milliseconds(100);
    options.seeds = std::move(seeds);
    return options;
}

struct EntryHost
{
    EntryHost(const std::string &dataCentre, const std::string &name, const std::string &platform,
              std::vector<MembershipSeed> seeds = {})
        : store(platform)
        , transport({dataCentre, name, 1}, {}, clock)
        , service(shortIntervalOptions(std::move(seeds)), transport, store, &store, clock)
    {
        service.onViewChange([this](const View &) { ++viewChanges; });
        transport.start();
        service.start();
    }

    ~EntryHost()
    {
        service.stop();
        transport.stop();
    }

    [[nodiscard]] bool isOwnerInViewOf(std::size_t members) const
    {
        return service.mayActAsOwner() && service.currentView().members.size() == members;
    }

    [[nodiscard]] MembershipSeed asSeed() const
    {
        return {transport.self().dataCentre, transport.address()};
    }

    SystemClock clock;
    std::atomic<int> viewChanges{0};
    HttpPlatform store;
    PeerTransport transport;
    MembershipService service;
};

} // namespace

class MembershipServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipServiceTest);
    CPPUNIT_TEST(hostsAgreeOnViewAndReplaceFailedHost);
    CPPUNIT_TEST(viewStaysInForceDuringPlatformOutage);
    CPPUNIT_TEST(leavingHostIsRemovedFromView);
    CPPUNIT_TEST(peersAreDiscoveredFromHostList);
    CPPUNIT_TEST(dataCentresExchangeSummaries);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostsAgreeOnViewAndReplaceFailedHost()
    {
        const EntryHost first("bole", "a", m_platform.address());
        // On a busy machine, the others may otherwise be members of its first view already.
        CPPUNIT_ASSERT(eventually([&] { return first.isOwnerInViewOf(1); }));
        const EntryHost second("bole", "b", m_platform.address(), {first.asSeed()});
        {
            const EntryHost third("bole", "c", m_platform.address(), {first.asSeed()});
            CPPUNIT_ASSERT(eventually([&] {
                return first.isOwnerInViewOf(3) && second.isOwnerInViewOf(3)
                       && third.isOwnerInViewOf(3);
            }));
        }
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(2) && second.isOwnerInViewOf(2); }));
        const EntryHost replacement("bole", "d", m_platform.address(), {second.asSeed()});
        CPPUNIT_ASSERT(eventually(
                [&] { return first.isOwnerInViewOf(3) && replacement.isOwnerInViewOf(3); }));
        CPPUNIT_ASSERT(first.viewChanges >= 4);
        CPPUNIT_ASSERT_EQUAL(first.transport.address(),
                             replacement.service.addressOf(first.transport.self()));
    }

    void viewStaysInForceDuringPlatformOutage()
    {
        const EntryHost first("bole", "a", m_platform.address());
        const EntryHost second("bole", "b", m_platform.address(), {first.asSeed()});
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(2) && second.isOwnerInViewOf(2); }));
        m_platform.faults().isDown = true;
        std::this_thread::sleep_for(seconds(3));
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(2) && second.isOwnerInViewOf(2); }));
        m_platform.faults().isDown = false;
        const EntryHost third("bole", "c", m_platform.address(), {first.asSeed()});
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(3) && third.isOwnerInViewOf(3); }));
    }

    void leavingHostIsRemovedFromView()
    {
        const EntryHost first("bole", "a", m_platform.address());
        EntryHost second("bole", "b", m_platform.address(), {first.asSeed()});
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(2) && second.isOwnerInViewOf(2); }));
        CPPUNIT_ASSERT(second.service.leave(seconds(20)));
        CPPUNIT_ASSERT(!second.service.mayActAsOwner());
        CPPUNIT_ASSERT(eventually([&] { return first.isOwnerInViewOf(1); }));
    }

    void peersAreDiscoveredFromHostList()
    {
        const EntryHost first("bole", "a", m_platform.address());
        ListedHost listed;
        listed.role = ListedHost::Role::EntryHost;
        listed.dataCentre = "bole";
        listed.address = first.transport.address();
        m_platform.state().setHosts({listed});
        const EntryHost second("bole", "b", m_platform.address());
        CPPUNIT_ASSERT(
                eventually([&] { return first.isOwnerInViewOf(2) && second.isOwnerInViewOf(2); }));
    }

    void dataCentresExchangeSummaries()
    {
        const EntryHost first("bole", "a", m_platform.address());
        const EntryHost second("piassa", "p", m_platform.address(), {first.asSeed()});
        CPPUNIT_ASSERT(eventually([&] {
            return first.service.dataCentres().size() == 2
                   && second.service.dataCentres().size() == 2;
        }));
    }

private:
    SystemClock m_clock;
    PlatformStandIn m_platform{"127.0.0.1:0", m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipServiceTest);
