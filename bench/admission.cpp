// Compares strategies that prevent a submission from running twice: messages and round trips per
// job, duplicate starts and submissions of unknown state after the loss of one or two hosts. Then
// measures admissions per second on one core, memory per record, handover, contention and
// cancellation.
//
// Usage: bench_admission [SEED]

#include "../tests/unit/admission/smallcluster.h"
#include "anvilmill/admission/jobtable.h"
#include "anvilmill/randomsource.h"

#include <malloc.h>

#include <array>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <unordered_map>

using namespace anvilmill;
using anvilmill::testing::SmallCluster;

namespace {

constexpr std::size_t Hosts = 8;
constexpr std::size_t Jobs = 40'000;
constexpr std::size_t InFlightJobs = 4'000;
constexpr std::size_t NewKeys = 4'000;
constexpr std::size_t Records = 200'000;
constexpr std::size_t PayloadBytes = 2'000;

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::size_t allocatedHeapBytes()
{
    return mallinfo2().uordblks;
}

/// Result of a submission.
struct SubmitResult
{
    enum class Kind { Runs, HeldBy, Unknown };

    Kind kind = Kind::Unknown;
    std::size_t host = 0;
};

/// Decides which host runs a submission.
class AdmissionStrategy
{
public:
    virtual ~AdmissionStrategy() = default;

    [[nodiscard]] virtual const char *name() const = 0;
    /// Creates the key of a new submission that \p host receives.
    [[nodiscard]] virtual std::string newKey(std::size_t host, std::size_t number)
    {
        (void)host;
        return "order-" + std::to_string(number);
    }
    [[nodiscard]] virtual SubmitResult submit(std::size_t host, const std::string &key) = 0;
    virtual void kill(const std::set<std::size_t> &hosts) = 0;

    [[nodiscard]] double messages() const { return m_messages; }
    [[nodiscard]] double roundTrips() const { return m_roundTrips; }
    [[nodiscard]] double bytes() const { return m_bytes; }

protected:
    double m_messages = 0;
    double m_roundTrips = 0;
    double m_bytes = 0;
};

/// Each host detects only resubmissions of what it received itself.
class TablePerHost final : public AdmissionStrategy
{
public:
    [[nodiscard]] const char *name() const override { return "table per host"; }
    [[nodiscard]] SubmitResult submit(std::size_t host, const std::string &key) override
    {
        const bool isNew = m_tables[host].insert(key).second;
        return {isNew ? SubmitResult::Kind::Runs : SubmitResult::Kind::HeldBy, host};
    }
    void kill(const std::set<std::size_t> &hosts) override
    {
        for (const std::size_t host : hosts)
            m_tables[host].clear();
    }

private:
    std::vector<std::set<std::string>> m_tables{Hosts};
};

/// The first live host in rendezvous order owns the key, and the whole job is forwarded to it. With
/// copies, the owner replicates the record to the next host in order before the first start.
class OwnerForwarding final : public AdmissionStrategy
{
public:
    explicit OwnerForwarding(bool hasCopies)
        : m_hasCopies(hasCopies)
    {
        for (std::size_t i = 0; i < Hosts; ++i)
            m_view.members.push_back({"bole", "host" + std::to_string(i), 1});
        m_placement = std::make_unique<Placement>(m_view);
    }

    [[nodiscard]] const char *name() const override
    {
        return m_hasCopies ? "owner forwarding + copy" : "owner forwarding";
    }

