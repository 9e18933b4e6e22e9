#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/suspensiondetector.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/roomview.h"
#include "batch/holderservice.h"
#include "batch/mesh.h"
#include "batch/runbook.h"
#include "loop/timerscope.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace anvilmill::daemon {

/// \brief Settings of one host that dispatches batch jobs.
struct BatchHostSettings
{
    std::string name;
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint meshAddress;
    HoldSettings hold;
};

/// \brief Dispatches batch jobs over the executors that all entry hosts share.
///
/// Jobs are scheduled by the host that took them in. Each executor is held by one host, which
/// starts what the others ask for; hosts tell each other the room that they hold.
///
/// Thread safety: used by the loop's thread alone.
class BatchHost : private BatchOutput
{
public:
    using ResultHandler = std::function<void(const BatchResult &)>;

    /// Precondition: the references outlive the host.
    BatchHost(boost::asio::io_context &loop, TimerQueue &timers, const Clock &clock,
              RandomSource &random, ExecutorCalls &calls, BatchMetrics &metrics,
              const BatchHostSettings &settings);
    ~BatchHost() override;

    void updateExecutor(const ExecutorRegistration &registration);
    void removeExecutor(const std::string &executor);
    void setMembership(const HostMembership &membership);

    /// \brief Runs a job; \p handler is called once with its end, perhaps from within.
    ///
    /// Returns the number to cancel it by, or nothing if it was refused.
    std::optional<JobNumber> submit(BatchJob job, ResultHandler handler);

    /// \brief Ends the job as cancelled, for instance since its client has gone.
    void cancel(JobNumber job);

    [[nodiscard]] bool hasStarted(JobNumber job) const { return m_scheduler.hasStarted(job); }
    [[nodiscard]] std::size_t waitingJobs(const std::string &route) const
    {
        return m_scheduler.waitingJobs(route);
    }
    [[nodiscard]] std::size_t jobs() const noexcept { return m_handlers.size(); }

    /// \brief True if the holder of any executor is heard; else no job can be started.
    [[nodiscard]] bool reachesExecutors() const { return m_view.hasRecentReport(); }

    /// \brief Brings the gauges up to date.
    void updateGauges();

    /// \brief Runs of other hosts that this one answers for.
    [[nodiscard]] std::size_t heldRuns() const { return m_holder.runs(); }

private:
    struct Placed
    {
        std::size_t executor = 0;
        Resources demand;
        /// The host that was asked last to answer for the run, and when.
        std::string holder;
        MonotonicTime asked;
    };
    using Frame = wire::meshframe::MeshFrame;

    void startTask(const TaskStart &start) override;
    void stopTask(std::size_t executor, const RunId &run) override;
    void jobEnded(JobNumber job, const BatchResult &result) override;

    void chooseNearHosts();
    void connectHosts();
    [[nodiscard]] std::string reporterOf(std::size_t executor) const;
    [[nodiscard]] std::string holderOfExecutor(std::size_t executor) const;
    void startHere(const TaskStart &start);
    void runEnded(const RunEnd &end);
    void roomChanged();
    void collectRoom();
    void sendRoomToWaiting();
    void sendRoom();
    void tellWaiting();
    void sendRoom(const std::map<std::string, Resources> &rooms,
                  const std::vector<std::string> &hosts);
    void sendAllRoom();
    [[nodiscard]] std::vector<std::string> heartbeatHosts() const;
    void logLoad();
    void received(const Frame &frame);
    void takeReplies(const Frame &frame);
    void takeStarts(const Frame &frame);
    void takeClaims(const Frame &frame);
    void takeStops(const Frame &frame);
    void takeRoom(const Frame &frame);
    void sendEnd(const std::string &host, const RunEnd &end);
    void hostConnected(const std::string &host);
    void claimMoved();
    void addClaim(Frame &frame, const RunId &run, const Placed &placed) const;
    void checkSilence();
    void redial(const std::string &host);
    void giveUpRunsAt(const std::string &host, MonotonicTime lastHeard);
    [[nodiscard]] MonotonicTime lastHeard(const std::string &host) const;
    void placeSoon();
    void place();
    void checkSuspension();
    void armExpiry();

    const Clock &m_clock;
    BatchMetrics &m_metrics;
    BatchHostSettings m_settings;
    RoomView m_view;
    BatchScheduler m_scheduler;
    HolderService m_holder;
    Mesh m_mesh;
    RunBook m_runs;
    SuspensionDetector m_suspension;
    HostMembership m_membership;
    std::map<std::string, ExecutorRegistration> m_executors;
    std::map<RunId, Placed> m_placed;
    std::map<std::string, MonotonicTime> m_heard;
    /// All hosts that were ever listed.
    std::map<std::string, PeerHost> m_known;
    std::map<std::string, MonotonicTime> m_nextRedial;
    std::unordered_map<JobNumber, ResultHandler> m_handlers;
    /// Room that was not told yet: to anyone, and to hosts with waiting jobs.
    std::map<std::string, Resources> m_unsentRoom;
    std::map<std::string, Resources> m_urgentRoom;
    /// Hosts whose jobs wait for room.
    std::set<std::string> m_waitingHosts;
    /// Hosts that hear of room as it changes.
    std::vector<std::string> m_nearHosts;
    std::optional<TimerQueue::Id> m_expiryTimer;
    MonotonicTime m_loadDue;
    std::size_t m_heartbeats = 0;
    JobNumber m_lastJob = 0;
    bool m_isPlacingDue = false;
    bool m_isRoomDue = false;
    bool m_isUrgentRoomDue = false;
    bool m_hasToldWaiting = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
