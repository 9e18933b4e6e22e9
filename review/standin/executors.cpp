#include "executors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace review {

using anvilmill::daemon::HttpExchange;
using nlohmann::json;

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1500);
/// `hold_max_ms` of the settings.
constexpr std::int64_t LongestLeaseMillis = 1000;
/// Below `stop_ms`, the longest time that a stop takes.
constexpr Duration StopTime = std::chrono::milliseconds(20);
constexpr std::size_t MaxConnections = 500;
/// The most ends that one answer lists.
constexpr std::size_t MaxListedEnds = 500;

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::int64_t asMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The work of the task \p task ("ID.0.0.INDEX") by the job's spec.
Duration workOf(const std::string &spec, const std::string &task)
{
    std::size_t index = std::stoul(task.substr(task.rfind('.') + 1));
    std::istringstream text(spec);
    std::int64_t millis = 0;
    for (std::int64_t next = 0; text >> next;) {
        millis = next;
        if (index-- == 0)
            break;
    }
    return std::chrono::milliseconds(millis);
}

} // namespace

struct Executors::Active
{
    Run run;
    std::uint64_t serial = 0;
    bool isStopping = false;
};

struct Executors::Waiting
{
    Exchange exchange;
    std::uint64_t serial = 0;
};

struct Executors::Executor
{
    ExecutorSetup setup;
    MonotonicTime started;
    std::int64_t born = 0;
    std::int64_t heartbeats = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::map<std::string, Active> active;
    std::map<std::int64_t, json> ends;
    std::int64_t lastEnd = 0;
    /// The highest run of each task that was stopped here or has ended.
    std::map<std::string, std::int64_t> finished;
    std::vector<Waiting> waiting;
    std::unique_ptr<anvilmill::daemon::HttpServer> server;
};

Executors::Executors(boost::asio::io_context &loop, anvilmill::daemon::TimerQueue &timers,
                     const Clock &clock, anvilmill::fleet::StandinStore &store,
                     RunObserver &observer)
    : m_loop(loop)
    , m_timers(timers)
    , m_clock(clock)
    , m_store(store)
    , m_observer(observer)
{
}

Executors::~Executors() = default;

void Executors::add(const ExecutorSetup &setup)
{
    auto executor = std::make_unique<Executor>();
    Executor &added = *executor;
    added.setup = setup;
    added.started = m_clock.now();
    added.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         m_clock.wallNow().time_since_epoch())
                         .count();
    anvilmill::daemon::HttpServerLimits limits;
    limits.connections = MaxConnections;
    limits.idleTimeout = std::chrono::seconds(60);
    added.server = std::make_unique<anvilmill::daemon::HttpServer>(
            m_loop, m_timers, *anvilmill::daemon::parseEndpoint(setup.address), limits,
            [this, &added](const auto &exchange) { handle(added, exchange); });
    m_executors.push_back(std::move(executor));
    writeEntry(added);
}

void Executors::writeEntry(Executor &executor)
{
    const json entry = {
            {"service", executor.setup.service},
            {"address", executor.setup.address},
            {"zone", executor.setup.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"seq", ++executor.heartbeats},
            {"born", executor.born},
            {"capacity", {{"cpu", executor.setup.milliCores}, {"mem_mb", 65536}, {"gpu", 0}}},
            {"labels", {"kind-a", executor.setup.rack}}};
    m_store.put("servers/" + executor.setup.id, entry.dump());
    m_timers.after(HeartbeatInterval, [this, &executor] { writeEntry(executor); });
}

void Executors::handle(Executor &executor, const Exchange &exchange)
{
    if (exchange->request().header("X-Expected-Instance") != executor.setup.id) {
        exchange->respond({421, "", {}});
        return;
    }
    const std::string &target = exchange->request().target;
    if (target == "/api/run-start")
        start(executor, exchange->request().body, exchange);
    else if (target == "/api/run-stop")
        stop(executor, exchange->request().body, exchange);
    else if (target == "/api/hold")
        hold(executor, exchange->request().body, exchange);
    else
        exchange->respond({404, "", {}});
}

void Executors::refuse(Executor &executor, const Exchange &exchange, const char *reason)
{
    exchange->respond(
            {409,
             json{{"clock_ms", asMillis(m_clock.now() - executor.started)}, {"reason", reason}}
                     .dump(),
             {}});
}

void Executors::extendLease(Executor &executor, std::int64_t until)
{
    const std::int64_t now = asMillis(m_clock.now() - executor.started);
    const std::int64_t granted = std::min(until, now + LongestLeaseMillis);
    if (granted <= executor.leaseUntil)
        return;
    executor.leaseUntil = granted;
    m_timers.at(executor.started + std::chrono::milliseconds(granted),
                [this, &executor] { checkLease(executor); });
}

void Executors::checkLease(Executor &executor)
{
    if (asMillis(m_clock.now() - executor.started) < executor.leaseUntil)
        return;
    while (!executor.active.empty()) {
        const auto first = executor.active.begin();
        end(executor, std::string(first->first), first->second.serial, "lapsed");
    }
}

