// Measures, in virtual time, how long a change takes to be in force on all hosts and the network
// cost of its propagation, with the production Follower and RevisionStore. Baseline: every host
// polls the platform for the whole sheet.
//
// Usage: bench_configuration [SEED]

#include "../tests/fakes/followerfleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace anvilmill;
using anvilmill::fakes::FollowerFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int ChangesPerDay = 5500;
constexpr Duration ChangeInterval = seconds(86400) / ChangesPerDay;
constexpr int Services = 100;
constexpr int Teams = 200;
constexpr int Stops = 200;
constexpr Duration PollInterval = seconds(1);

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Sheet targetSheet()
{
    Sheet sheet;
    for (int i = 0; i < Services; ++i)
        sheet.services.push_back({"service-" + std::to_string(1000 + i), 200});
    for (int i = 0; i < Stops; ++i) {
        StopRow stop;
        stop.name = "dc3/worker-" + std::to_string(1000 + i);
        stop.at = WallTime(seconds(1790000000));
        sheet.stops.push_back(stop);
    }
    for (int i = 0; i < Teams; ++i)
        sheet.teams.push_back({"team-" + std::to_string(1000 + i), 100, 1});
    return sheet;
}

/// Applies changes of one service's size.
class Operator
{
public:
    explicit Operator(FollowerFleet &fleet)
        : m_fleet(fleet)
        , m_sheet(targetSheet())
    {
    }

    RevisionId apply()
    {
        ++m_changes;
        m_sheet.services[static_cast<std::size_t>(m_changes % Services)].size += 1;
        SheetChange change;
        change.sheet = m_sheet;
        change.changeId = "change-" + std::to_string(m_changes);
        const ApplyOutcome outcome = m_fleet.revisions.apply(change);
        m_fleet.notifyWatches();
        return outcome.id;
    }

    [[nodiscard]] const Sheet &sheet() const { return m_sheet; }

private:
    FollowerFleet &m_fleet;
    Sheet m_sheet;
    int m_changes = 0;
};

Duration timeToInForce(FollowerFleet &fleet, const RevisionId &id)
{
    constexpr Duration Limit = seconds(60);
    const auto taken = fleet.runUntil([&] { return fleet.isInForceEverywhere(id); }, Limit);
    return taken ? *taken : Limit;
}

struct TimeSamples
{
    std::vector<double> times;

    void add(Duration time) { times.push_back(asSeconds(time)); }

    void print(const char *what, double target)
    {
        std::sort(times.begin(), times.end());
        std::printf("%-58s %8.3f %8.3f %8.1f  %s\n", what, times[times.size() / 2], times.back(),
                    target, times.back() <= target ? "met" : "MISSED");
    }
};

TimeSamples measureWithoutFaults(std::uint64_t seed, int dataCentres, int hostsEach, double loss)
{
    FollowerFleet fleet(seed, dataCentres, hostsEach);
    fleet.network.loss = loss;
    fleet.network.jitter = milliseconds(2);
    Operator op(fleet);
    op.apply();
    fleet.run(seconds(5));
    TimeSamples samples;
    for (int i = 0; i < 50; ++i) {
        samples.add(timeToInForce(fleet, op.apply()));
        fleet.run(milliseconds(700 + 13 * i));
    }
    return samples;
}

/// One data centre is isolated from the others and from the platform; times count from healing.
TimeSamples measureHealing(std::uint64_t seed, int dataCentres, int hostsEach,
                           bool isPlatformHealed)
{
    TimeSamples samples;
    for (std::uint64_t i = 0; i < 20; ++i) {
        FollowerFleet fleet(seed + i, dataCentres, hostsEach);
        Operator op(fleet);
        op.apply();
        fleet.run(seconds(5));
        for (int d = 1; d < dataCentres; ++d)
            fleet.cutPairs.insert({"dc0", "dc" + std::to_string(d)});
        fleet.cutFromPlatform.insert("dc0");
        RevisionId last;
        for (int change = 0; change < 10; ++change) {
            last = op.apply();
            fleet.run(seconds(1));
        }
        fleet.cutPairs.clear();
        if (isPlatformHealed)
            fleet.cutFromPlatform.clear();
        samples.add(timeToInForce(fleet, last));
    }
    return samples;
}

/// Half of the data centres can't reach the platform.
TimeSamples measurePlatformCut(std::uint64_t seed, int dataCentres, int hostsEach)
{
    FollowerFleet fleet(seed, dataCentres, hostsEach);
    Operator op(fleet);
    op.apply();
    fleet.run(seconds(5));
    for (int d = 0; d < dataCentres / 2; ++d)
        fleet.cutFromPlatform.insert("dc" + std::to_string(d));
    TimeSamples samples;
    for (int i = 0; i < 30; ++i) {
        samples.add(timeToInForce(fleet, op.apply()));
        fleet.run(milliseconds(700 + 13 * i));
    }
    return samples;
}

