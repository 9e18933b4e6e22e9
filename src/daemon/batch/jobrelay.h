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

/// \brief Hands the jobs of a host that dispatches none to dispatchers of its data centre.
///
/// A job is handed over once. Until its answer comes it is the dispatcher's: a lost message or a
/// silent dispatcher leaves the job's fate unknown, so it is then answered as broken at its
/// deadline, or as soon as the dispatcher says that it doesn't know the job.
///
/// Thread safety: used by the loop's thread alone.
class JobRelay
{
public:
    using ResultHandler = std::function<void(const BatchResult &)>;
    using Frame = wire::meshframe::MeshFrame;

    /// Precondition: the references outlive the relay.
    JobRelay(Mesh &mesh, TimerQueue &timers, const Clock &clock, RandomSource &random,
             const PeerWatch &peers);

    /// \brief The hosts to hand jobs to.
    void setDispatchers(std::vector<PeerHost> dispatchers);

    /// \brief True if a dispatcher is connected and heard.
    [[nodiscard]] bool reachesDispatcher() const;

    /// \brief Hands \p job over; false if no dispatcher can be reached, and then nothing was sent.
    ///
    /// \p handler is called once, not from within.
    [[nodiscard]] bool relay(JobNumber number, const BatchJob &job, ResultHandler handler);

    /// \brief Ends the job as cancelled here and at its dispatcher.
    void cancel(JobNumber number);

    [[nodiscard]] bool has(JobNumber number) const { return m_jobs.count(number) > 0; }
    [[nodiscard]] std::size_t open() const noexcept { return m_jobs.size(); }

    /// \brief The dispatchers that have jobs of this host.
    [[nodiscard]] std::set<std::string> hosts() const;

    /// \brief Lists the open jobs at \p host, so that both sides agree after a new connection.
    void addOpenJobs(Frame &frame, const std::string &host) const;

    /// \brief Takes the answers in a dispatcher's frame.
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
    const PeerWatch &m_peers;
    std::vector<PeerHost> m_dispatchers;
    std::map<JobNumber, OpenJob> m_jobs;
    std::map<std::string, std::size_t> m_openAt;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
