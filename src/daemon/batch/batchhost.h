#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/livenesstimeouts.h"
#include "anvilmill/executor/peertopology.h"
#include "anvilmill/executor/stalldetector.h"
#include "anvilmill/executor/suspensiondetector.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityreportintervals.h"
#include "anvilmill/scheduling/capacityview.h"
#include "batch/capacityreporter.h"
#include "batch/earlyclaims.h"
#include "batch/evacuationrecord.h"
#include "batch/holderservice.h"
#include "batch/jobrelay.h"
#include "batch/mesh.h"
#include "batch/openruns.h"
#include "batch/peerliveness.h"
#include "batch/postponedjobs.h"
#include "batch/relayedjobs.h"
#include "batch/runregistry.h"
#include "batch/sentstarts.h"
#include "batch/unknownracks.h"
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
    LivenessSettings liveness;
    /// How many times as long a task takes on a rack other than that of its data; at least 1.
    double remoteSlowdown = 1.0;
    InboundLimits peerConnections = {};
    /// Jobs get numbers above this one. It must exceed all numbers of the host's earlier processes.
    JobNumber firstJob = 0;
    /// Nothing is started before the evacuations of data centres are known.
    bool awaitsEvacuations = false;
};

/// \brief Dispatches batch jobs over the executors that all entry hosts share.
///
/// A job is scheduled by the host that received it if that host is a dispatcher, else by a
/// dispatcher of its data centre. Each executor has one lease holder, a dispatcher that starts the
/// runs that the others request. Dispatchers report to each other the free capacity of the
/// executors that they hold.
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
    /// \brief Removes all executors, for a host that is no longer a dispatcher.
    void removeAllExecutors();

    void setMembership(const HostMembership &membership);

    /// \brief Applies begins and ends of evacuations, in the order of \p changes. Nothing is started
    /// in an evacuated data centre; the runs there continue.
    void changeEvacuations(const std::vector<EvacuationChange> &changes);

    /// \brief Call when the evacuations have been read from the store.
    void setEvacuationsKnown();

    /// \brief The source from which this host receives the executors' entries.
    [[nodiscard]] const FeedPlan &feedPlan() const noexcept { return m_topology.feedPlan(); }

    /// \brief The connections to other hosts, for messages other than those on jobs and runs.
    [[nodiscard]] Mesh &mesh() noexcept { return m_mesh; }

    /// \brief Calls \p listener with each frame, before this host handles it.
    void onFrame(std::function<void(const wire::meshframe::MeshFrame &)> listener)
    {
        m_frameListener = std::move(listener);
    }

    /// \brief True if this host needs the list of executors.
    [[nodiscard]] bool isDispatcher() const noexcept { return m_topology.isDispatcher(); }

    /// \brief Runs a job; \p handler is called once with its end, possibly before this method
    /// returns.
    ///
    /// Returns the job's number for cancel(), or std::nullopt if the job was refused.
    std::optional<JobNumber> submit(BatchJob job, ResultHandler handler);

    /// \brief Ends the job as cancelled, for example because its client has disconnected.
    void cancel(JobNumber job);

    /// \brief True if a task of the job may have started; always true once the job was transferred.
    [[nodiscard]] bool hasStarted(JobNumber job) const
    {
        return m_relay.has(job) || m_scheduler.hasStarted(job);
    }
    [[nodiscard]] std::size_t waitingJobs(const std::string &route) const
    {
        return m_scheduler.waitingJobs(route);
    }
    [[nodiscard]] std::size_t jobs() const noexcept
    {
        return m_handlers.size() + m_relay.open() + m_postponed.size();
    }

    /// \brief True if a recent report came from any holder or a dispatcher is reachable; otherwise
    /// no job can be started.
    [[nodiscard]] bool reachesExecutors() const
    {
        return m_view.hasRecentReport() || m_relay.reachesDispatcher();
    }

    /// \brief Updates the gauges of the metrics.
    void updateGauges();

    /// \brief Runs on the executors that this host holds.
    [[nodiscard]] std::size_t heldRuns() const { return m_holder.runs(); }

