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

/// \brief Functions by which a dispatcher runs the jobs of other hosts. The handler is called once,
/// with the job's result.
struct SchedulerCalls
{
    std::function<std::optional<JobNumber>(BatchJob, std::function<void(const BatchResult &)>)>
            submit;
    std::function<void(JobNumber)> cancel;
    /// True if a task of the job may have started.
    std::function<bool(JobNumber)> hasStarted;
};

/// \brief The jobs that other hosts have transferred to this dispatcher.
///
/// Each job gets one answer. Answers are kept for some seconds: one that was lost with a connection
/// is sent again when its host lists the job as open.
///
/// Load pattern: a dispatcher is paused for seconds. Meanwhile a host gives up the jobs that it sent
/// and closes the connection, and their callers retry elsewhere; the dispatcher then reads the jobs
/// from the closed connection. So the unstarted jobs of a disconnected host are suspended until the
/// host lists them as open again.
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

    /// \brief Handles an outdated frame of a host, which may have given up its new jobs: these are
    /// refused.
    void outdatedReceived(const Frame &frame);

    /// \brief Suspends the jobs of \p host that have not started; call when its connection has ended.
    void disconnected(const std::string &host);

    /// \brief Cancels all jobs of a silent host; its clients retry them at other hosts.
    ///
    /// Returns how many there were.
    std::size_t cancelJobsOf(const std::string &host);

    /// \brief The hosts that have jobs here.
    [[nodiscard]] std::set<std::string> hosts() const;

private:
    /// A host and the number that it assigned to the job.
    using Key = std::pair<std::string, JobNumber>;

    struct OpenJob
    {
        /// The job's number in this host's scheduler; none while it is being submitted.
        std::optional<JobNumber> number;
        BatchJob job;
    };

    void applyWithdrawals(const Frame &frame);
    void accept(const Key &key, BatchJob job);
    void cancel(const Key &key);
    void reconcile(const Frame &frame);
    void resumeListed(const std::string &host, const std::set<Key> &open);
    void answer(const Key &key, const BatchResult &result);
    void send(const Key &key, const BatchResult &result);

    Mesh &m_mesh;
    const Clock &m_clock;
    SchedulerCalls m_scheduler;
    std::map<Key, OpenJob> m_jobs;
    /// Unstarted jobs of disconnected hosts; not in the scheduler.
    std::map<Key, BatchJob> m_suspended;
    std::map<Key, BatchResult> m_ended;
    std::deque<std::pair<MonotonicTime, Key>> m_endOrder;
};

} // namespace anvilmill::daemon
