// Control traffic, CPU time and store calls of the membership protocol by number of hosts.
//
// The first table simulates all hosts in virtual time and encodes and decodes every message as on
// the wire. The second table runs complete services over loopback, with sockets and threads.

#include "anvilmill/membership/membership.h"
#include "anvilmill/clock.h"
#include "anvilmill/manualclock.h"
#include "peer/membershipservice.h"
#include "peer/peerframe.h"
#include "platform/localplatform.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

using namespace anvilmill;
using namespace anvilmill::daemon;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int TargetHosts = 130;
constexpr int TargetDataCentres = 15;
constexpr double TargetBytesPerSecond = 4'000;
constexpr double TargetCoreShare = 0.015;
// Websocket frame header with a mask, as sent by a client.
constexpr double FrameHeaderBytes = 8;
// TCP and IP headers of one segment and its acknowledgement.
constexpr double PacketHeaderBytes = 2 * 40;
constexpr Duration Step = milliseconds(10);
constexpr Duration WarmUp = seconds(20);
constexpr Duration MeasuredTime = seconds(60);

double processCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Traffic
{
    std::uint64_t bytes = 0;
    std::uint64_t frames = 0;
};

struct Host
{
    HostIncarnation self;
    std::string address;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<Membership> membership;
    Traffic traffic;
};

struct Delivery
{
    Host *from;
    Host *to;
    std::string bytes;
};

/// \brief Simulated hosts in several data centres; no message between them is lost.
class Fleet
{
public:
    Fleet(int hosts, int dataCentres);

    void run(Duration time);
    void resetCounters();

    [[nodiscard]] const std::vector<std::unique_ptr<Host>> &hosts() const { return m_hosts; }
    [[nodiscard]] std::uint64_t storeCalls() const { return m_storeCalls; }
    [[nodiscard]] std::size_t actingHosts() const;

private:
    void flush(Host &host);
    void deliver();

    ManualClock m_clock;
    StandInState m_state{m_clock};
    LocalPlatform m_platform{m_state};
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::unordered_map<std::string, Host *> m_byAddress;
    std::vector<Delivery> m_deliveries;
    std::uint64_t m_storeCalls = 0;
};

Fleet::Fleet(int hosts, int dataCentres)
{
    std::vector<MembershipSeed> seeds;
    for (int number = 0; number < hosts; ++number) {
        auto host = std::make_unique<Host>();
        const std::string dataCentre = "dc-" + std::to_string(number % dataCentres);
        host->self = {dataCentre, "entry-" + std::to_string(number), 1};
        host->address = "10.0.0." + std::to_string(number) + ":7100";
        host->random = std::make_unique<SeededRandom>(number);
        host->membership = std::make_unique<Membership>(
                MembershipOptions(), host->self, host->address, seeds, m_clock, *host->random);
        // The first host of each data centre is a seed of all hosts created later.
        if (number < dataCentres)
            seeds.push_back({dataCentre, host->address});
        m_byAddress[host->address] = host.get();
        m_hosts.push_back(std::move(host));
        run(Step * 3);
    }
}

void Fleet::flush(Host &host)
{
    for (const MembershipSend &send : host.membership->takeSends()) {
        wire::peer::Message message;
        message.channel = static_cast<std::int64_t>(PeerChannel::Membership);
        message.body = send.message;
        wire::peer::Frame frame;
        frame.messages = std::vector<wire::peer::Message>{message};
        m_deliveries.push_back({&host, m_byAddress.at(send.address), encodeFrame(frame)});
    }
    while (const auto call = host.membership->takeCall()) {
        ++m_storeCalls;
        host.membership->answered(perform(*call, m_platform, seconds(1)));
    }
}

void Fleet::deliver()
{
    for (const Delivery &delivery : std::exchange(m_deliveries, {})) {
        for (Traffic *traffic : {&delivery.from->traffic, &delivery.to->traffic}) {
            traffic->bytes += delivery.bytes.size();
            ++traffic->frames;
        }
        const auto frame = decodeFrame(delivery.bytes);
        const auto message = frame->messages->front().body.get<wire::peer::MembershipMessage>();
        delivery.to->membership->received(delivery.from->self, delivery.from->address, message);
        flush(*delivery.to);
    }
}

void Fleet::run(Duration time)
{
    for (Duration passed{0}; passed < time; passed += Step) {
        m_clock.advance(Step);
        deliver();
        for (const auto &host : m_hosts) {
            if (host->membership->nextWakeTime() > m_clock.now())
                continue;
            host->membership->tick();
            flush(*host);
        }
    }
}

void Fleet::resetCounters()
{
    m_storeCalls = 0;
    for (const auto &host : m_hosts)
        host->traffic = {};
}

std::size_t Fleet::actingHosts() const
{
    return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [](const auto &host) { return host->membership->mayActAsOwner(); }));
}

