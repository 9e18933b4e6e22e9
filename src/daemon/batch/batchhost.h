#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/peertopology.h"
#include "anvilmill/executor/stalldetector.h"
#include "anvilmill/executor/suspensiondetector.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityreportintervals.h"
#include "anvilmill/scheduling/capacityview.h"
#include "batch/capacityreporter.h"
#include "batch/earlyclaims.h"
#include "batch/holderservice.h"
#include "batch/jobrelay.h"
#include "batch/mesh.h"
#include "batch/peerliveness.h"
#include "batch/relayedjobs.h"
#include "batch/runregistry.h"
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
    /// Jobs are numbered from here on; above all numbers of the host's earlier processes.
    JobNumber firstJob = 0;
};

/// \brief Dispatches batch jobs over the executors that all entry hosts share.
///
/// Jobs are scheduled by the host that took them in if it is a dispatcher, else by a dispatcher of
/// its data centre. Each executor is held by one dispatcher, which starts what the others ask for;
/// dispatchers tell each other the room that they hold.
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
    /// \brief Forgets all executors, when a host that dispatches no more stops following them.
    void forgetExecutors();

    void setMembership(const HostMembership &membership);

    /// \brief How this host gets to know the executors' entries.
    [[nodiscard]] const FeedPlan &feedPlan() const noexcept { return m_neighbourhood.feedPlan(); }

    /// \brief The connections to other hosts, for what they tell each other beside jobs and runs.
    [[nodiscard]] Mesh &mesh() noexcept { return m_mesh; }

    /// \brief Calls \p listener with each frame, before it is taken here.
    void onFrame(std::function<void(const wire::meshframe::MeshFrame &)> listener)
    {
        m_frameListener = std::move(listener);
    }

    /// \brief True if this host has to know the executors.
    [[nodiscard]] bool isDispatcher() const noexcept { return m_neighbourhood.isDispatcher(); }

    /// \brief Runs a job; \p handler is called once with its end, perhaps from within.
    ///
    /// Returns the number to cancel it by, or nothing if it was refused.
    std::optional<JobNumber> submit(BatchJob job, ResultHandler handler);

    /// \brief Ends the job as cancelled, for instance since its client has gone.
    void cancel(JobNumber job);

    /// \brief True if a task of the job may have started; always so once it was handed over.
    [[nodiscard]] bool hasStarted(JobNumber job) const
    {
        return m_relay.has(job) || m_scheduler.hasStarted(job);
    }
    [[nodiscard]] std::size_t waitingJobs(const std::string &route) const
    {
        return m_scheduler.waitingJobs(route);
    }
    [[nodiscard]] std::size_t jobs() const noexcept { return m_handlers.size() + m_relay.open(); }

    /// \brief True if the holder of any executor is heard, or a dispatcher; else no job can be started.
    [[nodiscard]] bool reachesExecutors() const
    {
        return m_view.hasRecentReport() || m_relay.reachesDispatcher();
    }

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

    std::optional<JobNumber> schedule(JobNumber number, BatchJob job, ResultHandler handler);
    void useNeighbourhood();
    [[nodiscard]] std::string reporterOf(std::size_t executor) const;
    [[nodiscard]] std::string holderOfExecutor(std::size_t executor) const;
    void startHere(const TaskStart &start);
    void startRefused(const RunId &run);
    void runEnded(const RunEnd &end, const std::string &executor);
    void takeEnd(const RunEnd &end, const std::string &executor);
    void roomChanged();
    void collectRoom();
    void tellWaiting();
    void sendAllRoom();
    [[nodiscard]] std::set<std::string> heartbeatHosts() const;
    void addAllRoom(Frame &frame) const;
    void logLoad();
    void received(const Frame &frame);
    void takeReplies(const Frame &frame);
    void takeStarts(const Frame &frame);
    void takeClaims(const Frame &frame);
    void takeClaim(const RunClaim &claim);
    void takeStops(const Frame &frame);
    void sendEnd(const std::string &host, const RunEnd &end, const std::string &executor);
    void hostConnected(const std::string &host);
    void claimMoved();
    void addClaim(Frame &frame, const RunId &run, const Placed &placed) const;
    void checkSilence();
    void stopRunsOf(const std::string &owner);
    void giveUpRunsAt(const std::string &host, MonotonicTime lastHeard);
    void placeSoon();
    void place();
    void checkSuspension();
    void watchPauses();
    [[nodiscard]] bool isQuiet();
    void armExpiry();

    const Clock &m_clock;
    BatchMetrics &m_metrics;
    BatchHostSettings m_settings;
    CapacityView m_view;
    BatchScheduler m_scheduler;
    HolderService m_holder;
    Mesh m_mesh;
    RoomTeller m_teller;
    PeerWatch m_peers;
    JobRelay m_relay;
    RelayedJobs m_relayed;
    RunBook m_runs;
    EarlyClaims m_earlyClaims;
    SuspensionDetector m_suspension;
    StallDetector m_pause;
    PeerTopology m_neighbourhood;
    CapacityReportIntervals m_roomPace;
    std::map<std::string, ExecutorRegistration> m_executors;
    std::map<RunId, Placed> m_placed;
    std::unordered_map<JobNumber, ResultHandler> m_handlers;
    std::function<void(const Frame &)> m_frameListener;
    std::optional<TimerQueue::Id> m_expiryTimer;
    MonotonicTime m_loadDue;
    std::size_t m_heartbeats = 0;
    JobNumber m_lastJob;
    bool m_isPlacingDue = false;
    bool m_isQuietEndDue = false;
    bool m_hasToldWaiting = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
