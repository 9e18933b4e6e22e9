#include "executors.h"

#include <algorithm>
#include <sstream>

namespace anvilmill::review {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1500);
/// hold_max_ms and stop_ms of the small sites; a stop takes less.
constexpr std::int64_t LongestLeaseMillis = 1000;
constexpr Duration StopTime = std::chrono::milliseconds(20);
/// Times after which an unanswered order is carried out.
constexpr std::int64_t MinLateMillis = 2000;
constexpr std::uint64_t LateRangeMillis = 10000;

std::int64_t millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

struct Work
{
    std::int64_t millis = 0;
    std::int64_t milliCores = 0;
};

Work workOf(const std::string &spec)
{
    std::istringstream text(spec);
    Work work;
    text >> work.millis >> work.milliCores;
    return work;
}

std::string nameOf(const std::pair<std::string, std::uint64_t> &run)
{
    return "task=" + run.first + " run=" + std::to_string(run.second);
}

} // namespace

struct Executors::Executor
{
    struct Active
    {
        std::int64_t milliCores = 0;
        bool isStopping = false;
    };
    struct Ended
    {
        std::int64_t number = 0;
        Run run;
        std::string how;
    };

    std::string id;
    std::string dataCentre;
    std::int64_t milliCores = 0;
    std::int64_t born = 0;
    MonotonicTime began;
    std::int64_t heartbeats = 0;
    std::uint64_t fence = 0;
    std::map<Run, Active> active;
    std::vector<Ended> ended;
    std::int64_t lastEnd = 0;
    /// The highest run of each task that has ended or been stopped.
    std::map<std::string, std::uint64_t> closed;
    std::vector<Order> waiting;
    MonotonicTime leaseEnd;
    daemon::TimerQueue::Id leaseTimer;
};

/// An order that has arrived. A late one is carried out without an answer.
struct Executors::Order
{
    Exchange exchange;
    std::shared_ptr<Executor> executor;
    nlohmann::json call;
    std::string path;
    bool isLate = false;

    void answer(unsigned status, const nlohmann::json &body) const
    {
        if (!isLate)
            exchange->respond({status, body.dump(), {}});
    }
};

Executors::Executors(daemon::TimerQueue &timers, Record &record, fleet::StandinStore &store,
                     std::string address, std::uint64_t seed)
    : m_timers(timers)
    , m_record(record)
    , m_store(store)
    , m_address(std::move(address))
    , m_random(seed)
{
}

Executors::~Executors() = default;

void Executors::add(const std::string &id, const std::string &dataCentre, std::int64_t milliCores)
{
    const auto executor = std::make_shared<Executor>();
    executor->id = id;
    executor->dataCentre = dataCentre;
    executor->milliCores = milliCores;
    executor->born = millis(std::chrono::system_clock::now().time_since_epoch());
    executor->began = m_timers.now();
    m_executors[id] = executor;
    writeEntry(*executor);
}

void Executors::writeEntry(Executor &executor)
{
    const nlohmann::json entry = {
            {"service", "desk"},
            {"address", m_address},
            {"zone", executor.dataCentre},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", {{"cpu", executor.milliCores}, {"mem_mb", 65536}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"born", executor.born},
            {"clock_ms", clockOf(executor)},
            {"seq", ++executor.heartbeats}};
    m_store.put("servers/" + executor.id, entry.dump());
    m_timers.after(HeartbeatInterval, [this, &executor] { writeEntry(executor); });
}

std::int64_t Executors::clockOf(const Executor &executor) const
{
    return millis(m_timers.now() - executor.began);
}

void Executors::handle(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto found = m_executors.find(std::string(request.header("X-Expected-Instance")));
    if (found == m_executors.end()) {
        exchange->respond({421, "{}", {}});
        return;
    }
    const auto &executor = found->second;
    Order order{exchange, executor, nlohmann::json::parse(request.body), request.target, false};
    const auto fence = order.call.value("fence", std::uint64_t{0});
    if (m_lateShare > 0.0 && m_random.nextUnit() < m_lateShare) {
        order.isLate = true;
        const auto delay =
                MinLateMillis + static_cast<std::int64_t>(m_random.nextBelow(LateRangeMillis));
        m_record.line("late " + order.path + " executor=" + executor->id
                      + " fence=" + std::to_string(fence) + " delayMs=" + std::to_string(delay)
                      + " call=" + request.body);
        m_timers.after(std::chrono::milliseconds(delay), [this, order] { carryOut(order); });
        return;
    }
    carryOut(order);
}

void Executors::carryOut(const Order &order)
{
    Executor &executor = *order.executor;
    const auto fence = order.call.value("fence", std::uint64_t{0});
    if (fence < executor.fence) {
        refuse(order, "fence");
        return;
    }
    executor.fence = fence;
    if (order.path == "/api/run-start")
        start(order);
    else if (order.path == "/api/run-stop")
        stop(order);
    else if (order.path == "/api/hold")
        hold(order);
    else
        order.answer(404, nlohmann::json::object());
}

void Executors::refuse(const Order &order, const std::string &reason)
{
    order.answer(409, {{"clock_ms", clockOf(*order.executor)},
                       {"born", order.executor->born},
                       {"reason", reason}});
}

