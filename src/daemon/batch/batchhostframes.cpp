// Handling of frames from other hosts, and messages to them about runs.

#include "batch/meshmessages.h"
#include "batchhost.h"
#include "log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilmill::daemon {

using mesh::append;
using mesh::jobNumberOf;
using mesh::resourcesOf;
using mesh::runOf;
using mesh::setResources;
using mesh::setRun;
using wire::meshframe::MeshClaim;
using wire::meshframe::MeshEnd;
using wire::meshframe::MeshReply;
using wire::meshframe::MeshRun;
using wire::meshframe::MeshStart;

namespace {

WaitingUrgency urgencyOf(const wire::meshframe::MeshFrame &frame)
{
    return WaitingUrgency(static_cast<int>(frame.waitingPriority.value_or(WaitingUrgency::Late)));
}

} // namespace

void BatchHost::runEnded(const RunEnd &end, const std::string &executor)
{
    const RunOwner owner = m_runs.ownerOf(end.run, executor);
    m_runs.ended(end, executor);
    m_sentStarts.settle(end.run, executor);
    scheduleSettling();
    closeRun(end.run, executor);
    if (!owner.host.empty()) {
        sendEnd(owner, end, executor);
        return;
    }
    handleEnd({end, executor, m_settings.name});
    schedulePlacement();
}

void BatchHost::handleEnd(const ReportedEnd &reported)
{
    const RunEnd &end = reported.end;
    const auto placed = m_placed.find(end.run);
    if (placed == m_placed.end()) {
        if (!end.isInferred)
            closeRun(end.run, reported.executor);
        return;
    }
    if (!isEndOf(placed->second, reported)) {
        m_metrics.runDecided("endIgnored");
        LogEvent("run.endIgnored")
                .with("task", end.run.task)
                .with("run", end.run.number)
                .with("executor", reported.executor)
                .with("placedOn", m_view.idOf(placed->second.executor))
                .with("reporter", reported.reporter)
                .with("holder", placed->second.holder)
                .with("outcome", asString(end.outcome))
                .with("inferred", end.isInferred);
        return;
    }
    m_placed.erase(placed);
    m_scheduler.runEnded(end);
}

/// True if the end is that of the placed run. An end on another executor, or of another job, belongs to
/// an earlier submission of the job, whose runs have the same identifiers. An inferred end holds only
/// while no other host was requested to keep the run, since that one may be renewing the lease.
bool BatchHost::isEndOf(const Placed &placed, const ReportedEnd &reported) const
{
    if (m_view.idOf(placed.executor) != reported.executor
        || (reported.job != 0 && reported.job != placed.job))
        return false;
    return !reported.end.isInferred
           || (placed.holder == reported.reporter && placed.formerHolders.empty());
}

void BatchHost::sendEnd(const RunOwner &owner, const RunEnd &end, const std::string &executor)
{
    Frame *const frame = m_mesh.frameFor(owner.host);
    if (!frame)
        return;
    MeshEnd message = mesh::endMessage(end, executor);
    mesh::setJob(message, owner.job);
    append(frame->ends, std::move(message));
}

void BatchHost::received(const Frame &frame)
{
    checkSuspension();
    const auto age = m_mesh.ageOf(frame);
    m_peers.messageReceived(frame.host, age.value_or(Duration{}));
    const bool isOutdated = !age || *age > m_timeouts.maxRequestAge();
    if (isOutdated && frame.starts)
        logOutdatedStarts(frame, age);
    if (m_frameListener)
        m_frameListener(frame);
    m_relay.received(frame);
    if (isOutdated)
        m_relayed.outdatedReceived(frame);
    else
        m_relayed.received(frame);
    if (frame.waiting)
        setWaiting(frame.host,
                   *frame.waiting > 0 ? std::make_optional(urgencyOf(frame)) : std::nullopt);
    handleOpenRuns(frame);
    handleSentStarts(frame);
    handleReplies(frame);
    for (const CapacityReport &report : mesh::capacityReportsOf(frame))
        m_view.report(report);
    handleClaims(frame);
    handleStops(frame);
    handleStarts(frame, isOutdated);
    schedulePlacement();
}

void BatchHost::logOutdatedStarts(const Frame &frame, std::optional<Duration> age)
{
    m_metrics.runDecided("outdatedRequest");
    LogEvent("run.requestOutdated", LogEvent::Level::Warning)
            .with("host", frame.host)
            .with("age", age.value_or(Duration{}))
            .with("limit", m_timeouts.maxRequestAge())
            .with("starts", frame.starts->size());
}

void BatchHost::handleReplies(const Frame &frame)
{
    for (const MeshReply &reply : frame.replies.value_or(std::vector<MeshReply>())) {
        startAnswered(runOf(reply), jobNumberOf(reply), reply.accepted);
    }
    for (const MeshEnd &message : frame.ends.value_or(std::vector<MeshEnd>())) {
        handleEnd({mesh::endOf(message), message.executor, frame.host, jobNumberOf(message)});
    }
}