    [[nodiscard]] SubmitResult submit(std::size_t host, const std::string &key) override
    {
        const Placement::Hosts placed = m_placement->hostsOf(fingerprintOf(key, {1, 2}));
        const std::size_t owner = indexOf(placed.directory);
        if (owner != host) {
            m_messages += 2;
            m_roundTrips += 1;
            m_bytes += 2.0 * PayloadBytes;
        }
        const auto known = m_tables[owner].find(key);
        if (known != m_tables[owner].end())
            return {SubmitResult::Kind::HeldBy, known->second};
        // After the loss of all records, the new owner can't distinguish a first submission from a
        // resubmission.
        if (m_lostHostCount > (m_hasCopies ? 1 : 0) && m_lostOwners.count(firstOwner(key)) > 0)
            return {};
        m_tables[owner][key] = owner;
        if (m_hasCopies) {
            m_messages += 2;
            m_roundTrips += 1;
            m_tables[indexOf(placed.backup)][key] = owner;
        }
        return {SubmitResult::Kind::Runs, owner};
    }

    void kill(const std::set<std::size_t> &hosts) override
    {
        m_originalPlacement = std::make_unique<Placement>(m_view);
        View next{m_view.epoch + 1, {}};
        for (std::size_t i = 0; i < Hosts; ++i) {
            if (hosts.count(i) == 0)
                next.members.push_back(m_view.members[i]);
            else
                m_tables[i].clear();
        }
        m_lostHostCount = hosts.size();
        m_lostOwners = hosts;
        m_placement = std::make_unique<Placement>(next);
    }

private:
    [[nodiscard]] std::size_t indexOf(std::size_t member) const
    {
        const HostIncarnation &host = m_placement->member(member);
        return static_cast<std::size_t>(std::stoul(host.host.substr(4)));
    }
    [[nodiscard]] std::size_t firstOwner(const std::string &key) const
    {
        return m_originalPlacement->hostsOf(fingerprintOf(key, {1, 2})).directory;
    }

    bool m_hasCopies;
    View m_view{1, {}};
    std::unique_ptr<Placement> m_placement;
    std::unique_ptr<Placement> m_originalPlacement;
    std::size_t m_lostHostCount = 0;
    std::set<std::size_t> m_lostOwners;
    std::vector<std::unordered_map<std::string, std::size_t>> m_tables{Hosts};
};

/// The Admission class of the library, with keys of one kind.
class ClaimStrategy final : public AdmissionStrategy
{
public:
    enum class KeyKind { OwnTickets, FetchedTickets, Opaque, Timed };

    explicit ClaimStrategy(KeyKind keyKind)
        : m_keyKind(keyKind)
        , m_cluster(Hosts)
    {
    }

    [[nodiscard]] const char *name() const override
    {
        switch (m_keyKind) {
        case KeyKind::OwnTickets:
            return "tickets, issued on arrival";
        case KeyKind::FetchedTickets:
            return "tickets, fetched before";
        case KeyKind::Opaque:
            return "claims, opaque keys";
        case KeyKind::Timed:
            return "claims, timed keys";
        }
        return "";
    }

    [[nodiscard]] std::string newKey(std::size_t host, std::size_t number) override
    {
        if (m_keyKind == KeyKind::Opaque)
            return "order-" + std::to_string(number);
        if (m_keyKind == KeyKind::Timed)
            return timedKey(number);
        const std::size_t issuer = m_keyKind == KeyKind::OwnTickets ? host : liveHost(number);
        return m_cluster.hosts[issuer]->admission.issueTickets(1).front().asString();
    }

    [[nodiscard]] SubmitResult submit(std::size_t host, const std::string &key) override
    {
        const std::uint64_t before = sent();
        const ClaimDecision decision =
                m_cluster.claim(*m_cluster.hosts[host], m_cluster.request(key));
        m_messages += static_cast<double>(sent() - before);
        m_roundTrips += static_cast<double>(sent() - before) / 2;
        if (decision.outcome == ClaimOutcome::Granted)
            return {SubmitResult::Kind::Runs, host};
        if (decision.outcome == ClaimOutcome::Held)
            return {SubmitResult::Kind::HeldBy, m_cluster.indexOf(decision.holder)};
        return {};
    }

