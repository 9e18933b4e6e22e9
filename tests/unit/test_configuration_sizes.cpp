#include "anvilmill/configuration/share.h"

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <vector>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int DataCentres = 3;
constexpr int HostsEach = 3;

struct SimulatedHost
{
    std::string name;
    int dataCentre = 0;
    int size = 0;
    int demand = 0;
    int running = 0;
    std::unique_ptr<ShareBorrower> borrower;
    bool isPaused = false;

    [[nodiscard]] SizeSplit split() const { return {size, DataCentres, dataCentre}; }
    [[nodiscard]] int floor() const { return split().hostFloor(); }
    [[nodiscard]] int leaseInUse() const { return std::max(0, running - floor()); }
    [[nodiscard]] int allowance() const { return floor() + borrower->held(split(), leaseInUse()); }
};

struct SimulatedCoordinator
{
    std::string name;
    int size = 0;
    std::unique_ptr<ShareRelay> relay;
};

/// Simulates one service over three data centres. Messages are delayed, lost and duplicated, and
/// data centres can be partitioned.
class SizeSimulation
{
public:
    /// Fault injection: new lenders ignore the unexpired leases of their predecessors.
    bool ignoresPredecessors = false;
    std::set<int> cutDataCentres;
    std::set<int> cutInside;
    double loss = 0.1;
    Duration maxDelay = milliseconds(400);

    SizeSimulation(std::uint64_t seed, int size)
        : m_random(seed)
    {
        for (int d = 0; d < DataCentres; ++d) {
            startCoordinator(d, size, true);
            for (int h = 0; h < HostsEach; ++h)
                addHost(d, h, size);
        }
        startHome(size, true);
    }

    ManualClock &clock() { return m_clock; }
    std::vector<SimulatedHost> &hosts() { return m_hosts; }

    void setSize(int size)
    {
        // The change reaches each process at a different time.
        for (auto &host : m_hosts)
            later(randomDelay(seconds(2)), [&host, size] { host.size = size; });
        for (auto &coordinator : m_coordinators) {
            later(randomDelay(seconds(2)), [this, &coordinator, size] {
                coordinator.size = size;
                updateSplits();
            });
        }
        later(randomDelay(seconds(2)), [this, size] {
            m_homeSize = size;
            updateSplits();
        });
    }

    void replaceHome() { startHome(m_homeSize, ignoresPredecessors); }
    void replaceCoordinator(int d)
    {
        startCoordinator(d, m_coordinators[d].size, ignoresPredecessors);
    }

    [[nodiscard]] int total() const
    {
        int sum = 0;
        for (const SimulatedHost &host : m_hosts)
            sum += host.allowance();
        return sum;
    }

    /// Returns the largest excess of the total over \p limit.
    int run(Duration length, int limit)
    {
        int excess = 0;
        const MonotonicTime end = m_clock.now() + length;
        while (m_clock.now() < end) {
            step();
            excess = std::max(excess, total() - limit);
        }
        return excess;
    }

private:
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void addHost(int d, int h, int size)
    {
        SimulatedHost host;
        host.name = "dc" + std::to_string(d) + "/host" + std::to_string(h);
        host.dataCentre = d;
        host.size = size;
        host.borrower = std::make_unique<ShareBorrower>(m_clock);
        m_hosts.push_back(std::move(host));
    }

    void startCoordinator(int d, int size, bool isFirst)
    {
        SimulatedCoordinator &coordinator = m_coordinators[d];
        coordinator.name = "coordinator" + std::to_string(++m_started);
        coordinator.size = size;
        coordinator.relay = std::make_unique<ShareRelay>(m_clock, ShareLenderOptions(), isFirst);
        updateSplits();
    }

    void startHome(int size, bool isFirst)
    {
        m_homeSize = size;
        m_home = std::make_unique<ShareLender>(m_clock, ShareLenderOptions::forHome(), isFirst);
        ++m_started;
        updateSplits();
    }

    void updateSplits()
    {
        for (int d = 0; d < DataCentres; ++d) {
            if (m_coordinators[d].relay)
                m_coordinators[d].relay->setSplit({m_coordinators[d].size, DataCentres, d});
        }
        const SizeSplit split(m_homeSize, DataCentres, 0);
        if (m_home)
            m_home->setPool(split, split.pool(), 0, MonotonicTime());
    }

    Duration randomDelay(Duration limit)
    {
        return std::chrono::duration_cast<Duration>(limit * m_random.nextUnit());
    }

    void later(Duration delay, std::function<void()> action)
    {
        m_events.push({m_clock.now() + delay, ++m_order, std::move(action)});
    }