void printTimes(std::uint64_t seed)
{
    std::printf("%-58s %8s %8s %8s\n", "time to in force on every live host, seconds", "p50", "max",
                "target");
    measureWithoutFaults(seed, 4, 2, 0).print("8 hosts in 4 data centres", 2);
    measureWithoutFaults(seed, 4, 2, 0.05).print("8 hosts, 5% of messages lost", 2);
    measureHealing(seed, 4, 2, true).print("8 hosts, one data centre cut off, after healing", 2);
    measureHealing(seed, 4, 2, false)
            .print("8 hosts, the same, platform still unreachable from it", 2);
    measureWithoutFaults(seed, 15, 9, 0).print("135 hosts in 15 data centres", 13);
    measureWithoutFaults(seed, 15, 9, 0.05).print("135 hosts, 5% of messages lost", 13);
    measureHealing(seed, 15, 9, false)
            .print("135 hosts, one data centre cut off, after healing", 13);
    measurePlatformCut(seed, 15, 9)
            .print("135 hosts, platform unreachable from 7 data centres", 13);
}

struct Cost
{
    double meanBytes = 0;
    double maxBytes = 0;
    double storeCalls = 0;
};

/// Measures bytes per second and host, sent and received, including traffic with the platform, at
/// the target rate of changes.
Cost measureCost(std::uint64_t seed, int dataCentres, int hostsEach)
{
    constexpr int Changes = 40;
    FollowerFleet fleet(seed, dataCentres, hostsEach);
    Operator op(fleet);
    op.apply();
    fleet.run(seconds(5));
    for (auto *host : fleet.liveHosts()) {
        host->bytesSent = host->bytesReceived = host->storeBytes = 0;
        host->storeCalls = 0;
    }
    for (int i = 0; i < Changes; ++i) {
        op.apply();
        fleet.run(ChangeInterval);
    }
    Cost cost;
    const double length = asSeconds(ChangeInterval) * Changes;
    const auto hosts = fleet.liveHosts();
    for (const auto *host : hosts) {
        const auto total = host->bytesSent + host->bytesReceived + host->storeBytes;
        const double bytes = static_cast<double>(total) / length;
        cost.meanBytes += bytes / static_cast<double>(hosts.size());
        cost.maxBytes = std::max(cost.maxBytes, bytes);
        cost.storeCalls += host->storeCalls / length;
    }
    return cost;
}

void printCosts(std::uint64_t seed)
{
    constexpr double Target = 4000;
    const std::size_t whole = canonicalText(targetSheet()).size();
    const double changesPerSecond = 1 / asSeconds(ChangeInterval);
    std::printf("\nbytes/s per host at %d changes a day, whole sheet of %zu bytes "
                "(target: %.0f with all other control traffic)\n",
                ChangesPerDay, whole, Target);
    std::printf("%8s %14s %14s %14s %16s %16s\n", "hosts", "mean", "busiest host", "store calls/s",
                "baseline bytes/s", "baseline calls/s");
    const std::pair<int, int> fleets[] = {{1, 2}, {4, 2}, {4, 8}, {8, 8}, {15, 9}};
    for (const auto &[dataCentres, hostsEach] : fleets) {
        const int hosts = dataCentres * hostsEach;
        const Cost cost = measureCost(seed, dataCentres, hostsEach);
        const double pollBytes = static_cast<double>(whole) * changesPerSecond;
        const double pollCalls = hosts / asSeconds(PollInterval);
        std::printf("%8d %14.0f %14.0f %14.2f %16.0f %16.1f\n", hosts, cost.meanBytes,
                    cost.maxBytes, cost.storeCalls, pollBytes, pollCalls);
    }
    std::printf(
            "baseline: every host polls every %.0f s and reads the whole sheet after a change\n",
            asSeconds(PollInterval));
}

void printProcessorTime()
{
    constexpr int Rounds = 200;
    const Configuration before = Configuration::of(1, targetSheet());
    Sheet changed = targetSheet();
    changed.services.front().size = 1;
    const Configuration after = Configuration::of(2, changed);
    const Delta delta = deltaBetween(before, after);
    const SystemClock clock;
    const MonotonicTime start = clock.now();
    for (int i = 0; i < Rounds; ++i) {
        if (!applied(before, delta))
            std::abort();
    }
    const double each = asSeconds(clock.now() - start) / Rounds;
    std::printf("\none delta of %zu bytes applied and checked: %.0f us, %.5f%% of a core at the "
                "target rate\n",
                sizeOf(delta), each * 1e6, each / asSeconds(ChangeInterval) * 100);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    printTimes(seed);
    printCosts(seed);
    printProcessorTime();
    return 0;
}
