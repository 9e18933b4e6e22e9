#include "anvilmill/dispatch/coordinatordispatcher.h"
#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace anvilmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Slots = 4;
constexpr int Executors = 5;

/// Simulates entry hosts and executors in steps of one millisecond.
class Cluster
{
public:
    explicit Cluster(std::uint64_t seed)
        : m_random(seed)
    {
        m_clock.advance(seconds(1));
        for (int i = 0; i < Executors; ++i)
            m_executors.push_back({"executor" + std::to_string(i), Slots, {}, false});
    }

    void addHost(const std::string &name)
    {
        m_randoms.push_back(std::make_unique<SeededRandom>(m_randoms.size()));
        Host &host = m_hosts[name];
        host.dispatcher =
                makeCoordinatorDispatcher(m_clock, *m_randoms.back(), CoordinatorSettings{}, name);
        host.dispatcher->setExecutors(m_executors);
        changeMembers();
    }

    void removeHost(const std::string &name)
    {
        m_hosts.erase(name);
        changeMembers();
    }

    /// Every host adopts the new view after a random delay.
    void changeMembers()
    {
        ++m_epoch;
        m_members.clear();
        for (const auto &[name, host] : m_hosts)
            m_members.push_back(name);
        for (auto &[name, host] : m_hosts)
            host.adoptionTime = m_clock.now() + milliseconds(m_random.nextBelow(30));
    }

    void submit(const std::string &host, std::size_t tasks)
    {
        JobSpec spec;
        spec.service = "stock";
        spec.tasks.resize(tasks);
        const JobNumber job = m_nextJob++;
        CPPUNIT_ASSERT(!m_hosts.at(host).dispatcher->submit(job, spec));
        m_hosts.at(host).submitted += tasks;
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
    }

    void setLoss(double share) { m_loss = share; }
    void isolate(const std::string &host) { m_isolatedHost = host; }
    [[nodiscard]] std::string coordinator() const { return coordinatorOf(m_members); }
    [[nodiscard]] std::size_t done(const std::string &host) const
    {
        return m_hosts.at(host).done.size();
    }
    [[nodiscard]] std::size_t submitted(const std::string &host) const
    {
        return m_hosts.at(host).submitted;
    }
    [[nodiscard]] std::size_t refusals() const { return m_refusals; }
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t messages() const { return m_messages; }
    [[nodiscard]] std::vector<std::string> hosts() const { return m_members; }

private:
    struct Host
    {
        std::unique_ptr<PeerDispatcher> dispatcher;
        std::set<TaskRef> started;
        std::set<TaskRef> done;
        std::size_t submitted = 0;
        MonotonicTime adoptionTime;
        std::uint64_t epoch = 0;
    };
    struct Running
    {
        MonotonicTime end;
        std::string host;
        Start start;
        StartOutcome outcome;
    };
    struct Message
    {
        MonotonicTime arrival;
        std::string sender;
        PeerBatch batch;
    };

    void step()
    {
        m_clock.advance(milliseconds(1));
        endStarts();
        deliver();
        for (auto &[name, host] : m_hosts) {
            adoptMembers(host);
            startTasks(name, host);
            for (PeerBatch &batch : host.dispatcher->takeMessages())
                send(name, std::move(batch));
        }
    }

    void adoptMembers(Host &host) const
    {
        if (host.epoch == m_epoch || m_clock.now() < host.adoptionTime)
            return;
        host.epoch = m_epoch;
        host.dispatcher->setMembers(m_epoch, m_members);
    }

    void startTasks(const std::string &name, Host &host)
    {
        while (const auto start = host.dispatcher->nextStart()) {
            ++m_starts;
            CPPUNIT_ASSERT(host.started.insert(start->task).second);
            int &running = m_running[start->executor];
            const bool isFull = running >= Slots;
            m_refusals += isFull ? 1 : 0;
            running += isFull ? 0 : 1;
            const Duration length = milliseconds(isFull ? 1 : 10 + m_random.nextBelow(40));
            m_inFlight.push_back({m_clock.now() + length, name, *start,
                                  isFull ? StartOutcome::NotStarted : StartOutcome::Done});
        }
    }

    void endStarts()
    {
        std::vector<Running> left;
        for (const Running &running : m_inFlight) {
            if (running.end > m_clock.now()) {
                left.push_back(running);
                continue;
            }
            if (running.outcome == StartOutcome::Done)
                --m_running[running.start.executor];
            report(running);
        }
        m_inFlight = std::move(left);
    }

    void report(const Running &running)
    {
        const auto host = m_hosts.find(running.host);
        if (host == m_hosts.end())
            return;
        if (running.outcome == StartOutcome::Done)
            host->second.done.insert(running.start.task);
        else
            host->second.started.erase(running.start.task);
        host->second.dispatcher->recordOutcome(running.start, running.outcome);
    }

    void send(const std::string &sender, PeerBatch batch)
    {
        ++m_messages;
        const bool isLost = sender == m_isolatedHost || batch.receiver == m_isolatedHost;
        if (!isLost && m_random.nextUnit() >= m_loss)
            m_messageQueue.push_back({m_clock.now() + milliseconds(1), sender, std::move(batch)});
    }

    void deliver()
    {
        std::vector<Message> arrived = std::move(m_messageQueue);
        m_messageQueue.clear();
        for (Message &message : arrived) {
            const auto receiver = m_hosts.find(message.batch.receiver);
            if (receiver != m_hosts.end())
                receiver->second.dispatcher->receive(message.sender, message.batch.batch);
        }
    }