// The sender may have given up outdated requests, and its cancellations wait behind them or were lost
// with the connection.
void BatchHost::handleStarts(const Frame &frame, bool isOutdated)
{
    bool isAnyRefused = false;
    for (const MeshStart &start : frame.starts.value_or(std::vector<MeshStart>())) {
        const RunId run = runOf(start);
        const auto index = static_cast<std::size_t>(start.spec);
        m_capacityReporter.recordDemand(resourcesOf(start));
        const bool hasSpec = frame.specs && index < frame.specs->size();
        const bool isAccepted =
                hasSpec && !isOutdated && !isInQuietPeriod()
                && m_holder.start(start.executor, run, resourcesOf(start), (*frame.specs)[index],
                                  allowedLeaseFor(frame.host));
        if (isAccepted)
            m_runs.setOwner(run, {frame.host, jobNumberOf(start)}, start.executor);
        Frame *const answer = m_mesh.frameFor(frame.host);
        if (!answer)
            continue;
        MeshReply reply;
        setRun(reply, run);
        reply.job = start.job;
        reply.accepted = isAccepted;
        append(answer->replies, std::move(reply));
        // The capacity is sent with the reply, so that the receiver never counts the run twice.
        collectCapacityChanges();
        m_capacityReporter.addPending(*answer, start.executor);
        isAnyRefused = isAnyRefused || !isAccepted;
    }
    // The sender assumed outdated capacity, probably not of this executor alone. It takes the others
    // for full.
    Frame *const answer = isAnyRefused ? m_mesh.frameFor(frame.host) : nullptr;
    if (answer)
        addUsableCapacity(*answer);
}

void BatchHost::handleClaim(const RunClaim &claim)
{
    const char *outcome = "early";
    if (const auto end = m_runs.endOf(claim.run, claim.owner, claim.executor)) {
        outcome = "ended";
        sendEnd(claim.owner, *end, claim.executor);
    } else if (m_holder.adopt(claim.executor, claim.run, claim.demand)) {
        outcome = "adopted";
        m_runs.setOwner(claim.run, claim.owner, claim.executor);
    } else {
        m_earlyClaims.add(claim);
    }
    LogEvent("run.claimed")
            .with("task", claim.run.task)
            .with("run", claim.run.number)
            .with("executor", claim.executor)
            .with("host", claim.owner.host)
            .with("outcome", outcome);
}

// The sender claims the runs that it has recorded as running here. If a run has already ended,
// handleClaim() sends its end again, since the sender still waits for it. A complete list of claims
// stops the runs that it omits.
void BatchHost::handleClaims(const Frame &frame)
{
    for (const MeshClaim &message : frame.claims.value_or(std::vector<MeshClaim>()))
        handleClaim({runOf(message),
                     message.executor,
                     resourcesOf(message),
                     {frame.host, jobNumberOf(message)}});
    if (!frame.areAllClaims.value_or(false))
        return;
    std::set<RunId> claimed;
    for (const MeshClaim &message : frame.claims.value_or(std::vector<MeshClaim>()))
        claimed.insert(runOf(message));
    for (const auto &[run, executor] : m_runs.runsOf(frame.host)) {
        if (claimed.count(run) == 0)
            stopHere(executor, run);
    }
}

void BatchHost::handleStops(const Frame &frame)
{
    for (const MeshRun &message : frame.stops.value_or(std::vector<MeshRun>())) {
        m_earlyClaims.remove(frame.host, runOf(message), message.executor);
        stopHere(message.executor, runOf(message));
    }
}

// Starts, stops and ends may have been lost with the last connection: both sides compare their
// records.
void BatchHost::hostConnected(const std::string &host)
{
    Frame *const frame = m_mesh.frameFor(host);
    if (!frame)
        return;
    frame->areAllClaims = true;
    addWaiting(*frame);
    // The host missed the reports that were sent while it was disconnected.
    if (m_topology.needsCapacityReports(host))
        addAllCapacity(*frame);
    m_relay.addOpenJobs(*frame, host);
    frame->openRuns.emplace();
    tellOpenRuns(m_openRuns.shared(), {host});
    if (std::find(m_witnesses.begin(), m_witnesses.end(), host) != m_witnesses.end())
        addSentStarts(*frame);
    for (const auto &[run, placed] : m_placed) {
        if (placed.holder == host)
            addClaim(*frame, run, placed);
    }
}

void BatchHost::addAllCapacity(Frame &frame) const
{
    for (const CapacityReport &report : m_holder.freeCapacity())
        mesh::addCapacity(frame, report.executor, report.freeCapacity);
}

void BatchHost::addUsableCapacity(Frame &frame) const
{
    for (const CapacityReport &report : m_holder.freeCapacity()) {
        if (m_capacityReporter.usable(report.freeCapacity).milliCores > 0)
            mesh::addCapacity(frame, report.executor, report.freeCapacity);
    }
}

/// Claims the runs on executors that have a new holder.
void BatchHost::claimMovedRuns()
{
    for (auto &[run, placed] : m_placed) {
        const std::string holder = holderOfExecutor(placed.executor);
        if (holder.empty() || holder == placed.holder)
            continue;
        placed.formerHolders.insert(std::exchange(placed.holder, holder));
        placed.formerHolders.erase(holder);
        if (holder == m_settings.name) {
            (void)m_holder.adopt(m_view.idOf(placed.executor), run, placed.demand);
            continue;
        }
        Frame *const frame = m_mesh.frameFor(holder);
        if (frame)
            addClaim(*frame, run, placed);
    }
}

void BatchHost::addClaim(Frame &frame, const RunId &run, const Placed &placed) const
{
    MeshClaim message;
    message.executor = m_view.idOf(placed.executor);
    setRun(message, run);
    mesh::setJob(message, placed.job);
    setResources(message, placed.demand);
    append(frame.claims, std::move(message));
}

} // namespace anvilmill::daemon
