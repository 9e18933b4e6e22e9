#include "openruns.h"

#include "log.h"

namespace anvilmill::daemon {

namespace {

/// An executor that is gone for good never tells of its runs. Twice the 420 tasks that a host has in
/// flight at the target size, for a dozen such hosts.
constexpr std::size_t MaxOpenRuns = 10000;

std::string jobOf(const RunId &run)
{
    return run.task.substr(0, run.task.find('.'));
}

} // namespace

OpenRuns::OpenRuns(const Clock &clock)
    : m_clock(clock)
{
}

OpenRuns::Entry &OpenRuns::entryFor(const OpenRun &run)
{
    const Key key(run.executor, run.run);
    const auto found = m_runs.find(key);
    if (found != m_runs.end()) {
        Entry &known = *found->second;
        known.run.fence = std::max(known.run.fence, run.fence);
        return known;
    }
    if (m_entries.size() >= MaxOpenRuns) {
        const OpenRun &oldest = m_entries.front().run;
        LogEvent("run.openForgotten", LogEvent::Level::Warning)
                .with("task", oldest.run.task)
                .with("run", oldest.run.number)
                .with("executor", oldest.executor);
        remove(m_entries.begin());
    }
    m_entries.push_back({run, m_clock.now(), false});
    m_runs.emplace(key, std::prev(m_entries.end()));
    ++m_jobs[jobOf(run.run)];
    return m_entries.back();
}

void OpenRuns::remove(Entries::iterator entry)
{
    const auto job = m_jobs.find(jobOf(entry->run.run));
    if (--job->second == 0)
        m_jobs.erase(job);
    m_runs.erase({entry->run.executor, entry->run.run});
    m_entries.erase(entry);
}

void OpenRuns::expectEnd(const OpenRun &run)
{
    (void)entryFor(run);
}

bool OpenRuns::share(const OpenRun &run)
{
    return !std::exchange(entryFor(run).isShared, true);
}

std::vector<OpenRun> OpenRuns::shareOverdue(Duration limit)
{
    std::vector<OpenRun> overdue;
    const MonotonicTime latest = m_clock.now() - limit;
    for (Entry &entry : m_entries) {
        if (entry.added > latest)
            break;
        if (!std::exchange(entry.isShared, true))
            overdue.push_back(entry.run);
    }
    return overdue;
}

bool OpenRuns::close(const RunId &run, const std::string &executor)
{
    const auto found = m_runs.find({executor, run});
    if (found == m_runs.end())
        return false;
    const bool wasShared = found->second->isShared;
    remove(found->second);
    return wasShared;
}

std::vector<OpenRun> OpenRuns::onExecutor(const std::string &executor) const
{
    std::vector<OpenRun> runs;
    for (auto entry = m_runs.lower_bound({executor, RunId()});
         entry != m_runs.end() && entry->first.first == executor; ++entry)
        runs.push_back(entry->second->run);
    return runs;
}

std::vector<OpenRun> OpenRuns::shared() const
{
    std::vector<OpenRun> runs;
    for (const Entry &entry : m_entries) {
        if (entry.isShared)
            runs.push_back(entry.run);
    }
    return runs;
}

} // namespace anvilmill::daemon
