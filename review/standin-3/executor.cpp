#include "executor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

/// `hold_max_ms`
constexpr std::int64_t LongestLeaseMs = 1000;

std::optional<std::int64_t> untilIn(const json &call)
{
    return call.contains("until_ms") ? std::make_optional(call.at("until_ms").get<std::int64_t>())
                                     : std::nullopt;
}

std::string nameOf(const Run &run)
{
    return run.first + " run " + std::to_string(run.second);
}

} // namespace

Runs::Runs(Record &record)
    : m_record(record)
{
}

void Runs::begun(const std::string &executor, const Run &run)
{
    std::string others;
    {
        const std::lock_guard lock(m_mutex);
        auto &running = m_running[run.first];
        for (const auto &[other, number] : running)
            others += " " + other + " (run " + std::to_string(number) + ")";
        running.insert({executor, run.second});
        m_begunJobs.insert(run.first.substr(0, run.first.find('.')));
    }
    m_record.line("started " + nameOf(run) + " on " + executor);
    if (!others.empty())
        m_record.broken("TWICE", nameOf(run) + " starts on " + executor
                                         + " while the task is at work on" + others);
}

void Runs::over(const std::string &executor, const Run &run, const std::string &how)
{
    {
        const std::lock_guard lock(m_mutex);
        m_running[run.first].erase({executor, run.second});
    }
    m_record.line("ended " + nameOf(run) + " on " + executor + ": " + how);
}

std::vector<std::string> Runs::executorsOf(const std::string &task) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> executors;
    const auto found = m_running.find(task);
    if (found == m_running.end())
        return executors;
    for (const auto &[executor, number] : found->second)
        executors.push_back(executor);
    return executors;
}

bool Runs::hasBegun(const std::string &job) const
{
    const std::lock_guard lock(m_mutex);
    return m_begunJobs.count(job) > 0;
}

Executor::Executor(Settings settings, Store &store, Record &record, Runs &runs)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_allRuns(runs)
    , m_server(m_settings.address, m_settings.port,
               [this](const Request &request) { return handle(request); })
{
}

void Executor::start()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isUp = true;
        ++m_lifetime;
        m_born = wallMs();
        m_bornAt = nowMs();
        m_seq = 0;
        m_fence = 0;
        m_lease = 0;
        m_lastEnd = 0;
        m_ends.clear();
        m_highestOver.clear();
        m_record.line(m_settings.id + " is up, capacity " + std::to_string(m_settings.cpu));
    }
    writeEntry();
    m_server.open();
}

void Executor::crash()
{
    m_server.close();
    const std::lock_guard lock(m_mutex);
    m_isUp = false;
    ++m_lifetime;
    m_record.line(m_settings.id + " crashes");
    while (!m_runs.empty()) {
        const Run run = m_runs.begin()->first;
        m_runs.erase(m_runs.begin());
        m_allRuns.over(m_settings.id, run, "crashed");
    }
    m_changed.notify_all();
}

void Executor::cutOff(std::int64_t milliseconds)
{
    m_cutOffUntil = nowMs() + milliseconds;
    m_record.line(m_settings.id + " is cut off");
}

void Executor::writeEntry()
{
    json entry;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp)
            return;
        entry = {{"service", "desk"},
                 {"address", m_settings.address + ":" + std::to_string(m_server.port())},
                 {"zone", m_settings.zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"seq", ++m_seq},
                 {"born", m_born},
                 {"capacity", {{"cpu", m_settings.cpu}, {"mem_mb", 65536}}},
                 {"labels", {"kind-" + std::to_string(m_settings.cpu), m_settings.rack}}};
    }
    m_store.put("servers/" + m_settings.id, entry.dump());
}

std::int64_t Executor::clock() const
{
    return nowMs() - m_bornAt + 1000;
}

void Executor::tick()
{
    const std::lock_guard lock(m_mutex);
    if (!m_isUp)
        return;
    std::vector<std::pair<Run, std::string>> over;
    for (const auto &[run, work] : m_runs) {
        if (work.end <= nowMs())
            over.emplace_back(run, "done");
        else if (m_lease <= clock())
            over.emplace_back(run, "lapsed");
    }
    for (const auto &[run, how] : over)
        endRun(run, how);
}

void Executor::endRun(const Run &run, const std::string &how)
{
    m_runs.erase(run);
    std::int64_t &highest = m_highestOver[run.first];
    highest = std::max(highest, run.second);
    m_ends.push_back({++m_lastEnd, run, how});
    m_allRuns.over(m_settings.id, run, how);
    m_changed.notify_all();
}

std::string Executor::refusal(const char *reason) const
{
    return json{{"clock_ms", clock()}, {"born", m_born}, {"reason", reason}}.dump();
}