    void kill(const std::set<std::size_t> &hosts) override
    {
        for (const std::size_t host : hosts)
            m_cluster.hosts[host]->isAlive = false;
        m_cluster.adoptNewView();
        // Keys issued after this time are distinguishable from keys whose records were lost.
        m_cluster.passTime(4 * m_cluster.settings.clockError);
    }

private:
    [[nodiscard]] std::string timedKey(std::size_t number) const
    {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_cluster.clock.wallNow().time_since_epoch());
        std::array<char, 64> text{};
        const auto value = static_cast<unsigned long long>(millis.count());
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012zx", value >> 16U,
                      value & 0xffffU, number);
        return text.data();
    }
    [[nodiscard]] std::size_t liveHost(std::size_t number) const
    {
        std::size_t host = number % Hosts;
        while (!m_cluster.hosts[host]->isAlive)
            host = (host + 1) % Hosts;
        return host;
    }
    [[nodiscard]] std::uint64_t sent() const
    {
        std::uint64_t sum = 0;
        for (const auto &host : m_cluster.hosts)
            sum += host->admission.status().messagesSent;
        return sum;
    }

    KeyKind m_keyKind;
    SmallCluster m_cluster;
};

struct StrategyFigures
{
    double messagesPerJob = 0;
    double roundTripsPerJob = 0;
    double bytesPerJob = 0;
    std::size_t doubleStarts = 0;
    std::size_t inFlightOnLostHosts = 0;
    std::size_t unknown = 0;
    std::size_t newUnknown = 0;
};

std::size_t liveHost(SeededRandom &random, const std::set<std::size_t> &dead)
{
    std::size_t host = random.nextBelow(Hosts);
    while (dead.count(host) > 0)
        host = random.nextBelow(Hosts);
    return host;
}

StrategyFigures measure(AdmissionStrategy &strategy, std::uint64_t seed,
                        const std::set<std::size_t> &dead)
{
    SeededRandom random(seed);
    std::vector<std::pair<std::string, std::size_t>> inFlight;
    for (std::size_t i = 0; i < Jobs; ++i) {
        const std::size_t host = random.nextBelow(Hosts);
        const std::string key = strategy.newKey(host, i);
        const SubmitResult result = strategy.submit(host, key);
        if (i + InFlightJobs >= Jobs)
            inFlight.emplace_back(key, result.host);
    }
    StrategyFigures figures;
    figures.messagesPerJob = strategy.messages() / Jobs;
    figures.roundTripsPerJob = strategy.roundTrips() / Jobs;
    figures.bytesPerJob = strategy.bytes() / Jobs;
    strategy.kill(dead);
    for (const auto &[key, runner] : inFlight) {
        figures.inFlightOnLostHosts += dead.count(runner);
        const SubmitResult result = strategy.submit(liveHost(random, dead), key);
        if (result.kind == SubmitResult::Kind::Runs)
            ++figures.doubleStarts;
        else if (result.kind == SubmitResult::Kind::Unknown || dead.count(result.host) > 0)
            ++figures.unknown;
    }
    for (std::size_t i = 0; i < NewKeys; ++i) {
        const std::size_t host = liveHost(random, dead);
        if (strategy.submit(host, strategy.newKey(host, Jobs + i)).kind
            == SubmitResult::Kind::Unknown)
            ++figures.newUnknown;
    }
    return figures;
}

template <typename MakeStrategy>
void printStrategy(MakeStrategy makeStrategy, std::uint64_t seed)
{
    const auto first = makeStrategy();
    const StrategyFigures one = measure(*first, seed, {0});
    const auto second = makeStrategy();
    const StrategyFigures two = measure(*second, seed, {0, 1});
    std::printf("%-27s %6.2f %6.2f %7.0f | %6zu %6zu %6zu %6zu | %6zu %6zu %6zu %6zu\n",
                first->name(), one.messagesPerJob, one.roundTripsPerJob, one.bytesPerJob,
                one.doubleStarts, one.inFlightOnLostHosts, one.unknown, one.newUnknown,
                two.doubleStarts, two.inFlightOnLostHosts, two.unknown, two.newUnknown);
}

