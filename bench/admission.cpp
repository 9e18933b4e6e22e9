// Compares strategies that prevent a submission from running twice: messages, round trips and
// payload per job, and the double starts and uncertain outcomes after the failure of one or two
// hosts. Also measures admissions per second of one core, memory per record, record transfer,
// contention and cancellation.
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
constexpr std::size_t InFlight = 4'000;
constexpr std::size_t NewKeys = 4'000;
constexpr std::size_t Records = 200'000;
constexpr std::size_t PayloadBytes = 2'000;

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// A strategy's decision on a submission.
struct Decision
{
    enum class Kind { Runs, Held, Uncertain };

    Kind kind = Kind::Uncertain;
    std::size_t host = 0;
};

/// A strategy for deciding which host runs a submission.
class Strategy
{
public:
    virtual ~Strategy() = default;

    [[nodiscard]] virtual const char *name() const = 0;
    /// The key of a new submission that \p host receives.
    [[nodiscard]] virtual std::string newKey(std::size_t host, std::size_t number)
    {
        (void)host;
        return "order-" + std::to_string(number);
    }
    [[nodiscard]] virtual Decision submit(std::size_t host, const std::string &key) = 0;
    virtual void failHosts(const std::set<std::size_t> &hosts) = 0;

    [[nodiscard]] double messages() const { return m_messages; }
    [[nodiscard]] double roundTrips() const { return m_roundTrips; }
    [[nodiscard]] double bytes() const { return m_bytes; }

protected:
    double m_messages = 0;
    double m_roundTrips = 0;
    double m_bytes = 0;
};

/// Each host only has a table of the submissions that it received itself.
class TablePerHost final : public Strategy
{
public:
    [[nodiscard]] const char *name() const override { return "table per host"; }
    [[nodiscard]] Decision submit(std::size_t host, const std::string &key) override
    {
        const bool isNew = m_tables[host].insert(key).second;
        return {isNew ? Decision::Kind::Runs : Decision::Kind::Held, host};
    }
    void failHosts(const std::set<std::size_t> &hosts) override
    {
        for (const std::size_t host : hosts)
            m_tables[host].clear();
    }

private:
    std::vector<std::set<std::string>> m_tables{Hosts};
};

/// The first live host in rendezvous order owns the key, and the whole job is forwarded to it. With
/// copies, the owner sends a copy of the record to the next host in that order before the first
/// start.
class OwnerForwarding final : public Strategy
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

    [[nodiscard]] Decision submit(std::size_t host, const std::string &key) override
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
            return {Decision::Kind::Held, known->second};
        // A successor can't distinguish a first submission from a resubmission.
        if (m_lostHosts > (m_hasCopies ? 1 : 0) && m_lostOwners.count(initialOwner(key)) > 0)
            return {};
        m_tables[owner][key] = owner;
        if (m_hasCopies) {
            m_messages += 2;
            m_roundTrips += 1;
            m_tables[indexOf(placed.backup)][key] = owner;
        }
        return {Decision::Kind::Runs, owner};
    }

    void failHosts(const std::set<std::size_t> &hosts) override
    {
        m_initialPlacement = std::make_unique<Placement>(m_view);
        View next{m_view.epoch + 1, {}};
        for (std::size_t i = 0; i < Hosts; ++i) {
            if (hosts.count(i) == 0)
                next.members.push_back(m_view.members[i]);
            else
                m_tables[i].clear();
        }
        m_lostHosts = hosts.size();
        m_lostOwners = hosts;
        m_placement = std::make_unique<Placement>(next);
    }

private:
    [[nodiscard]] std::size_t indexOf(std::size_t member) const
    {
        const HostIncarnation &host = m_placement->member(member);
        return static_cast<std::size_t>(std::stoul(host.host.substr(4)));
    }
    [[nodiscard]] std::size_t initialOwner(const std::string &key) const
    {
        return m_initialPlacement->hostsOf(fingerprintOf(key, {1, 2})).directory;
    }

    bool m_hasCopies;
    View m_view{1, {}};
    std::unique_ptr<Placement> m_placement;
    std::unique_ptr<Placement> m_initialPlacement;
    std::size_t m_lostHosts = 0;
    std::set<std::size_t> m_lostOwners;
    std::vector<std::unordered_map<std::string, std::size_t>> m_tables{Hosts};
};

/// The library's Admission, with keys of the given kind.
class Claims final : public Strategy
{
public:
    enum class Keys { OwnTickets, FetchedTickets, Opaque, Timed };

