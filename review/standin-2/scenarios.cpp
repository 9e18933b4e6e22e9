#include "scenarios.h"

#include "clients.h"
#include "executors.h"

#include <signal.h>

#include <iomanip>
#include <iostream>
#include <sstream>

namespace anvilmill::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The hosts find each other and hold the executors after 2 s.
constexpr Duration Settle = seconds(6);
constexpr int PatienceSeconds = 20;
/// A job that was submitted again has ended by then, and no order is late any more.
constexpr Duration RoundLength = seconds(22);
/// Demand of the sites' tasks, and room of a small executor of theirs.
constexpr std::int64_t TaskMilliCores = 14000;
constexpr std::int64_t ExecutorMilliCores = 32000;

constexpr const char *Manifest =
        R"({"version":7,"routes":[{"name":"jobs","host":"desk.example","prefix":"/jobs/","kind":"non_idempotent",)"
        R"("timeout_ms":30000,"target_duration_ms":60,"priority":0,"service":"desk","max_attempts":4,"stretch":1.6}],)"
        R"("services":[{"name":"desk","admission_check":false,"standby":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string idOf(int number)
{
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0')
       << 0x5c0e7a0000000000ULL + static_cast<unsigned>(number);
    return id.str();
}

/// Everything that a scenario uses.
class Lab
{
public:
    explicit Lab(const Options &options)
        : m_options(options)
        , m_timers(m_loop, m_clock)
        , m_record(options.record)
        , m_store(m_timers)
        , m_executors(m_timers, m_record, m_store, options.executors, 1)
        , m_clients(m_loop, m_timers, m_record, options.hosts)
        , m_storeServer(m_loop, m_timers, daemon::parseEndpoint(options.store).value(), limits(),
                        [this](const auto &exchange) { m_store.handle(exchange); })
        , m_executorServer(m_loop, m_timers, daemon::parseEndpoint(options.executors).value(),
                           limits(), [this](const auto &exchange) { m_executors.handle(exchange); })
    {
        m_store.put("op/config", Manifest);
    }

    int run();

private:
    static daemon::HttpServerLimits limits()
    {
        daemon::HttpServerLimits limits;
        limits.connections = 20000;
        limits.idleTimeout = seconds(60);
        return limits;
    }

    void addExecutors(int count)
    {
        for (int i = 0; i < count; ++i)
            m_executors.add("i-" + std::to_string(1000 + i), "bole", ExecutorMilliCores);
    }

    void signal(std::size_t host, int number)
    {
        m_record.line("signal " + std::to_string(number) + " host=" + std::to_string(host + 1));
        ::kill(m_options.processes.at(host), number);
    }

    void at(Duration time, std::function<void()> task)
    {
        m_timers.after(Settle + time, std::move(task));
    }

    void finish(int result, const std::string &why)
    {
        m_result = result;
        m_record.line("result " + std::to_string(result) + " " + why);
        m_loop.stop();
    }

    void relayLoss();
    void relayLossOf(std::size_t host, Duration from);
    void stopWaiting();

    Options m_options;
    SystemClock m_clock;
    boost::asio::io_context m_loop{1};
    daemon::TimerQueue m_timers;
    Record m_record;
    fleet::StandinStore m_store;
    Executors m_executors;
    Clients m_clients;
    daemon::HttpServer m_storeServer;
    daemon::HttpServer m_executorServer;
    bool m_cut = false;
    int m_result = 2;
};

/// Jobs that a weak host has handed to the dispatchers run when that host is killed. Beside it, half of the
/// orders to the executors get no answer for 5.5 s and are carried out late. The same with each weak host in turn.
void Lab::relayLoss()
{
    constexpr std::size_t Strong = 3;
    addExecutors(48);
    for (std::size_t host = Strong; host < m_options.hosts.size(); ++host)
        relayLossOf(host, RoundLength * static_cast<int>(host - Strong));
    at(RoundLength * static_cast<int>(m_options.hosts.size() - Strong), [this] {
        const std::string counts = "doubled=" + std::to_string(m_executors.doubled())
                                   + " overfilled=" + std::to_string(m_executors.overfilled());
        finish(m_executors.doubled() > 0 ? 1 : 0, counts);
    });
}

void Lab::relayLossOf(std::size_t host, Duration from)
{
    constexpr int Jobs = 75;
    constexpr int Tasks = 4;
    constexpr std::int64_t SmallTaskMilliCores = 4000;
    at(from, [this, host] {
        for (int i = 0; i < Jobs; ++i)
            m_clients.submit({idOf(static_cast<int>(host) * Jobs + i), Tasks, 8000,
                              SmallTaskMilliCores, seconds(PatienceSeconds)},
                             host);
    });
    at(from + milliseconds(1500), [this] {
        if (m_executors.running() < Jobs * Tasks)
            finish(2, "not all tasks run: " + std::to_string(m_executors.running()));
    });
    if (m_options.hasTrouble && m_options.trouble != "kill") {
        at(from + milliseconds(2000), [this] { m_executors.setLateShare(0.5); });
        at(from + milliseconds(7500), [this] { m_executors.setLateShare(0.0); });
    }
    if (m_options.hasTrouble && m_options.trouble != "late")
        at(from + milliseconds(3000), [this, host] {
            m_clients.setDown(host);
            signal(host, SIGKILL);
        });
}

/// A host is stopped in order while a job waits there for room. The rule counts a request that was cut before the
/// client's and the route's time limits, and on which no executor was at work.
void Lab::stopWaiting()
{
    constexpr int FillingTasks = 4;
    static constexpr Duration GraceAndMore = seconds(6 + 1);
    addExecutors(FillingTasks / 2);
    at({}, [this] {
        for (int i = 0; i < FillingTasks / 2; ++i)
            m_clients.submit({idOf(i), 2, 12000, TaskMilliCores, seconds(PatienceSeconds)}, 1);
    });
    at(milliseconds(500), [this] {
        if (m_executors.running() != FillingTasks)
            finish(2, "the executors aren't full: " + std::to_string(m_executors.running()));
        m_clients.submit({idOf(9), 1, 4000, TaskMilliCores, seconds(PatienceSeconds)}, 0, false);
    });
    if (m_options.hasTrouble)
        at(milliseconds(1000), [this] { signal(0, SIGTERM); });
    at(milliseconds(1000) + GraceAndMore, [this] { m_cut = m_clients.answers().count(0) > 0; });
    at(milliseconds(1000) + GraceAndMore + milliseconds(1), [this] {
        if (m_cut && m_executors.starts() == FillingTasks)
            finish(1, "the waiting request was cut without an answer, and no executor was told to "
                      "start it");
        else if (m_options.hasTrouble)
            finish(0, "the request wasn't cut");
    });
    at(milliseconds(22000), [this] {
        const auto done = m_clients.answers().find(200);
        const std::size_t count = done == m_clients.answers().end() ? 0 : done->second;
        finish(count == FillingTasks / 2 + 1 ? 0 : 2,
               "jobs answered with 200: " + std::to_string(count));
    });
}

int Lab::run()
{
    if (m_options.scenario == "relay-loss")
        relayLoss();
    else if (m_options.scenario == "stop-waiting")
        stopWaiting();
    else
        throw std::invalid_argument("unknown scenario " + m_options.scenario);
    m_loop.run();
    std::cout << m_options.scenario << ": result " << m_result << std::endl;
    return m_result;
}

} // namespace

int runScenario(const Options &options)
{
    return Lab(options).run();
}

} // namespace anvilmill::review