void printStrategies(std::uint64_t seed)
{
    std::printf("%zu hosts, %zu jobs, of which the last %zu are in flight when host 0, or hosts 0 "
                "and 1, fail;\neach of these is sent again through a live host, then %zu new jobs. "
                "Forwarded jobs have %zu bytes each way.\n",
                Hosts, Jobs, InFlightJobs, NewKeys, PayloadBytes);
    std::printf("%-27s %-21s | %-27s | %s\n", "", "per job", "one host fails", "two hosts fail");
    std::printf("%-27s %6s %6s %7s | %6s %6s %6s %6s | %6s %6s %6s %6s\n", "strategy", "msgs",
                "trips", "payload", "double", "onDead", "lost", "newUnk", "double", "onDead",
                "lost", "newUnk");
    printStrategy([] { return std::make_unique<TablePerHost>(); }, seed);
    printStrategy([] { return std::make_unique<OwnerForwarding>(false); }, seed);
    printStrategy([] { return std::make_unique<OwnerForwarding>(true); }, seed);
    for (const ClaimStrategy::KeyKind keyKind :
         {ClaimStrategy::KeyKind::OwnTickets, ClaimStrategy::KeyKind::FetchedTickets,
          ClaimStrategy::KeyKind::Opaque, ClaimStrategy::KeyKind::Timed})
        printStrategy([keyKind] { return std::make_unique<ClaimStrategy>(keyKind); }, seed);
}

/// Creates requests with tickets of host 0 or with opaque keys.
std::vector<SubmissionRequest> requestsFor(SmallCluster &cluster, std::size_t count,
                                           bool usesTickets)
{
    std::vector<SubmissionRequest> requests;
    requests.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        Admission &issuer = cluster.hosts[0]->admission;
        requests.push_back(cluster.request(usesTickets ? issuer.issueTickets(1).front().asString()
                                                       : "order-" + std::to_string(i)));
    }
    return requests;
}

void printThroughput()
{
    std::printf("\nadmissions/s on one core, decision code of all hosts, without encoding "
                "(target 200000)\n");
    for (const bool usesTickets : {true, false}) {
        SmallCluster cluster(usesTickets ? 1 : Hosts);
        const std::vector<SubmissionRequest> requests =
                requestsFor(cluster, Records / 2, usesTickets);
        const auto start = std::chrono::steady_clock::now();
        std::size_t granted = 0;
        for (std::size_t i = 0; i < requests.size(); ++i) {
            cluster.hosts[i % cluster.hosts.size()]->admission.claim(
                    requests[i], [&](const ClaimDecision &decision) {
                        granted += decision.outcome == ClaimOutcome::Granted ? 1 : 0;
                    });
            cluster.deliver();
        }
        std::printf("  %-28s %9.0f\n", usesTickets ? "own tickets" : "opaque keys, 8 hosts",
                    static_cast<double>(granted) / secondsSince(start));
    }
}

void printMemory()
{
    std::printf("\nbytes per remembered submission at %zu records (target 200)\n", Records);
    SmallCluster cluster(1);
    Admission &admission = cluster.hosts[0]->admission;
    const std::vector<SubmissionRequest> requests = requestsFor(cluster, Records, false);
    const std::size_t before = allocatedHeapBytes();
    for (const SubmissionRequest &request : requests)
        admission.claim(request, [](const ClaimDecision &) {});
    std::printf("  record                       %9.1f\n",
                static_cast<double>(allocatedHeapBytes() - before)
                        / static_cast<double>(admission.status().records));
}

