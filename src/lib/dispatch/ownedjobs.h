#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/job.h"

#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief A job that was submitted to this host, without its payloads.
struct OwnedJob
{
    JobSpec spec;
    MonotonicTime submitted;
    std::vector<bool> started;
    std::size_t unstarted = 0;
    std::size_t inFlight = 0;

    [[nodiscard]] std::vector<std::uint32_t> unstartedTasks() const;
};

/// \brief The jobs submitted to this host, and which of their tasks were started.
///
/// Only this class decides whether a task may start. Thread safety: one thread at a time.
class OwnedJobs
{
public:
    void add(JobNumber job, const JobSpec &spec, MonotonicTime now);
    [[nodiscard]] const OwnedJob *find(JobNumber job) const;

    /// \brief Marks \p task as started; returns false if it must not start.
    [[nodiscard]] bool beginStart(const TaskRef &task);

    /// \brief Records the end of a start; \p wasStarted is false if the task may start again.
    void endStart(const TaskRef &task, bool wasStarted);

    /// \brief Removes \p job; returns false if it is unknown.
    bool remove(JobNumber job);

    [[nodiscard]] const std::unordered_map<JobNumber, OwnedJob> &all() const { return m_jobs; }
    [[nodiscard]] std::size_t unstartedTasks() const noexcept { return m_unstarted; }

private:
    std::unordered_map<JobNumber, OwnedJob> m_jobs;
    std::size_t m_unstarted = 0;
};

} // namespace anvilmill