    explicit Claims(Keys keys)
        : m_keys(keys)
        , m_cluster(Hosts)
    {
    }

    [[nodiscard]] const char *name() const override
    {
        switch (m_keys) {
        case Keys::OwnTickets:
            return "tickets, issued on arrival";
        case Keys::FetchedTickets:
            return "tickets, fetched before";
        case Keys::Opaque:
            return "claims, opaque keys";
        case Keys::Timed:
            return "claims, timed keys";
        }
        return "";
    }

    [[nodiscard]] std::string newKey(std::size_t host, std::size_t number) override
    {
        if (m_keys == Keys::Opaque)
            return "order-" + std::to_string(number);
        if (m_keys == Keys::Timed)
            return timedKey(number);
        const std::size_t issuer = m_keys == Keys::OwnTickets ? host : liveHost(number);
        return m_cluster.hosts[issuer]->admission.issueTickets(1).front().asString();
    }

    [[nodiscard]] Decision submit(std::size_t host, const std::string &key) override
    {
        const std::uint64_t before = sent();
        const ClaimDecision decision =
                m_cluster.claim(*m_cluster.hosts[host], m_cluster.request(key));
        m_messages += static_cast<double>(sent() - before);
        m_roundTrips += static_cast<double>(sent() - before) / 2;
        if (decision.outcome == ClaimOutcome::Granted)
            return {Decision::Kind::Runs, host};
        if (decision.outcome == ClaimOutcome::Held)
            return {Decision::Kind::Held, m_cluster.indexOf(decision.holder)};
        return {};
    }

    void failHosts(const std::set<std::size_t> &hosts) override
    {
        for (const std::size_t host : hosts)
            m_cluster.hosts[host]->isAlive = false;
        m_cluster.adoptNewView();
        // From then on new timed keys can be distinguished from keys whose records may have been
        // lost.
        m_cluster.advanceTime(4 * m_cluster.settings.clockError);
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

    Keys m_keys;
    SmallCluster m_cluster;
};

struct Measurement
{
    double messagesPerJob = 0;
    double roundTripsPerJob = 0;
    double bytesPerJob = 0;
    std::size_t doubleStarts = 0;
    std::size_t inFlightOnFailed = 0;
    std::size_t uncertain = 0;
    std::size_t newKeysUncertain = 0;
};

std::size_t liveHost(SeededRandom &random, const std::set<std::size_t> &failed)
{
    std::size_t host = random.nextBelow(Hosts);
    while (failed.count(host) > 0)
        host = random.nextBelow(Hosts);
    return host;
}

Measurement measure(Strategy &strategy, std::uint64_t seed, const std::set<std::size_t> &failed)
{
    SeededRandom random(seed);
    std::vector<std::pair<std::string, std::size_t>> inFlight;
    for (std::size_t i = 0; i < Jobs; ++i) {
        const std::size_t host = random.nextBelow(Hosts);
        const std::string key = strategy.newKey(host, i);
        const Decision decision = strategy.submit(host, key);
        if (i + InFlight >= Jobs)
            inFlight.emplace_back(key, decision.host);
    }
    Measurement measurement;
    measurement.messagesPerJob = strategy.messages() / Jobs;
    measurement.roundTripsPerJob = strategy.roundTrips() / Jobs;
    measurement.bytesPerJob = strategy.bytes() / Jobs;
    strategy.failHosts(failed);
    for (const auto &[key, runner] : inFlight) {
        measurement.inFlightOnFailed += failed.count(runner);
        const Decision decision = strategy.submit(liveHost(random, failed), key);
        if (decision.kind == Decision::Kind::Runs)
            ++measurement.doubleStarts;
        else if (decision.kind == Decision::Kind::Uncertain || failed.count(decision.host) > 0)
            ++measurement.uncertain;
    }
    for (std::size_t i = 0; i < NewKeys; ++i) {
        const std::size_t host = liveHost(random, failed);
        if (strategy.submit(host, strategy.newKey(host, Jobs + i)).kind
            == Decision::Kind::Uncertain)
            ++measurement.newKeysUncertain;
    }
    return measurement;
}

template <typename MakeStrategy>
void printStrategy(MakeStrategy makeStrategy, std::uint64_t seed)
{
    const auto first = makeStrategy();
    const Measurement one = measure(*first, seed, {0});
    const auto second = makeStrategy();
    const Measurement two = measure(*second, seed, {0, 1});
    std::printf("%-27s %6.2f %6.2f %7.0f | %6zu %6zu %6zu %6zu | %6zu %6zu %6zu %6zu\n",
                first->name(), one.messagesPerJob, one.roundTripsPerJob, one.bytesPerJob,
                one.doubleStarts, one.inFlightOnFailed, one.uncertain, one.newKeysUncertain,
                two.doubleStarts, two.inFlightOnFailed, two.uncertain, two.newKeysUncertain);
}

void printStrategies(std::uint64_t seed)
{
    std::printf("%zu hosts, %zu jobs, of which the last %zu are in flight when host 0, or hosts 0 "
                "and 1, fail;\neach of these is resubmitted to a live host, then %zu new jobs. "
                "Forwarded jobs have %zu bytes in each direction.\n",
                Hosts, Jobs, InFlight, NewKeys, PayloadBytes);
    std::printf("%-27s %-21s | %-27s | %s\n", "", "per job", "one host fails", "two hosts fail");
    std::printf("%-27s %6s %6s %7s | %6s %6s %6s %6s | %6s %6s %6s %6s\n", "strategy", "msgs",
                "trips", "payload", "double", "onFail", "uncert", "newUnc", "double", "onFail",
                "uncert", "newUnc");
    printStrategy([] { return std::make_unique<TablePerHost>(); }, seed);
    printStrategy([] { return std::make_unique<OwnerForwarding>(false); }, seed);
    printStrategy([] { return std::make_unique<OwnerForwarding>(true); }, seed);
    for (const Claims::Keys keys : {Claims::Keys::OwnTickets, Claims::Keys::FetchedTickets,
                                    Claims::Keys::Opaque, Claims::Keys::Timed})
        printStrategy([keys] { return std::make_unique<Claims>(keys); }, seed);
}

/// Requests of \p cluster, with tickets of host 0 or with opaque keys.
std::vector<SubmissionRequest> requestsFor(SmallCluster &cluster, std::size_t count, bool isTicket)
{
    std::vector<SubmissionRequest> requests;
    requests.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        Admission &issuer = cluster.hosts[0]->admission;
        requests.push_back(cluster.request(isTicket ? issuer.issueTickets(1).front().asString()
                                                    : "order-" + std::to_string(i)));
    }
    return requests;
}