private:
    using Frame = wire::meshframe::MeshFrame;

    struct Placed
    {
        JobNumber job = 0;
        std::size_t executor = 0;
        Resources demand;
        /// The host that was last requested to start or adopt the run.
        std::string holder;
        /// The hosts that were requested before. Each of them may go on renewing the lease until it
        /// reads that it isn't the holder any more.
        std::set<std::string> formerHolders;
        /// The holder has replied that it starts the run.
        bool isAccepted = false;
        /// As in BatchJob.
        std::string transferredFrom = {};
    };

    /// The end of a run as reported by the holder of its executor.
    struct ReportedEnd
    {
        RunEnd end;
        std::string executor;
        std::string reporter;
        /// The job of the request or claim; 0 if the reporter knows neither.
        JobNumber job = 0;
    };

    void startTask(const TaskStart &start) override;
    void stopTask(std::size_t executor, const RunId &run) override;
    void stopAt(const std::string &holder, const std::string &executor, const RunId &run);
    void stopHere(const std::string &executor, const RunId &run);
    void jobEnded(JobNumber job, const BatchResult &result) override;

    std::optional<JobNumber> schedule(JobNumber number, BatchJob job, ResultHandler handler);
    std::optional<JobNumber> scheduleNow(JobNumber number, BatchJob job, ResultHandler handler);
    [[nodiscard]] bool mayHaveOpenRuns(const std::string &job) const;
    [[nodiscard]] bool awaitsOpenRuns() const;
    void schedulePostponed();
    /// Tells the witnesses of a start; its order is sent when the current handler has returned.
    void startDue(const StartOrder &order, const std::string &executor);
    /// Settles the starts, and closes the open runs, whose outcome is known by now.
    void executorAnswered(const std::string &executor);
    void shareUnheldStarts();
    void shareStartsOn(const std::string &executor);
    void share(const std::vector<OpenRun> &runs);
    void announceOpenRuns(const std::vector<OpenRun> &runs);
    void tellOpenRuns(const std::vector<OpenRun> &runs, const std::vector<std::string> &hosts);
    void tellHoldersOfOpenRuns();
    /// Closes the runs on an executor, held here, that are over.
    void closeRunsOn(const std::string &executor);
    void closeRun(const RunId &run, const std::string &executor);
    void tellClosed(const RunId &run, const std::string &executor,
                    const std::vector<std::string> &hosts);
    void chooseWitnesses();
    void addSentStarts(Frame &frame) const;
    void scheduleSettling();
    void tellSettledStarts();
    void handleOpenRuns(const Frame &frame);
    void handleSentStarts(const Frame &frame);
    [[nodiscard]] std::vector<std::string> connectedDispatchers() const;
    void connectPeers();
    void applyTopology();
    void logUnknownEvacuations();
    [[nodiscard]] std::string reporterOf(std::size_t executor) const;
    [[nodiscard]] std::string holderOfExecutor(std::size_t executor) const;
    void startHere(const TaskStart &start);
    /// \p job is that of the request; 0 if the reply names none.
    void startAnswered(const RunId &run, JobNumber job, bool isAccepted);
    void runEnded(const RunEnd &end, const std::string &executor);
    void handleEnd(const ReportedEnd &reported);
    [[nodiscard]] bool isEndOf(const Placed &placed, const ReportedEnd &reported) const;
    [[nodiscard]] Duration allowedLeaseFor(const std::string &owner) const;
    [[nodiscard]] Duration allowedLeaseOf(const RunId &run, const std::string &executor) const;
    void capacityChanged();
    void collectCapacityChanges();
    void reportWaiting();
    void addWaiting(Frame &frame) const;
    void setWaiting(const std::string &host, std::optional<WaitingUrgency> urgency);
    void sendHeartbeats();
    [[nodiscard]] std::set<std::string> heartbeatHosts() const;
    void addAllCapacity(Frame &frame) const;
    void addUsableCapacity(Frame &frame) const;
    void logLoad();
    void received(const Frame &frame);
    void logOutdatedStarts(const Frame &frame, std::optional<Duration> age);
    void handleReplies(const Frame &frame);
    void handleStarts(const Frame &frame, bool isOutdated);
    void handleClaims(const Frame &frame);
    void handleClaim(const RunClaim &claim);
    void handleStops(const Frame &frame);
    void sendEnd(const RunOwner &owner, const RunEnd &end, const std::string &executor);
    void hostConnected(const std::string &host);
    void claimMovedRuns();
    void addClaim(Frame &frame, const RunId &run, const Placed &placed) const;
    void checkLiveness();
    void checkSilence();
    void endSharedWith(const std::string &host);
    void stopRunsOf(const std::string &owner);
    void schedulePlacement();
    void placeAfterYielding();
    void place();
    void checkSuspension();
    void checkForStalls();
    [[nodiscard]] bool isInQuietPeriod();
    void scheduleExpiry();

    const Clock &m_clock;
    BatchMetrics &m_metrics;
    BatchHostSettings m_settings;
    LivenessTimeouts m_timeouts;
    CapacityView m_view;
    BatchScheduler m_scheduler;
    EvacuationRecord m_evacuations;
    HolderService m_holder;
    Mesh m_mesh;
    CapacityReporter m_capacityReporter;
    PeerLiveness m_peers;
    JobRelay m_relay;
    RelayedJobs m_relayed;
    RunRegistry m_runs;
    EarlyClaims m_earlyClaims;
    OpenRuns m_openRuns;
    SentStarts m_sentStarts;
    WitnessedStarts m_witnessedStarts;
    PostponedJobs m_postponed;
    UnknownRacks m_unknownRacks;
    SuspensionDetector m_suspension;
    StallDetector m_stallDetector;
    PeerTopology m_topology;
    CapacityReportIntervals m_reportIntervals;
    std::map<std::string, ExecutorRegistration> m_executors;
    /// Those of the listed hosts.
    std::set<std::string> m_dataCentres;
    std::map<RunId, Placed> m_placed;
    std::unordered_map<JobNumber, ResultHandler> m_handlers;
    std::function<void(const Frame &)> m_frameListener;
    /// The hosts that are told of each start before it is sent.
    std::vector<std::string> m_witnesses;
    /// The hosts that have told this process of the open runs that they know.
    std::set<std::string> m_openRunsKnownFrom;
    /// Until then, jobs wait for the hosts that haven't; set with the first membership.
    std::optional<MonotonicTime> m_awaitsOpenRunsUntil;
    bool m_isSettlingDue = false;
    std::optional<TimerQueue::Id> m_expiryTimer;
    MonotonicTime m_loadDue;
    std::size_t m_heartbeats = 0;
    JobNumber m_lastJob;
    bool m_isPlacementDue = false;
    bool m_isQuietPeriodEndDue = false;
    bool m_isYieldEndDue = false;
    /// The urgency that was reported to the other hosts last.
    std::optional<WaitingUrgency> m_reportedUrgency;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
