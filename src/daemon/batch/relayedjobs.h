#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/scheduling/batchjob.h"
#include "batch/mesh.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace anvilmill::daemon {

/// \brief How a dispatcher runs jobs of others; the handler gets the job's one result.
struct SchedulerCalls
{
    std::function<std::optional<JobNumber>(BatchJob, std::function<void(const BatchResult &)>)>
            submit;
    std::function<void(JobNumber)> cancel;
};

/// \brief The jobs that other hosts have transferred to this dispatcher.
///
/// Each job gets one answer. Answers are kept for a while: one that was lost with a connection is
/// sent again when its host lists the job as open.
///
/// Thread safety: used by the loop's thread alone.
class RelayedJobs
{
public:
    using Frame = wire::meshframe::MeshFrame;

    /// Precondition: the references outlive the object.
    RelayedJobs(Mesh &mesh, const Clock &clock, SchedulerCalls scheduler);

    /// \brief Handles the jobs in a host's frame: open ones, cancellations, new ones.
    void received(const Frame &frame);

    /// \brief Cancels all jobs of a silent host; its clients retry them at other hosts.
    ///
    /// Returns how many there were.
    std::size_t giveUp(const std::string &host);

    /// \brief The hosts that have jobs here.
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    /// A host and its own number for the job.
    using Key = std::pair<std::string, JobNumber>;

    void take(const Key &key, BatchJob job);
    void cancel(const Key &key);
    void compare(const Frame &frame);
    void answer(const Key &key, const BatchResult &result);
    void send(const Key &key, const BatchResult &result);

    Mesh &m_mesh;
    const Clock &m_clock;
    SchedulerCalls m_scheduler;
    /// The job's number here; none while it is being submitted.
    std::map<Key, std::optional<JobNumber>> m_jobs;
    std::map<Key, BatchResult> m_ended;
    std::deque<std::pair<MonotonicTime, Key>> m_endOrder;
};

} // namespace anvilmill::daemon
