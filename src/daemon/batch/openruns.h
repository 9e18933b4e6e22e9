#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/fence.h"
#include "anvilmill/executor/run.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

/// \brief A run on an executor that may begin, or still be at work, without a host that waits for it.
struct OpenRun
{
    RunId run;
    std::string executor;
    /// The fence of the order to start it; 0 if unknown.
    Fence fence = 0;
};

/// \brief The runs of ended jobs and of lost hosts that are not known to be over.
///
/// A start without an answer may be carried out seconds later, after its job has ended or its host is
/// lost. A job that is submitted again must not be started before. A run stays open until its end is
/// reported or the executor has rejected its start for good, which only the executor's lease holder can
/// tell; elapsed time closes none.
///
/// Most runs that are stopped end within milliseconds, so a run is told to other hosts only if its end is
/// overdue, or if it was learned from a host that may be lost.
///
/// Thread safety: one thread at a time.
class OpenRuns
{
public:
    /// Precondition: \p clock outlives the object.
    explicit OpenRuns(const Clock &clock);

    /// \brief Adds a run that was requested to stop, whose end is expected soon.
    void expectEnd(const OpenRun &run);

    /// \brief Adds a run that all hosts should know; true if it wasn't among the shared ones yet.
    bool share(const OpenRun &run);

    /// \brief Shares the runs whose end has been expected for \p limit or longer, and returns them.
    [[nodiscard]] std::vector<OpenRun> shareOverdue(Duration limit);

    /// \brief Removes a run that is over; true if it was a shared one.
    bool close(const RunId &run, const std::string &executor);

    /// \brief True if a run of any task of the job is open.
    [[nodiscard]] bool hasJob(const std::string &job) const { return m_jobs.count(job) > 0; }

    [[nodiscard]] bool has(const RunId &run, const std::string &executor) const
    {
        return m_runs.count({executor, run}) > 0;
    }
    [[nodiscard]] std::vector<OpenRun> onExecutor(const std::string &executor) const;
    [[nodiscard]] std::vector<OpenRun> shared() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_runs.size(); }

private:
    using Key = std::pair<std::string, RunId>;
    struct Entry
    {
        OpenRun run;
        MonotonicTime added;
        bool isShared = false;
    };
    using Entries = std::list<Entry>;

    Entry &entryFor(const OpenRun &run);
    void remove(Entries::iterator entry);

    const Clock &m_clock;
    /// In the order in which they were added.
    Entries m_entries;
    /// By executor, then by run.
    std::map<Key, Entries::iterator> m_runs;
    /// Open runs of each job.
    std::unordered_map<std::string, std::size_t> m_jobs;
};

} // namespace anvilmill::daemon
