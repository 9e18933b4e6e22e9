#include "batchjobs.h"

#include "log.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// 60 lines of 350 bytes: 21 KB/s and about a millisecond of processor time.
constexpr std::size_t CompletedLinesPerSecond = 60;
/// A caller can cause lines of other ends at will, by cancelling what it submits.
constexpr std::size_t OtherLinesPerSecond = 200;
/// About 100 bytes each: 10 MB at most.
constexpr std::size_t MaxRetainedStates = 100000;

std::optional<BatchState> stateAfter(BatchEnd end)
{
    switch (end) {
    case BatchEnd::Completed:
        return BatchState::Completed;
    case BatchEnd::Failed:
        return BatchState::Failed;
    case BatchEnd::Cancelled:
        return BatchState::Cancelled;
    case BatchEnd::Refused:
    case BatchEnd::Broken:
        // The caller retries the job, so it has no final state.
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

BatchJobs::BatchJobs(BatchHost &host, const Clock &clock, BatchMetrics &metrics,
                     Duration statusRetention)
    : m_host(host)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_statusRetention(statusRetention)
{
}

BatchJobs::Waiter BatchJobs::submit(BatchJob job, ResultHandler handler,
                                    DisconnectCheck isDisconnected)
{
    const Waiter waiter = ++m_lastWaiter;
    const std::string id = job.id;
    Active &active = m_active[id];
    active.waiters.emplace(waiter, Client{std::move(handler), std::move(isDisconnected)});
    m_waiters.emplace(waiter, id);
    if (active.waiters.size() > 1)
        return waiter;
    active.route = job.route->route;
    active.service = job.route->service;
    active.tasks = job.tasks.size();
    active.arrived = job.arrived;
    active.deadline = job.deadline;
    job.isAbandoned = [this, id] { return isAbandoned(id); };
    const auto number = m_host.submit(std::move(job),
                                      [this, id](const BatchResult &result) { ended(id, result); });
    const auto found = m_active.find(id);
    if (found != m_active.end())
        found->second.number = number;
    return waiter;
}

void BatchJobs::abandon(Waiter waiter)
{
    const auto found = m_waiters.find(waiter);
    if (found == m_waiters.end())
        return;
    const std::string id = found->second;
    m_waiters.erase(found);
    const auto active = m_active.find(id);
    if (active == m_active.end())
        return;
    active->second.waiters.erase(waiter);
    if (active->second.waiters.empty())
        (void)cancel(id);
}

bool BatchJobs::isAbandoned(const std::string &id) const
{
    const auto active = m_active.find(id);
    return active != m_active.end()
           && std::all_of(active->second.waiters.begin(), active->second.waiters.end(),
                          [](const auto &entry) { return entry.second.isDisconnected(); });
}

bool BatchJobs::cancel(const std::string &id)
{
    const auto active = m_active.find(id);
    if (active == m_active.end())
        return m_ended.count(id) > 0;
    if (active->second.number)
        m_host.cancel(*active->second.number);
    return true;
}

std::optional<BatchState> BatchJobs::stateOf(const std::string &id) const
{
    const auto active = m_active.find(id);
    if (active != m_active.end()) {
        const auto &number = active->second.number;
        return number && m_host.hasStarted(*number) ? BatchState::Running : BatchState::Queued;
    }
    const auto ended = m_ended.find(id);
    return ended == m_ended.end() ? std::nullopt : std::make_optional(ended->second);
}

void BatchJobs::ended(const std::string &id, const BatchResult &result)
{
    const auto found = m_active.find(id);
    if (found == m_active.end())
        return;
    const Active job = std::move(found->second);
    m_active.erase(found);
    recordState(id, result.end);
    if (isLogged(result))
        logEnd(id, job, result);
    m_metrics.jobEnded(job.route, asString(result.end), result.cause, m_clock.now() - job.arrived,
                       result.waited);
    for (const auto &[waiter, client] : job.waiters) {
        m_waiters.erase(waiter);
        client.handler(result);
    }
}

// Jobs that were not completed have a limit of their own, so that completed ones can't use it up.
bool BatchJobs::isLogged(const BatchResult &result)
{
    const MonotonicTime now = m_clock.now();
    if (now - m_logSecond >= std::chrono::seconds(1)) {
        if (m_completedLines.omitted > 0 || m_otherLines.omitted > 0)
            LogEvent("job.linesOmitted")
                    .with("completed", m_completedLines.omitted)
                    .with("others", m_otherLines.omitted);
        m_logSecond = now;
        m_completedLines = {};
        m_otherLines = {};
    }
    const bool isCompleted = result.end == BatchEnd::Completed;
    LineCount &lines = isCompleted ? m_completedLines : m_otherLines;
    if (++lines.written <= (isCompleted ? CompletedLinesPerSecond : OtherLinesPerSecond))
        return true;
    ++lines.omitted;
    return false;
}

void BatchJobs::logEnd(const std::string &id, const Active &job, const BatchResult &result) const
{
    const MonotonicTime now = m_clock.now();
    LogEvent event("job.ended");
    event.with("job", id)
            .with("route", job.route)
            .with("service", job.service)
            .with("end", asString(result.end))
            .with("tasks", job.tasks)
            .with("runs", result.runs)
            .with("waited", result.waited)
            .with("took", now - job.arrived)
            .with("left", job.deadline - now)
            .with("active", m_active.size());
    if (!result.lastExecutor.empty())
        event.with("lastExecutor", result.lastExecutor).with("lastRan", result.lastRan);
    if (result.nearRuns > 0 || result.remoteRuns > 0)
        event.with("nearRuns", result.nearRuns).with("remoteRuns", result.remoteRuns);
    if (!result.dispatcher.empty())
        event.with("dispatcher", result.dispatcher);
    if (!result.cause.empty())
        event.with("cause", result.cause).with("retryAfter", result.retryAfter);
}

void BatchJobs::recordState(const std::string &id, BatchEnd end)
{
    const auto state = stateAfter(end);
    if (!state)
        return;
    const MonotonicTime now = m_clock.now();
    m_ended[id] = *state;
    m_endOrder.emplace_back(now, id);
    while (m_endOrder.front().first + m_statusRetention < now
           || m_endOrder.size() > MaxRetainedStates) {
        m_ended.erase(m_endOrder.front().second);
        m_endOrder.pop_front();
    }
}

} // namespace anvilmill::daemon