void Executors::start(const Order &order)
{
    Executor &executor = *order.executor;
    const Run run(order.call.at("task").get<std::string>(),
                  order.call.at("run").get<std::uint64_t>());
    const nlohmann::json done = {{"clock_ms", clockOf(executor)}, {"born", executor.born}};
    if (executor.active.count(run) > 0) {
        order.answer(200, done);
        return;
    }
    const auto closed = executor.closed.find(run.first);
    if (closed != executor.closed.end() && run.second <= closed->second) {
        extendLease(executor, order.call);
        refuse(order, "old");
        return;
    }
    if (!order.call.contains("until_ms")
        || order.call.at("until_ms").get<std::int64_t>() <= clockOf(executor)) {
        refuse(order, "late");
        return;
    }
    const Work work = workOf(order.call.at("spec").get<std::string>());
    ++m_starts;
    m_record.line("start " + nameOf(run) + " executor=" + executor.id + " fence="
                  + std::to_string(executor.fence) + (order.isLate ? " carriedOutLate=1" : ""));
    check(executor, run);
    executor.active[run] = {work.milliCores, false};
    extendLease(executor, order.call);
    std::int64_t used = 0;
    for (const auto &[each, active] : executor.active)
        used += active.milliCores;
    if (used > executor.milliCores) {
        ++m_overfilled;
        m_record.line("VIOLATION LIMIT " + nameOf(run) + " executor=" + executor.id
                      + " used=" + std::to_string(used));
    }
    m_timers.after(std::chrono::milliseconds(work.millis),
                   [this, of = order.executor, run] { end(of, run, "done"); });
    order.answer(200, done);
}

/// Records a violation if the task runs already, on any executor that is up.
void Executors::check(const Executor &executor, const Run &run)
{
    for (const auto &[id, other] : m_executors) {
        for (const auto &[each, active] : other->active) {
            if (each.first != run.first)
                continue;
            ++m_doubled;
            m_record.line("VIOLATION TWICE " + nameOf(run) + " executor=" + executor.id
                          + " runsAlready=" + std::to_string(each.second) + " on=" + id
                          + " leaseLeftMs="
                          + std::to_string(millis(other->leaseEnd - m_timers.now())));
        }
    }
}

void Executors::stop(const Order &order)
{
    Executor &executor = *order.executor;
    const Run run(order.call.at("task").get<std::string>(),
                  order.call.at("run").get<std::uint64_t>());
    auto &closed = executor.closed[run.first];
    closed = std::max(closed, run.second);
    const auto active = executor.active.find(run);
    if (active != executor.active.end() && !std::exchange(active->second.isStopping, true)) {
        m_record.line("stop " + nameOf(run) + " executor=" + executor.id);
        m_timers.after(StopTime, [this, of = order.executor, run] { end(of, run, "stopped"); });
    }
    order.answer(200, {{"clock_ms", clockOf(executor)}, {"born", executor.born}});
}

void Executors::hold(const Order &order)
{
    Executor &executor = *order.executor;
    const auto acked = order.call.value("acked_through", std::int64_t{0});
    executor.ended.erase(std::remove_if(executor.ended.begin(), executor.ended.end(),
                                        [=](const auto &each) { return each.number <= acked; }),
                         executor.ended.end());
    extendLease(executor, order.call);
    if (order.isLate)
        return;
    const auto wait = order.call.value("wait_ms", std::int64_t{0});
    if (!executor.ended.empty() || wait == 0) {
        answerHold(order);
        return;
    }
    executor.waiting.push_back(order);
    m_timers.after(std::chrono::milliseconds(wait), [this, order] {
        auto &waiting = order.executor->waiting;
        const auto own = std::find_if(waiting.begin(), waiting.end(), [&](const Order &each) {
            return each.exchange == order.exchange;
        });
        if (own == waiting.end())
            return;
        waiting.erase(own);
        answerHold(order);
    });
}

void Executors::answerHold(const Order &order)
{
    const Executor &executor = *order.executor;
    nlohmann::json body = {{"clock_ms", clockOf(executor)},
                           {"born", executor.born},
                           {"active", nlohmann::json::array()},
                           {"ended_runs", nlohmann::json::array()}};
    for (const auto &[run, active] : executor.active)
        body["active"].push_back({run.first, run.second, "", 100, active.milliCores});
    for (const auto &each : executor.ended)
        body["ended_runs"].push_back({each.number, each.run.first, each.run.second, each.how, ""});
    order.answer(200, body);
}

void Executors::extendLease(Executor &executor, const nlohmann::json &call)
{
    if (!call.contains("until_ms"))
        return;
    const auto wanted = call.at("until_ms").get<std::int64_t>();
    const auto granted = std::min(wanted, clockOf(executor) + LongestLeaseMillis);
    const MonotonicTime until = executor.began + std::chrono::milliseconds(granted);
    if (until <= executor.leaseEnd)
        return;
    executor.leaseEnd = until;
    m_timers.cancel(executor.leaseTimer);
    executor.leaseTimer = m_timers.at(until, [this, id = executor.id] {
        const auto of = m_executors.at(id);
        const auto active = of->active;
        for (const auto &[run, each] : active)
            end(of, run, "lapsed");
    });
}

void Executors::end(const std::shared_ptr<Executor> &executor, const Run &run,
                    const std::string &how)
{
    if (executor->active.erase(run) == 0)
        return;
    auto &closed = executor->closed[run.first];
    closed = std::max(closed, run.second);
    executor->ended.push_back({++executor->lastEnd, run, how});
    m_record.line("end " + nameOf(run) + " executor=" + executor->id + " how=" + how);
    for (const Order &order : std::exchange(executor->waiting, {}))
        answerHold(order);
}

std::size_t Executors::running() const
{
    std::size_t runs = 0;
    for (const auto &[id, executor] : m_executors)
        runs += executor->active.size();
    return runs;
}

} // namespace anvilmill::review