bool Executor::isFenced(std::int64_t fence)
{
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

void Executor::extendLease(std::optional<std::int64_t> until)
{
    if (until)
        m_lease = std::max(m_lease, std::min(*until, clock() + LongestLeaseMs));
}

Answer Executor::handle(const Request &request)
{
    if (nowMs() < m_cutOffUntil)
        return {};
    const auto instance = request.headers.find("x-expected-instance");
    if (instance != request.headers.end() && instance->second != m_settings.id)
        return {421, "{}"};
    Fate fate;
    std::int64_t lifetime = 0;
    {
        const std::lock_guard lock(m_mutex);
        lifetime = m_lifetime;
        if (!m_isUp)
            return {};
    }
    if (m_orderHandler) {
        const json call = json::parse(request.body);
        fate = m_orderHandler({m_settings.id, request.path, call.value("task", ""),
                               call.value("run", std::int64_t{}),
                               call.value("fence", std::int64_t{})});
    }
    if (fate.isLost)
        return {};
    if (fate.lateMs == 0) {
        const Answer answer = execute(request, 0);
        return fate.isUnanswered || nowMs() < m_cutOffUntil ? Answer() : answer;
    }
    std::thread([this, request, fate, lifetime] {
        std::this_thread::sleep_for(std::chrono::milliseconds(fate.lateMs));
        {
            const std::lock_guard lock(m_mutex);
            if (m_lifetime != lifetime)
                return;
        }
        const Answer answer = execute(request, fate.lateMs);
        m_record.line("late " + request.path + " on " + m_settings.id + ": status "
                      + std::to_string(answer.status) + " " + answer.body);
    }).detach();
    return {};
}

Answer Executor::execute(const Request &request, std::int64_t lateMs)
{
    if (request.path == "/api/run-start")
        return startRun(request, lateMs);
    if (request.path == "/api/run-stop")
        return stopRun(request);
    if (request.path == "/api/hold")
        return hold(request, lateMs);
    return {404, "{}"};
}

Answer Executor::startRun(const Request &request, std::int64_t lateMs)
{
    const json call = json::parse(request.body);
    const Run run{call.at("task"), call.at("run")};
    std::istringstream spec(call.value("spec", ""));
    std::int64_t workMs = 0;
    std::int64_t cpu = 0;
    spec >> workMs >> cpu;
    const std::lock_guard lock(m_mutex);
    if (isFenced(call.value("fence", std::int64_t{})))
        return {409, refusal("fence")};
    std::optional<std::int64_t> until = untilIn(call);
    if (until && lateMs > 0)
        *until += lateMs;
    const auto over = m_highestOver.find(run.first);
    const bool isOld = over != m_highestOver.end() && run.second <= over->second;
    if (m_runs.count(run) == 0 && !isOld && until && *until <= clock())
        return {409, refusal("late")};
    extendLease(until);
    if (isOld)
        return {409, refusal("old")};
    if (m_runs.count(run) == 0) {
        if (m_lease <= clock())
            return {409, refusal("late")};
        m_runs[run] = {cpu, nowMs() + workMs};
        m_allRuns.begun(m_settings.id, run);
        std::int64_t used = 0;
        for (const auto &[each, work] : m_runs)
            used += work.cpu;
        if (used > m_settings.cpu)
            m_record.broken("LIMIT",
                            nameOf(run) + " brings " + m_settings.id + " to " + std::to_string(used)
                                    + " of " + std::to_string(m_settings.cpu) + ", "
                                    + std::to_string(nowMs() - m_bornAt) + " ms after its start");
    }
    return {200, json{{"clock_ms", clock()}, {"born", m_born}}.dump()};
}

Answer Executor::stopRun(const Request &request)
{
    const json call = json::parse(request.body);
    const Run run{call.at("task"), call.at("run")};
    const std::lock_guard lock(m_mutex);
    if (isFenced(call.value("fence", std::int64_t{})))
        return {409, refusal("fence")};
    if (m_runs.count(run) > 0) {
        endRun(run, "stopped");
    } else {
        std::int64_t &highest = m_highestOver[run.first];
        highest = std::max(highest, run.second);
    }
    return {200, json{{"clock_ms", clock()}, {"born", m_born}}.dump()};
}

Answer Executor::hold(const Request &request, std::int64_t lateMs)
{
    const json call = json::parse(request.body);
    std::unique_lock lock(m_mutex);
    if (isFenced(call.value("fence", std::int64_t{})))
        return {409, refusal("fence")};
    std::optional<std::int64_t> until = untilIn(call);
    if (until && lateMs > 0)
        *until += lateMs;
    extendLease(until);
    const std::int64_t acked = call.value("acked_through", std::int64_t{});
    m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(),
                                [acked](const End &end) { return end.number <= acked; }),
                 m_ends.end());
    const std::int64_t lifetime = m_lifetime;
    const auto deadline = std::chrono::steady_clock::now()
                          + std::chrono::milliseconds(call.value("wait_ms", std::int64_t{}));
    while (m_ends.empty() && m_lifetime == lifetime
           && m_changed.wait_until(lock, deadline) != std::cv_status::timeout) {
    }
    if (m_lifetime != lifetime)
        return {};
    json answer = {{"clock_ms", clock()},
                   {"born", m_born},
                   {"active", json::array()},
                   {"ended_runs", json::array()}};
    for (const auto &[run, work] : m_runs)
        answer["active"].push_back({run.first, run.second, "", 50, work.cpu});
    for (const End &end : m_ends)
        answer["ended_runs"].push_back({end.number, end.run.first, end.run.second, end.how, ""});
    return {200, answer.dump()};
}

} // namespace review