int dataCentreCount(int hosts)
{
    const double share = static_cast<double>(hosts) / TargetHosts * TargetDataCentres;
    return std::max(1, static_cast<int>(std::lround(share)));
}

void printSimulation(int hosts)
{
    const int dataCentres = dataCentreCount(hosts);
    Fleet fleet(hosts, dataCentres);
    fleet.run(WarmUp);
    fleet.resetCounters();
    const double cpuBefore = processCpuSeconds();
    fleet.run(MeasuredTime);
    const double cpu = processCpuSeconds() - cpuBefore;

    double total = 0;
    double busiest = 0;
    double frames = 0;
    for (const auto &host : fleet.hosts()) {
        const Traffic &traffic = host->traffic;
        const auto bytes = static_cast<double>(traffic.bytes)
                           + FrameHeaderBytes * static_cast<double>(traffic.frames);
        total += bytes;
        busiest = std::max(busiest, bytes);
        frames += static_cast<double>(traffic.frames);
    }
    const double time = inSeconds(MeasuredTime);
    const double perHost = total / hosts / time;
    const double withHeaders = perHost + frames / hosts / time * PacketHeaderBytes;
    std::printf("%6d %4d %7zu %12.0f %12.0f %14.0f %10.4f%% %12.2f %12.3f\n", hosts, dataCentres,
                fleet.actingHosts(), perHost, busiest / time, withHeaders, cpu / time / hosts * 100,
                static_cast<double>(fleet.storeCalls()) / time,
                static_cast<double>(fleet.storeCalls()) / time / hosts);
}

void printSimulations()
{
    std::printf(
            "Virtual time, %.0f s; bytes/s per host, sent and received together, with\n"
            "websocket headers; the same for the busiest host; the mean with TCP/IP headers and\n"
            "an acknowledgement for each message. CPU is decision code, encoding and decoding,\n"
            "as a share of a core per host. Targets: %.0f bytes/s, %.1f%% of a core.\n\n",
            inSeconds(MeasuredTime), TargetBytesPerSecond, TargetCoreShare * 100);
    std::printf("%6s %4s %7s %12s %12s %14s %11s %12s %12s\n", "hosts", "DCs", "acting", "bytes/s",
                "busiest", "with TCP/IP", "CPU", "calls/s", "calls/s/host");
    for (const int hosts : {2, 4, 8, 16, 32, 64, 128, 130})
        printSimulation(hosts);
}

struct RunningHost
{
    RunningHost(int number, KeyValueStore &store, std::vector<MembershipSeed> seeds)
        : transport({"dc", "entry-" + std::to_string(number), 1}, {}, clock)
    {
        MembershipServiceOptions options;
        options.seeds = std::move(seeds);
        service = std::make_unique<MembershipService>(options, transport, store, nullptr, clock);
        transport.start();
        service->start();
    }

    ~RunningHost()
    {
        service->stop();
        transport.stop();
    }

    SystemClock clock;
    PeerTransport transport;
    std::unique_ptr<MembershipService> service;
};

void printLoopback(int hosts)
{
    const SystemClock clock;
    StandInState state(clock);
    LocalPlatform platform(state);
    std::vector<std::unique_ptr<RunningHost>> running;
    std::vector<MembershipSeed> seeds;
    for (int number = 0; number < hosts; ++number) {
        running.push_back(std::make_unique<RunningHost>(number, platform, seeds));
        if (seeds.empty())
            seeds.push_back({"dc", running.front()->transport.address()});
    }
    std::this_thread::sleep_for(seconds(5));
    const auto bytesOf = [&] {
        std::uint64_t bytes = 0;
        for (const auto &host : running)
            bytes += host->transport.statistics().bytesReceived
                     + host->transport.statistics().bytesSent;
        return static_cast<double>(bytes);
    };
    const double bytesBefore = bytesOf();
    const double cpuBefore = processCpuSeconds();
    constexpr Duration Time = seconds(10);
    std::this_thread::sleep_for(Time);
    const double cpu = processCpuSeconds() - cpuBefore;
    const double bytes = bytesOf() - bytesBefore;
    const auto acting = std::count_if(running.begin(), running.end(), [](const auto &host) {
        return host->service->mayActAsOwner();
    });
    std::printf("%6d %7ld %12.0f %10.4f%%\n", hosts, static_cast<long>(acting),
                bytes / inSeconds(Time) / hosts, cpu / inSeconds(Time) / hosts * 100);
}

} // namespace

int main()
{
    printSimulations();
    std::printf("\nComplete services of one data centre over loopback, 10 s real time; platform\n"
                "in memory. CPU includes sockets, threads and timers.\n\n");
    std::printf("%6s %7s %12s %11s\n", "hosts", "acting", "bytes/s", "CPU");
    for (const int hosts : {3, 9})
        printLoopback(hosts);
    return 0;
}
