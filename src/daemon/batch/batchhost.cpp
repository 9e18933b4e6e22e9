#include "batchhost.h"

#include "batch/meshmessages.h"
#include "log.h"

#include <algorithm>
#include <set>

namespace anvilmill::daemon {

using mesh::append;
using mesh::runOf;
using mesh::setResources;
using mesh::setRun;
using wire::meshframe::MeshRun;
using wire::meshframe::MeshStart;

namespace {

/// Well above the time between two consecutive clock reads.
constexpr Duration SuspensionTolerance = std::chrono::milliseconds(100);

/// Interval of the stall check; an iteration of the loop takes a few milliseconds, tens of them on
/// a slow, busy host.
constexpr Duration StallCheckInterval = std::chrono::milliseconds(100);
/// Callers time out later than this, and an iteration on a busy host rarely takes that long.
constexpr Duration MaxIterationTime = std::chrono::milliseconds(400);
/// Time to read the data that waits in the sockets, which takes a few iterations.
constexpr Duration QuietAfterStall = std::chrono::milliseconds(50);
/// Time for the other hosts to connect to a new process, which they dial every 400 ms.
constexpr Duration AwaitOpenRuns = std::chrono::milliseconds(800);

} // namespace

BatchHost::BatchHost(boost::asio::io_context &loop, TimerQueue &timers, const Clock &clock,
                     RandomSource &random, ExecutorCalls &calls, BatchMetrics &metrics,
                     const BatchHostSettings &settings)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_timeouts(settings.liveness, settings.hold)
    , m_view(clock, settings.dataCentre,
             capacityReportIntervals(0, true, LivenessTimeouts::HeartbeatInterval).nearStaleAfter)
    , m_scheduler(clock, random, m_view, *this)
    , m_evacuations(metrics, settings.awaitsEvacuations)
    , m_holder(clock, timers, calls, metrics, m_evacuations.evacuations(), settings.hold,
               {[this](const RunEnd &end, const std::string &executor) { runEnded(end, executor); },
                [this] { capacityChanged(); },
                [this](const RunId &run, const std::string &executor) {
                    return allowedLeaseOf(run, executor);
                },
                [this](const StartOrder &order, const std::string &executor) {
                    startDue(order, executor);
                },
                [this](const std::string &executor) { executorAnswered(executor); }})
    , m_mesh(loop, timers, settings.name, settings.meshAddress,
             {[this](const Frame &frame) { received(frame); },
              [this](const std::string &host) { hostConnected(host); },
              [this](const std::string &host) { m_relayed.disconnected(host); }},
             settings.peerConnections)
    , m_capacityReporter(m_mesh, timers, clock, settings.name)
    , m_peers(clock)
    , m_relay(m_mesh, timers, clock, random, m_peers)
    , m_relayed(m_mesh, clock,
                {[this](BatchJob job, ResultHandler handler) {
                     return schedule(++m_lastJob, std::move(job), std::move(handler));
                 },
                 [this](JobNumber job) { cancel(job); },
                 [this](JobNumber job) { return m_scheduler.hasStarted(job); }})
    , m_runs(clock)
    , m_earlyClaims(clock)
    , m_openRuns(clock)
    , m_postponed(timers, clock)
    , m_unknownRacks(clock)
    , m_suspension(SuspensionTolerance)
    , m_stallDetector(MaxIterationTime, QuietAfterStall)
    , m_topology(settings.name, settings.dataCentre)
    , m_lastJob(settings.firstJob)
    , m_timers(timers)
{
    m_scheduler.nearPlacement().setSlowdown(settings.remoteSlowdown);
    if (!m_timeouts.areSufficient())
        LogEvent("host.resubmissionTooEarly", LogEvent::Level::Warning)
                .with("resubmissionDelay", settings.liveness.resubmissionDelay)
                .with("silentAfter", m_timeouts.silentAfter());
    checkForStalls();
    checkLiveness();
    sendHeartbeats();
}

BatchHost::~BatchHost() = default;

void BatchHost::updateExecutor(const ExecutorRegistration &registration)
{
    // Executors write their entries with each heartbeat, mostly unchanged.
    const auto current = m_executors.find(registration.id);
    if (current != m_executors.end() && current->second == registration)
        return;
    if (current != m_executors.end())
        LogEvent("executor.changed")
                .with("executor", registration.id)
                .with("draining", registration.isDraining)
                .with("milliCores", registration.capacity.milliCores)
                .with("incarnation", registration.incarnation)
                .with("coldRemaining", registration.coldRemaining);
    // The holder begins a new record then, which lacks the starts of the former one.
    if (current != m_executors.end() && current->second.address != registration.address)
        shareStartsOn(registration.id);
    m_executors[registration.id] = registration;
    m_view.update(registration);
    m_holder.update(registration);
    schedulePlacement();
}

void BatchHost::removeAllExecutors()
{
    const auto executors = std::move(m_executors);
    m_executors.clear();
    for (const auto &[id, registration] : executors)
        removeExecutor(id);
}

void BatchHost::removeExecutor(const std::string &executor)
{
    m_executors.erase(executor);
    m_view.remove(executor);
    m_holder.remove(executor);
    shareStartsOn(executor);
}

void BatchHost::setMembership(const HostMembership &membership)
{
    const bool wasDispatcher = isDispatcher();
    m_topology.adopt(membership);
    if (isDispatcher() != wasDispatcher)
        LogEvent("host.roleChanged")
                .with("dispatches", isDispatcher())
                .with("membership", membership.revision);
    m_dataCentres.clear();
    for (const PeerHost &host : membership.hosts)
        m_dataCentres.insert(host.dataCentre);
    logUnknownEvacuations();
    m_peers.setListed(membership.hosts, m_topology.neighbours());
    m_mesh.setListed(membership.hosts);
    connectPeers();
    if (!m_awaitsOpenRunsUntil)
        m_awaitsOpenRunsUntil = m_clock.now() + AwaitOpenRuns;
    m_holder.assign(m_topology.assignment(), m_settings.name);
    applyTopology();
    shareUnheldStarts();
    chooseWitnesses();
    claimMovedRuns();
    for (const RunClaim &claim : m_earlyClaims.takeAll())
        handleClaim(claim);
}

// In a large fleet executors of the own data centre are preferred, since capacity reports from
// other data centres are older.
void BatchHost::applyTopology()
{
    const HolderAssignment &assignment = m_topology.assignment();
    const bool isSmall = m_topology.isSmall();
    m_relay.setDispatchers(assignment.dispatchersOf(m_settings.dataCentre));
    m_view.setOwnDataCentreFirst(!isSmall);
    m_view.setPreferredHost(m_settings.name);
    const std::size_t farDispatchers = assignment.allDispatchers().size()
                                       - assignment.dispatchersOf(m_settings.dataCentre).size();
    m_reportIntervals =
            capacityReportIntervals(farDispatchers, isSmall, LivenessTimeouts::HeartbeatInterval);
    m_view.setStaleAfter(m_reportIntervals.nearStaleAfter, m_reportIntervals.farStaleAfter);
    m_scheduler.setShare(isDispatcher() ? assignment.shareOf(m_settings.name) : 1.0);
}

// Start requests go to the host that reports the executor's capacity, since a host disconnected
// from the store has no record of the membership that assigned the holders.
std::string BatchHost::reporterOf(std::size_t executor) const
{
    const std::string reporter = m_view.holderOf(executor);
    return reporter.empty() ? holderOfExecutor(executor) : reporter;
}

std::string BatchHost::holderOfExecutor(std::size_t executor) const
{
    const auto found = m_executors.find(m_view.idOf(executor));
    if (found == m_executors.end())
        return {};
    return m_topology.assignment().holderOf(found->first, found->second.dataCentre).value_or("");
}

std::optional<JobNumber> BatchHost::submit(BatchJob job, ResultHandler handler)
{
    checkSuspension();
    const JobNumber number = ++m_lastJob;
    if (!isDispatcher()) {
        if (job.isAbandoned && job.isAbandoned()) {
            handler({BatchEnd::Cancelled, "disconnected", {}, 0, {}, "", {}});
            return std::nullopt;
        }
        if (m_relay.relay(number, job, handler))
            return number;
    }
    return schedule(number, std::move(job), std::move(handler));
}

std::optional<JobNumber> BatchHost::schedule(JobNumber number, BatchJob job, ResultHandler handler)
{
    if (!mayHaveOpenRuns(job.id))
        return scheduleNow(number, std::move(job), std::move(handler));
    m_metrics.runDecided("jobPostponed");
    LogEvent("job.postponed")
            .with("job", job.id)
            .with("openRuns", m_openRuns.size())
            .with("left", job.deadline - m_clock.now());
    const MonotonicTime latestStart = m_scheduler.latestUsefulStart(job);
    m_postponed.add(number, std::move(job), latestStart, std::move(handler));
    return number;
}

std::optional<JobNumber> BatchHost::scheduleNow(JobNumber number, BatchJob job,
                                                ResultHandler handler)
{
    const std::string &rack = job.tasks.front().preferredRack;
    if (!rack.empty() && !m_view.knowsRack(rack))
        m_unknownRacks.named(rack);
    if (const auto refusal = m_scheduler.submit(number, std::move(job))) {
        handler({BatchEnd::Refused, refusal->cause, refusal->retryAfter, 0, {}, "", {}});
        return std::nullopt;
    }
    m_handlers.emplace(number, std::move(handler));
    place();
    return number;
}

void BatchHost::cancel(JobNumber job)
{
    m_relay.cancel(job);
    m_scheduler.cancel(job);
    m_postponed.cancel(job);
    schedulePlacement();
}

void BatchHost::startTask(const TaskStart &start)
{
    const std::string holder = reporterOf(start.executor);
    m_capacityReporter.recordDemand(start.demand);
    if (start.place != TaskPlace::Any)
        m_metrics.taskPlaced(start.place == TaskPlace::Near, start.hasWaitedForRack);
    m_placed[start.run] = {start.task.job, start.executor,       start.demand, holder, {},
                           false,          start.transferredFrom};
    if (holder == m_settings.name) {
        startHere(start);
        return;
    }
    Frame *const frame = m_mesh.frameFor(holder);
    if (!frame) {
        m_timers.post([this, run = start.run, job = start.task.job] {
            startAnswered(run, job, false);
            schedulePlacement();
        });
        return;
    }
    MeshStart message;
    message.executor = m_view.idOf(start.executor);
    message.job = static_cast<std::int64_t>(start.task.job);
    setRun(message, start.run);
    setResources(message, start.demand);
    message.spec = mesh::specIndex(*frame, *start.spec);
    append(frame->starts, std::move(message));
}

// The scheduler is notified of the outcome only after place() has returned.
void BatchHost::startHere(const TaskStart &start)
{
    const bool isAccepted = m_holder.start(m_view.idOf(start.executor), start.run, start.demand,
                                           *start.spec, allowedLeaseFor(start.transferredFrom));
    m_timers.post([this, run = start.run, job = start.task.job, isAccepted] {
        capacityChanged();
        startAnswered(run, job, isAccepted);
        schedulePlacement();
    });
}

/// Runs without an owner are unclaimed ones, for which no lease is requested anyway, and those of jobs whose
/// callers are connected to this host.
Duration BatchHost::allowedLeaseFor(const std::string &owner) const
{
    if (owner.empty() || owner == m_settings.name)
        return Duration::max();
    return m_timeouts.leaseAfterLastMessage() - m_peers.silence(owner);
}

/// The host that may be lost is the one that requested the run; of a run requested here, the one that
/// transferred its job. This host may be lost, too, before it can stop the run.
Duration BatchHost::allowedLeaseOf(const RunId &run, const std::string &executor) const
{
    const std::string owner = m_runs.ownerOf(run, executor).host;
    const auto placed = owner.empty() ? m_placed.find(run) : m_placed.end();
    return allowedLeaseFor(placed == m_placed.end() ? owner : placed->second.transferredFrom);
}

void BatchHost::startAnswered(const RunId &run, JobNumber job, bool isAccepted)
{
    const auto placed = m_placed.find(run);
    if (placed == m_placed.end())
        return;
    if (job != 0 && placed->second.job != job) {
        m_metrics.runDecided("replyIgnored");
        LogEvent("run.replyIgnored")
                .with("task", run.task)
                .with("run", run.number)
                .with("job", placed->second.job)
                .with("repliedTo", job)
                .with("accepted", isAccepted);
        return;
    }
    if (isAccepted) {
        placed->second.isAccepted = true;
        m_scheduler.startAccepted(run);
        return;
    }
    m_placed.erase(placed);
    m_scheduler.startRefused(run);
}

void BatchHost::stopTask(std::size_t executor, const RunId &run)
{
    const auto placed = m_placed.find(run);
    if (placed == m_placed.end())
        return;
    const Placed stopped = placed->second;
    m_placed.erase(placed);
    const std::string id = m_view.idOf(executor);
    // A holder that hasn't replied tells its witnesses if it starts the run.
    if (stopped.isAccepted || m_holder.has(id, run))
        m_openRuns.expectEnd({run, id});
    stopAt(stopped.holder, id, run);
    for (const std::string &former : stopped.formerHolders)
        stopAt(former, id, run);
}

void BatchHost::stopAt(const std::string &holder, const std::string &executor, const RunId &run)
{
    if (holder == m_settings.name) {
        m_holder.stop(executor, run);
        return;
    }
    Frame *const frame = m_mesh.frameFor(holder);
    // The receiver handles the stops of a frame before its starts.
    if (!frame || mesh::withdrawStart(*frame, executor, run))
        return;
    MeshRun message;
    message.executor = executor;
    setRun(message, run);
    append(frame->stops, std::move(message));
}

void BatchHost::jobEnded(JobNumber job, const BatchResult &result)
{
    const auto found = m_handlers.find(job);
    if (found == m_handlers.end())
        return;
    const ResultHandler handler = std::move(found->second);
    m_handlers.erase(found);
    handler(result);
}

void BatchHost::schedulePlacement()
{
    if (std::exchange(m_isPlacementDue, true))
        return;
    m_timers.post([this] {
        m_isPlacementDue = false;
        place();
    });
}

void BatchHost::place()
{
    m_scheduler.expire();
    if (isInQuietPeriod()) {
        if (!std::exchange(m_isQuietPeriodEndDue, true))
            m_timers.after(QuietAfterStall, [this] {
                m_isQuietPeriodEndDue = false;
                place();
            });
    } else if (m_evacuations.evacuations().isKnown()) {
        m_scheduler.place();
        placeAfterYielding();
    }
    reportWaiting();
    scheduleExpiry();
}

// Capacity that the more urgent jobs of other hosts have left is free for all then.
void BatchHost::placeAfterYielding()
{
    if (!m_scheduler.hasYielded() || std::exchange(m_isYieldEndDue, true))
        return;
    m_timers.after(BatchScheduler::YieldPeriod, [this] {
        m_isYieldEndDue = false;
        place();
    });
}

void BatchHost::scheduleExpiry()
{
    const auto next = m_scheduler.nextExpiry();
    if (m_expiryTimer && next && m_expiryTimer->first == *next)
        return;
    if (m_expiryTimer)
        m_timers.cancel(*m_expiryTimer);
    m_expiryTimer.reset();
    if (next)
        m_expiryTimer = m_timers.at(*next, [this] {
            m_expiryTimer.reset();
            place();
        });
}

void BatchHost::checkForStalls()
{
    m_stallDetector.update(m_clock.sinceBoot());
    m_timers.after(StallCheckInterval, [this] { checkForStalls(); });
}

bool BatchHost::isInQuietPeriod()
{
    m_stallDetector.update(m_clock.sinceBoot());
    return m_stallDetector.isInQuietPeriod();
}

void BatchHost::checkSuspension()
{
    if (!m_suspension.wasSuspended(m_clock.now(), m_clock.sinceBoot()))
        return;
    LogEvent("host.resumed", LogEvent::Level::Warning).with("runs", m_holder.runs());
    m_holder.invalidateLeases();
}

} // namespace anvilmill::daemon