void printSpeed()
{
    std::printf("\nadmissions/s of one core, all hosts' decision code together, without codec "
                "(target 200000)\n");
    for (const bool isTicket : {true, false}) {
        SmallCluster cluster(isTicket ? 1 : Hosts);
        const std::vector<SubmissionRequest> requests = requestsFor(cluster, Records / 2, isTicket);
        const auto start = std::chrono::steady_clock::now();
        std::size_t granted = 0;
        for (std::size_t i = 0; i < requests.size(); ++i) {
            cluster.hosts[i % cluster.hosts.size()]->admission.claim(
                    requests[i], [&](const ClaimDecision &decision) {
                        granted += decision.outcome == ClaimOutcome::Granted ? 1 : 0;
                    });
            cluster.deliver();
        }
        std::printf("  %-28s %9.0f\n", isTicket ? "own tickets" : "opaque keys, 8 hosts",
                    static_cast<double>(granted) / secondsSince(start));
    }
}

void printMemory()
{
    std::printf("\nbytes per submission record at %zu records (target 200)\n", Records);
    SmallCluster cluster(1);
    Admission &admission = cluster.hosts[0]->admission;
    const std::vector<SubmissionRequest> requests = requestsFor(cluster, Records, false);
    const std::size_t before = heapBytes();
    for (const SubmissionRequest &request : requests)
        admission.claim(request, [](const ClaimDecision &) {});
    std::printf("  record                       %9.1f\n",
                static_cast<double>(heapBytes() - before)
                        / static_cast<double>(admission.status().records));
}

void printTransfer()
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
    std::printf("\nrecord transfer after one of %zu hosts failed, %zu records\n"
                "  messages %zu, bytes %zu (%.0f per submission), processor time %.0f ms\n",
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
    std::printf("\ncontention, millions/s\n  %7s | %26s | %26s\n  %7s |", "", "claim and start",
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
        std::printf("  wave of %6zu               %9.0f\n", jobs,
                    secondsSince(start) * 1e9 / static_cast<double>(jobs));
    }
}

} // namespace

int main(int argc, char **argv)
{
    printStrategies(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
    printSpeed();
    printMemory();
    printTransfer();
    printContention();
    printCancellation();
    return 0;
}