void printHandover()
{
    SmallCluster cluster(Hosts);
    const std::vector<SubmissionRequest> requests = requestsFor(cluster, Records / 10, false);
    for (std::size_t i = 0; i < requests.size(); ++i)
        (void)cluster.claim(*cluster.hosts[i % Hosts], requests[i]);
    cluster.hosts[0]->isAlive = false;
    ++cluster.view.epoch;
    cluster.view.members.erase(cluster.view.members.begin());
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 1; i < Hosts; ++i)
        cluster.hosts[i]->admission.viewAdopted(cluster.view);
    std::size_t bytes = 0;
    for (const SmallCluster::Message &message : cluster.messages)
        bytes += message.message.encoded().size();
    const std::size_t messages = cluster.messages.size();
    cluster.deliver();
    std::printf("\nhandover after the loss of one of %zu hosts, %zu submissions remembered\n"
                "  messages %zu, bytes %zu (%.0f per submission), time %.0f ms\n",
                Hosts, requests.size(), messages, bytes,
                static_cast<double>(bytes) / static_cast<double>(requests.size()),
                secondsSince(start) * 1e3);
}

double claimsPerSecond(std::size_t threads, std::size_t shards)
{
    SmallCluster cluster(1);
    cluster.settings.shards = shards;
    cluster.hosts.clear();
    Admission &admission = cluster.addHost().admission;
    const std::vector<SubmissionRequest> requests = requestsFor(cluster, Records, true);
    std::vector<std::thread> workers;
    workers.reserve(threads);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t t = 0; t < threads; ++t) {
        workers.emplace_back([&, t] {
            for (std::size_t i = t; i < requests.size(); i += threads) {
                admission.claim(requests[i], [](const ClaimDecision &) {});
                (void)admission.mayStart(requests[i]);
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return static_cast<double>(Records) / secondsSince(start);
}

double answersPerSecond(std::size_t threads, std::size_t shards)
{
    constexpr std::uint32_t Tasks = 30;
    constexpr JobNumber JobCount = 20'000;
    JobTable table(shards);
    for (JobNumber job = 0; job < JobCount; ++job)
        table.add(job, Tasks);
    std::vector<std::thread> workers;
    workers.reserve(threads);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t t = 0; t < threads; ++t) {
        workers.emplace_back([&, t] {
            for (JobNumber job = t; job < JobCount; job += threads) {
                for (std::uint32_t task = 0; task < Tasks; ++task) {
                    if (table.beginStart({job, task}))
                        (void)table.answer({job, task}, "output");
                }
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return static_cast<double>(JobCount) * Tasks / secondsSince(start);
}

void printContention()
{
    std::printf("\ncontention, millions/s\n  %7s | %26s | %26s\n  %7s |", "", "claim and fence",
                "start and answer", "threads");
    for (int i = 0; i < 2; ++i)
        std::printf(" %8s %8s %8s |", "1 shard", "16", "64");
    std::printf("\n");
    for (const std::size_t threads : {1, 2, 4, 6, 8, 10}) {
        std::printf("  %7zu |", threads);
        for (const std::size_t shards : {1, 16, 64})
            std::printf(" %8.2f", claimsPerSecond(threads, shards) / 1e6);
        std::printf(" |");
        for (const std::size_t shards : {1, 16, 64})
            std::printf(" %8.2f", answersPerSecond(threads, shards) / 1e6);
        std::printf(" |\n");
    }
}

void printCancellation()
{
    constexpr std::size_t Tasks = 270;
    std::printf("\ncancellation of queued jobs of %zu tasks, ns each\n", Tasks);
    for (const std::size_t jobs : {1'000, 10'000, 50'000}) {
        JobTable table;
        for (JobNumber job = 0; job < jobs; ++job)
            table.add(job, Tasks);
        const auto start = std::chrono::steady_clock::now();
        for (JobNumber job = 0; job < jobs; ++job)
            (void)table.cancel(job, "cancelled");
        std::printf("  %6zu jobs                  %9.0f\n", jobs,
                    secondsSince(start) * 1e9 / static_cast<double>(jobs));
    }
}

} // namespace

int main(int argc, char **argv)
{
    printStrategies(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
    printThroughput();
    printMemory();
    printHandover();
    printContention();
    printCancellation();
    return 0;
}
