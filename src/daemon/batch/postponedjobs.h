#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/scheduling/batchjob.h"
#include "loop/timerscope.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Jobs that wait until the runs of their earlier submission are over.
///
/// Each handler is called once unless the job is taken: as broken when it has waited too long, since an
/// earlier run may still begin, or as cancelled.
///
/// Thread safety: used by the loop's thread alone.
class PostponedJobs
{
public:
    using ResultHandler = std::function<void(const BatchResult &)>;

    struct Job
    {
        BatchJob job;
        ResultHandler handler;
    };

    /// Precondition: the references outlive the object.
    PostponedJobs(TimerQueue &timers, const Clock &clock);

    /// Precondition: \p number is that of no other postponed job.
    void add(JobNumber number, BatchJob job, MonotonicTime latestStart, ResultHandler handler);
    void cancel(JobNumber number);

    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /// \brief Removes and returns the jobs for which \p mayStart returns true, by number.
    [[nodiscard]] std::map<JobNumber, Job>
    take(const std::function<bool(const std::string &id)> &mayStart);

private:
    struct Entry
    {
        Job job;
        TimerQueue::Id expiry;
    };

    void finish(JobNumber number, BatchEnd end, const std::string &cause);

    const Clock &m_clock;
    std::map<JobNumber, Entry> m_jobs;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