    void transmit(const std::function<bool()> &isCut, const std::function<void()> &action)
    {
        const int copies = m_random.nextUnit() < 0.1 ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.nextUnit() >= loss)
                later(randomDelay(maxDelay), [=] {
                    if (!isCut())
                        action();
                });
        }
    }

    void step()
    {
        m_clock.advance(milliseconds(50));
        while (!m_events.empty() && m_events.top().at <= m_clock.now()) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        if (++m_steps % (ShareRenewInterval / milliseconds(50)) == 0)
            renewAll();
        for (SimulatedHost &host : m_hosts)
            runTasks(host);
    }

    /// Ends tasks at random and starts tasks up to the allowance.
    void runTasks(SimulatedHost &host)
    {
        if (host.running > 0 && m_random.nextUnit() < 0.3)
            host.running -= static_cast<int>(m_random.nextBelow(host.running + 1U) / 4);
        const int may = host.floor() + host.borrower->usable(host.split());
        host.running = std::max(host.running, std::min(host.demand, may));
    }

    void renewAll()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            renewHost(i);
        for (int d = 0; d < DataCentres; ++d)
            renewDataCentre(d);
    }

    void renewHost(std::size_t index)
    {
        SimulatedHost &host = m_hosts[index];
        const int d = host.dataCentre;
        const ShareRequest request =
                host.borrower->request(std::max(0, host.demand - host.floor()), host.leaseInUse());
        const auto isCut = [this, d] { return cutInside.count(d) > 0; };
        const std::string coordinator = m_coordinators[d].name;
        transmit(isCut, [=] {
            if (m_coordinators[d].name != coordinator)
                return;
            const auto grant = m_coordinators[d].relay->answer(m_hosts[index].name, request);
            if (grant)
                transmit(isCut, [=] { m_hosts[index].borrower->accept(*grant); });
        });
    }

    void renewDataCentre(int d)
    {
        const ShareRequest request = m_coordinators[d].relay->request();
        const auto isCut = [this, d] { return cutDataCentres.count(d) > 0; };
        const std::string coordinator = m_coordinators[d].name;
        transmit(isCut, [=] {
            const auto grant = m_home->answer(coordinator, request);
            if (!grant)
                return;
            transmit(isCut, [=] {
                if (m_coordinators[d].name == coordinator)
                    m_coordinators[d].relay->accept(*grant);
            });
        });
    }

    ManualClock m_clock;
    SeededRandom m_random;
    std::vector<SimulatedHost> m_hosts;
    SimulatedCoordinator m_coordinators[DataCentres];
    std::unique_ptr<ShareLender> m_home;
    int m_homeSize = 0;
    int m_started = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<Event> m_events;
};

/// Demand, partitions and replaced coordinators change at random; returns the largest excess.
int excessUnderFaults(std::uint64_t seed, bool ignoresPredecessors)
{
    constexpr int Size = 120;
    SeededRandom random(seed * 31);
    SizeSimulation sizes(seed, Size);
    sizes.ignoresPredecessors = ignoresPredecessors;
    int excess = 0;
    for (int round = 0; round < 30; ++round) {
        for (SimulatedHost &host : sizes.hosts())
            host.demand = static_cast<int>(random.nextBelow(3) * random.nextBelow(60));
        sizes.cutDataCentres.clear();
        sizes.cutInside.clear();
        if (random.nextBelow(2) == 0)
            sizes.cutDataCentres.insert(static_cast<int>(random.nextBelow(DataCentres)));
        if (random.nextBelow(3) == 0)
            sizes.cutInside.insert(static_cast<int>(random.nextBelow(DataCentres)));
        if (random.nextBelow(4) == 0)
            sizes.replaceHome();
        if (random.nextBelow(3) == 0)
            sizes.replaceCoordinator(static_cast<int>(random.nextBelow(DataCentres)));
        excess = std::max(excess, sizes.run(milliseconds(500 + random.nextBelow(5000)), Size));
    }
    return excess;
}

/// Also changes the size. The total must stay within the larger of the old and new size until all
/// processes have received the new one.
int excessWhileSizeChanges(std::uint64_t seed)
{
    constexpr Duration PropagationTime = seconds(2);
    SeededRandom random(seed * 77);
    int size = 120;
    SizeSimulation sizes(seed, size);
    int excess = 0;
    for (int round = 0; round < 20; ++round) {
        for (SimulatedHost &host : sizes.hosts())
            host.demand = static_cast<int>(random.nextBelow(3) * random.nextBelow(60));
        sizes.cutDataCentres = {static_cast<int>(random.nextBelow(DataCentres + 1U))};
        if (random.nextBelow(4) == 0)
            sizes.replaceHome();
        if (random.nextBelow(4) == 0)
            sizes.replaceCoordinator(static_cast<int>(random.nextBelow(DataCentres)));
        const int next = 1 + static_cast<int>(random.nextBelow(300));
        sizes.setSize(next);
        excess = std::max(excess, sizes.run(PropagationTime, std::max(size, next)));
        excess = std::max(excess, sizes.run(milliseconds(random.nextBelow(9000)), next));
        size = next;
    }
    return excess;
}

} // namespace

class SizesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SizesTest);
    CPPUNIT_TEST(floorsAndPoolsStayWithinTheSizeAndAreMonotonic);
    CPPUNIT_TEST(totalStaysWithinTheSizeUnderFaults);
    CPPUNIT_TEST(totalStaysWithinTheSizeWhileItChanges);
    CPPUNIT_TEST(lenderThatIgnoresItsPredecessorIsDetected);
    CPPUNIT_TEST(sharesFollowDemand);
    CPPUNIT_TEST(isolatedDataCentreFallsBackToItsFloor);
    CPPUNIT_TEST(sizeHalvedWhileTasksRun);
    CPPUNIT_TEST(homesAreStableAndDistributed);
    CPPUNIT_TEST_SUITE_END();

public:
    void floorsAndPoolsStayWithinTheSizeAndAreMonotonic()
    {
        const SizeSplitOptions options;
        for (int dataCentres = 1; dataCentres <= 15; ++dataCentres) {
            for (int size = 0; size < 2000; ++size) {
                int total = 0;
                for (int d = 0; d < dataCentres; ++d) {
                    const SizeSplit split(size, dataCentres, d);
                    const SizeSplit larger(size + 1, dataCentres, d);
                    total += split.hostFloor() * options.hostsPerDataCentre + split.hostPool();
                    CPPUNIT_ASSERT(larger.hostFloor() >= split.hostFloor());
                    CPPUNIT_ASSERT(larger.hostPool() >= split.hostPool());
                    CPPUNIT_ASSERT(larger.pool() >= split.pool());
                }
                total += SizeSplit(size, dataCentres, 0).pool();
                CPPUNIT_ASSERT(total <= size);
                CPPUNIT_ASSERT(total >= size - size / 20 - 1);
            }
        }
    }

    void totalStaysWithinTheSizeUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            CPPUNIT_ASSERT_EQUAL(0, excessUnderFaults(seed, false));
    }

    void totalStaysWithinTheSizeWhileItChanges()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            CPPUNIT_ASSERT_EQUAL(0, excessWhileSizeChanges(seed));
    }

    void lenderThatIgnoresItsPredecessorIsDetected()
    {
        int worst = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            worst = std::max(worst, excessUnderFaults(seed, true));
        CPPUNIT_ASSERT(worst > 0);
    }

    void sharesFollowDemand()
    {
        SizeSimulation sizes(1, 120);
        sizes.loss = 0;
        sizes.hosts()[0].demand = 200;
        CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(15), 120));
        // The whole pool and the floor of the host's own data centre.
        CPPUNIT_ASSERT(sizes.hosts()[0].allowance() >= 60 + 18);
        for (SimulatedHost &host : sizes.hosts())
            host.demand = 200;
        CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(30), 120));
        for (const SimulatedHost &host : sizes.hosts())
            CPPUNIT_ASSERT(host.allowance() >= 9);
    }

    void isolatedDataCentreFallsBackToItsFloor()
    {
        SizeSimulation sizes(2, 120);
        sizes.loss = 0;
        for (SimulatedHost &host : sizes.hosts())
            host.demand = 200;
        CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(15), 120));
        sizes.cutDataCentres.insert(1);
        CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(15), 120));
        int cut = 0;
        int others = 0;
        for (const SimulatedHost &host : sizes.hosts())
            (host.dataCentre == 1 ? cut : others) += host.floor() + usable(host);
        const SizeSplit split(120, DataCentres, 1);
        CPPUNIT_ASSERT(cut > 0 && cut <= split.hostPool() + HostsEach * split.hostFloor());
        // The others received the share that the isolated data centre lost.
        CPPUNIT_ASSERT(others >= 60 + 2 * split.hostPool() - HostsEach * 2);
    }

    void sizeHalvedWhileTasksRun()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SizeSimulation sizes(seed, 240);
            sizes.loss = 0;
            for (SimulatedHost &host : sizes.hosts())
                host.demand = 100;
            CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(15), 240));
            CPPUNIT_ASSERT(sizes.total() >= 200);
            sizes.setSize(120);
            int lowest = sizes.total();
            for (int i = 0; i < 40; ++i) {
                CPPUNIT_ASSERT_EQUAL(0, sizes.run(milliseconds(100), 240));
                lowest = std::min(lowest, sizes.total());
            }
            // All processes receive the new size within two seconds; it applies immediately then.
            CPPUNIT_ASSERT_EQUAL(0, sizes.run(seconds(20), 120));
            // At least 70 % of the new size stays usable throughout; the floors alone are 50 %.
            CPPUNIT_ASSERT_MESSAGE("shares must not collapse", lowest >= 84);
            CPPUNIT_ASSERT(sizes.total() >= 100);
        }
    }

    void homesAreStableAndDistributed()
    {
        const std::vector<std::string> all = {"bole", "piassa", "kazanchis", "merkato"};
        std::set<std::string> homes;
        for (int i = 0; i < 40; ++i) {
            const std::string service = "service-" + std::to_string(i);
            const std::string home = homeOf(service, all);
            homes.insert(home);
            CPPUNIT_ASSERT_EQUAL(home, homeOf(service, {all[3], all[1], all[0], all[2]}));
        }
        CPPUNIT_ASSERT_EQUAL(all.size(), homes.size());
    }

private:
    static int usable(const SimulatedHost &host) { return host.borrower->usable(host.split()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SizesTest);