void Executors::start(Executor &executor, const std::string &body, const Exchange &exchange)
{
    const json call = json::parse(body);
    const std::string task = call.at("task");
    const std::int64_t number = call.at("run");
    const std::int64_t fence = call.value("fence", std::int64_t(0));
    const std::int64_t until = call.value("until_ms", std::int64_t(0));
    checkLease(executor);
    if (fence < executor.fence) {
        refuse(executor, exchange, "fence");
        return;
    }
    executor.fence = fence;
    extendLease(executor, until);
    const std::int64_t now = asMillis(m_clock.now() - executor.started);
    const auto active = executor.active.find(task);
    if (active != executor.active.end() && active->second.run.number == number) {
        exchange->respond({200, json{{"clock_ms", now}}.dump(), {}});
        return;
    }
    const auto finished = executor.finished.find(task);
    if (active != executor.active.end()
        || (finished != executor.finished.end() && number <= finished->second)) {
        refuse(executor, exchange, "old");
        return;
    }
    if (until <= now) {
        refuse(executor, exchange, "late");
        return;
    }
    ++m_starts;
    const std::uint64_t serial = ++m_lastSerial;
    const Run run{task, number, executor.setup.id, m_clock.now()};
    executor.active[task] = {run, serial, false};
    m_observer.began(run);
    const double seconds = std::chrono::duration<double>(workOf(call.at("spec"), task)).count();
    m_timers.after(asDuration(seconds / executor.setup.speed), [this, &executor, task, serial] {
        checkLease(executor);
        end(executor, task, serial, "done");
    });
    exchange->respond({200, json{{"clock_ms", now}}.dump(), {}});
}

void Executors::stop(Executor &executor, const std::string &body, const Exchange &exchange)
{
    const json call = json::parse(body);
    const std::string task = call.at("task");
    const std::int64_t number = call.at("run");
    const std::int64_t fence = call.value("fence", std::int64_t(0));
    checkLease(executor);
    if (fence < executor.fence) {
        refuse(executor, exchange, "fence");
        return;
    }
    executor.fence = fence;
    std::int64_t &finished = executor.finished[task];
    finished = std::max(finished, number);
    const auto active = executor.active.find(task);
    if (active != executor.active.end() && active->second.run.number <= number
        && !active->second.isStopping) {
        active->second.isStopping = true;
        m_timers.after(StopTime, [this, &executor, task, serial = active->second.serial] {
            end(executor, task, serial, "stopped");
        });
    }
    exchange->respond(
            {200, json{{"clock_ms", asMillis(m_clock.now() - executor.started)}}.dump(), {}});
}

void Executors::end(Executor &executor, const std::string &task, std::uint64_t serial,
                    const std::string &how)
{
    const auto found = executor.active.find(task);
    if (found == executor.active.end() || found->second.serial != serial)
        return;
    const Run run = found->second.run;
    executor.active.erase(found);
    std::int64_t &finished = executor.finished[task];
    finished = std::max(finished, run.number);
    const std::int64_t number = ++executor.lastEnd;
    executor.ends[number] = json::array({number, task, run.number, how, ""});
    m_observer.ended(run, how);
    answerWaiting(executor);
}

void Executors::hold(Executor &executor, const std::string &body, const Exchange &exchange)
{
    const json call = json::parse(body);
    const std::int64_t fence = call.value("fence", std::int64_t(0));
    checkLease(executor);
    if (fence < executor.fence) {
        refuse(executor, exchange, "fence");
        return;
    }
    executor.fence = fence;
    extendLease(executor, call.value("until_ms", std::int64_t(0)));
    executor.ends.erase(executor.ends.begin(),
                        executor.ends.upper_bound(call.value("acked_through", std::int64_t(0))));
    const std::int64_t wait = call.value("wait_ms", std::int64_t(0));
    if (wait <= 0 || !executor.ends.empty()) {
        answerHold(executor, exchange);
        return;
    }
    const std::uint64_t serial = ++m_lastSerial;
    executor.waiting.push_back({exchange, serial});
    m_timers.after(std::chrono::milliseconds(wait), [this, &executor, serial] {
        const auto over = std::find_if(executor.waiting.begin(), executor.waiting.end(),
                                       [&](const Waiting &each) { return each.serial == serial; });
        if (over == executor.waiting.end())
            return;
        const Exchange waited = over->exchange;
        executor.waiting.erase(over);
        answerHold(executor, waited);
    });
}

void Executors::answerWaiting(Executor &executor)
{
    const auto waiting = std::move(executor.waiting);
    executor.waiting.clear();
    for (const Waiting &each : waiting)
        answerHold(executor, each.exchange);
}

void Executors::answerHold(Executor &executor, const Exchange &exchange)
{
    checkLease(executor);
    json answer = {{"clock_ms", asMillis(m_clock.now() - executor.started)},
                   {"born", executor.born},
                   {"active", json::array()},
                   {"ended_runs", json::array()}};
    for (const auto &[task, active] : executor.active)
        answer["active"].push_back({task, active.run.number, "", 50, executor.setup.milliCores});
    for (const auto &[number, row] : executor.ends) {
        if (answer["ended_runs"].size() == MaxListedEnds)
            break;
        answer["ended_runs"].push_back(row);
    }
    exchange->respond({200, answer.dump(), {}});
}

} // namespace review
