#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"
#include "anvilmill/scheduling/batchjob.h"
#include "batch/mesh.h"
#include "batch/peerliveness.h"
#include "loop/timerscope.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmill {
class RandomSource;
} // namespace anvilmill

namespace anvilmill::daemon {

/// \brief Transfers the jobs of a host that is no dispatcher to dispatchers of its data centre.
///
/// A job is transferred once, and the dispatcher owns it until it answers. A lost message or a
/// silent dispatcher leaves the outcome unknown, so the job then ends as broken at its
/// deadline, or as soon as the dispatcher reports that it has no record of the job.
///
/// Thread safety: used by the loop's thread alone.
class JobRelay
{
public:
    using ResultHandler = std::function<void(const BatchResult &)>;
    using Frame = wire::meshframe::MeshFrame;

    /// Precondition: the references outlive the relay.
    JobRelay(Mesh &mesh, TimerQueue &timers, const Clock &clock, RandomSource &random,
             const PeerLiveness &peers);

    /// \brief Sets the hosts to transfer jobs to.
    void setDispatchers(std::vector<PeerHost> dispatchers);

    /// \brief True if a dispatcher is connected and not silent.
    [[nodiscard]] bool reachesDispatcher() const;

    /// \brief Transfers \p job; if no dispatcher is reachable, sends no message and returns false.
    ///
    /// \p handler is called once, after this method has returned.
    [[nodiscard]] bool relay(JobNumber number, const BatchJob &job, ResultHandler handler);

    /// \brief Ends the job as cancelled here and at its dispatcher.
    void cancel(JobNumber number);

    [[nodiscard]] bool has(JobNumber number) const { return m_jobs.count(number) > 0; }
    [[nodiscard]] std::size_t open() const noexcept { return m_jobs.size(); }

    /// \brief The dispatchers that have jobs of this host.
    [[nodiscard]] std::set<std::string> hosts() const;

    /// \brief Adds the list of open jobs at \p host, by which both sides agree on them after a new
    /// connection.
    void addOpenJobs(Frame &frame, const std::string &host) const;

    /// \brief Handles the answers in a dispatcher's frame.
    void received(const Frame &frame);

private:
    struct OpenJob
    {
        std::string dispatcher;
        ResultHandler handler;
        TimerQueue::Id deadline;
    };

    [[nodiscard]] bool isReachable(const std::string &host) const;
    [[nodiscard]] std::size_t openAt(const std::string &host) const;
    void finish(JobNumber number, BatchResult result);
    void sendCancel(const std::string &host, JobNumber number);

    Mesh &m_mesh;
    const Clock &m_clock;
    RandomSource &m_random;
    const PeerLiveness &m_peers;
    std::vector<PeerHost> m_dispatchers;
    std::map<JobNumber, OpenJob> m_jobs;
    std::map<std::string, std::size_t> m_openAt;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