    ManualClock m_clock;
    SeededRandom m_random;
    std::vector<std::unique_ptr<SeededRandom>> m_randoms;
    std::vector<ExecutorInfo> m_executors;
    std::map<std::string, Host> m_hosts;
    std::vector<std::string> m_members;
    std::uint64_t m_epoch = 0;
    JobNumber m_nextJob = 1;
    std::map<std::string, int> m_running;
    std::vector<Running> m_inFlight;
    std::vector<Message> m_messageQueue;
    double m_loss = 0.0;
    std::string m_isolatedHost;
    std::size_t m_refusals = 0;
    std::size_t m_starts = 0;
    std::size_t m_messages = 0;
};

} // namespace

class DispatchCoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchCoordinatorTest);
    CPPUNIT_TEST(allTasksRunOnceWithoutRefusals);
    CPPUNIT_TEST(removedCoordinatorIsReplaced);
    CPPUNIT_TEST(newCoordinatorTakesOver);
    CPPUNIT_TEST(isolatedHostRunsItsTasks);
    CPPUNIT_TEST(lostMessagesStartNoTaskTwice);
    CPPUNIT_TEST(coordinatorIsReplacedOnlyIfItLeaves);
    CPPUNIT_TEST(invalidBatchesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_cluster = std::make_unique<Cluster>(11);
        for (const char *name : {"a", "b", "c"})
            m_cluster->addHost(name);
        m_cluster->run(200);
    }

    void allTasksRunOnceWithoutRefusals()
    {
        submitJobs(40);
        m_cluster->run(4000);
        expectAllDone();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->refusals());
    }

    void removedCoordinatorIsReplaced()
    {
        submitJobs(40);
        m_cluster->run(200);
        m_cluster->removeHost(m_cluster->coordinator());
        m_cluster->run(4000);
        expectAllDone();
    }

    void newCoordinatorTakesOver()
    {
        const std::string before = m_cluster->coordinator();
        submitJobs(40);
        m_cluster->run(200);
        for (int i = 0; m_cluster->coordinator() == before; ++i)
            m_cluster->addHost("new" + std::to_string(i));
        m_cluster->run(4000);
        expectAllDone();
    }

    void isolatedHostRunsItsTasks()
    {
        std::string isolated = m_cluster->coordinator() == "a" ? "b" : "a";
        m_cluster->isolate(isolated);
        submitJobs(10);
        m_cluster->run(4000);
        expectAllDone();
        m_cluster->isolate("");
        submitJobs(10);
        m_cluster->run(4000);
        expectAllDone();
    }

    /// Cluster::startTasks() asserts that a host starts a task again only after a refusal.
    void lostMessagesStartNoTaskTwice()
    {
        m_cluster->setLoss(0.2);
        for (int round = 0; round < 100; ++round) {
            submitJobs(9);
            m_cluster->run(100);
        }
        m_cluster->setLoss(0.0);
        m_cluster->run(8000);
        expectAllDone();
    }

    void coordinatorIsReplacedOnlyIfItLeaves()
    {
        std::vector<std::string> members = {"h1", "h2", "h3", "h4", "h5", "h6"};
        const std::string coordinator = coordinatorOf(members);
        for (const std::string &other : members) {
            std::vector<std::string> fewer;
            std::copy_if(members.begin(), members.end(), std::back_inserter(fewer),
                         [&](const std::string &name) { return name != other; });
            CPPUNIT_ASSERT((coordinatorOf(fewer) == coordinator) == (other != coordinator));
        }
    }

    void invalidBatchesAreIgnored()
    {
        ManualClock clock;
        SeededRandom random(1);
        std::string self = "self";
        while (coordinatorOf({self, "other"}) != self)
            self += "x";
        auto dispatcher = makeCoordinatorDispatcher(clock, random, CoordinatorSettings{}, self);
        dispatcher->setExecutors({{"executor", Slots, {}, false}});
        dispatcher->setMembers(7, {self, "other"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, grantsAfter(*dispatcher, clock, "other", 6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, grantsAfter(*dispatcher, clock, "stranger", 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             grantsAfter(*dispatcher, clock, "other", 7, 1'000'000'000'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grantsAfter(*dispatcher, clock, "other", 7));
    }

private:
    /// Returns the number of grants that the dispatcher sends after an offer of \p tasks tasks.
    static std::size_t grantsAfter(PeerDispatcher &dispatcher, ManualClock &clock,
                                   const std::string &sender, std::int64_t epoch,
                                   std::int64_t tasks = 1)
    {
        DispatchBatch batch;
        batch.epoch = epoch;
        batch.sequence = 1;
        batch.reset = true;
        wire::dispatch::JobOffer offer;
        offer.job = 1;
        offer.service = "stock";
        offer.taskCount = tasks;
        offer.urgent = false;
        offer.waitedUs = 0;
        batch.offers.emplace(1, offer);
        dispatcher.receive(sender, batch);
        CPPUNIT_ASSERT(!dispatcher.nextStart());
        clock.advance(milliseconds(100));
        std::size_t grants = 0;
        for (const PeerBatch &sent : dispatcher.takeMessages())
            grants += sent.batch.grants ? sent.batch.grants->size() : 0;
        return grants;
    }

    void submitJobs(int jobs)
    {
        const std::vector<std::string> hosts = m_cluster->hosts();
        for (int i = 0; i < jobs; ++i)
            m_cluster->submit(hosts[static_cast<std::size_t>(i) % hosts.size()],
                              1 + static_cast<std::size_t>(i) % 13);
    }

    void expectAllDone() const
    {
        for (const std::string &host : m_cluster->hosts())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(host, m_cluster->submitted(host), m_cluster->done(host));
    }

    std::unique_ptr<Cluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchCoordinatorTest);
