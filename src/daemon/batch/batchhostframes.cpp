// What other hosts tell, and what they are told of runs.

#include "batch/meshmessages.h"
#include "batchhost.h"
#include "log.h"

#include <set>

namespace anvilmill::daemon {

using mesh::append;
using mesh::resourcesOf;
using mesh::runOf;
using mesh::setResources;
using mesh::setRun;
using wire::meshframe::MeshClaim;
using wire::meshframe::MeshEnd;
using wire::meshframe::MeshReply;
using wire::meshframe::MeshRun;
using wire::meshframe::MeshStart;

void BatchHost::runEnded(const RunEnd &end, const std::string &executor)
{
    const std::string owner = m_runs.ownerOf(end.run, executor);
    m_runs.ended(end, executor);
    if (!owner.empty()) {
        sendEnd(owner, end, executor);
        return;
    }
    takeEnd(end, executor);
    placeSoon();
}

// An end on another executor is that of an earlier attempt of the job, whose runs have the same
// names.
void BatchHost::takeEnd(const RunEnd &end, const std::string &executor)
{
    const auto placed = m_placed.find(end.run);
    if (placed == m_placed.end() || m_view.idOf(placed->second.executor) != executor)
        return;
    m_placed.erase(placed);
    m_scheduler.runEnded(end);
}

void BatchHost::sendEnd(const std::string &host, const RunEnd &end, const std::string &executor)
{
    Frame *const frame = m_mesh.frameFor(host);
    if (frame)
        append(frame->ends, mesh::endMessage(end, executor));
}

void BatchHost::received(const Frame &frame)
{
    checkSuspension();
    m_peers.heard(frame.host);
    if (m_frameListener)
        m_frameListener(frame);
    m_relay.received(frame);
    m_relayed.received(frame);
    if (frame.waiting)
        m_teller.setWaiting(frame.host, *frame.waiting > 0);
    takeReplies(frame);
    for (const CapacityReport &report : mesh::roomsOf(frame))
        m_view.report(report);
    takeClaims(frame);
    takeStops(frame);
    takeStarts(frame);
    placeSoon();
}

void BatchHost::takeReplies(const Frame &frame)
{
    for (const MeshReply &reply : frame.replies.value_or(std::vector<MeshReply>())) {
        if (reply.accepted)
            m_scheduler.startAccepted(runOf(reply));
        else
            startRefused(runOf(reply));
    }
    for (const MeshEnd &message : frame.ends.value_or(std::vector<MeshEnd>())) {
        takeEnd(mesh::endOf(message), message.executor);
    }
}

void BatchHost::takeStarts(const Frame &frame)
{
    for (const MeshStart &start : frame.starts.value_or(std::vector<MeshStart>())) {
        const RunId run = runOf(start);
        const auto index = static_cast<std::size_t>(start.spec);
        const bool hasSpec = frame.specs && index < frame.specs->size();
        const bool isAccepted =
                hasSpec && !isQuiet()
                && m_holder.start(start.executor, run, resourcesOf(start), (*frame.specs)[index]);
        if (isAccepted)
            m_runs.setOwner(run, frame.host, start.executor);
        Frame *const answer = m_mesh.frameFor(frame.host);
        if (!answer)
            continue;
        MeshReply reply;
        setRun(reply, run);
        reply.accepted = isAccepted;
        append(answer->replies, std::move(reply));
        // The room goes out with the reply, so that it never counts the run twice.
        collectRoom();
        m_teller.addNoted(*answer, start.executor);
    }
}

void BatchHost::takeClaim(const RunClaim &claim)
{
    if (const auto end = m_runs.endOf(claim.run, claim.host, claim.executor))
        sendEnd(claim.host, *end, claim.executor);
    else if (m_holder.adopt(claim.executor, claim.run, claim.demand))
        m_runs.setOwner(claim.run, claim.host, claim.executor);
    else
        m_earlyClaims.keep(claim);
}

// The sender believes these runs to be here: it is told of those that are not.
void BatchHost::takeClaims(const Frame &frame)
{
    for (const MeshClaim &message : frame.claims.value_or(std::vector<MeshClaim>()))
        takeClaim({runOf(message), message.executor, resourcesOf(message), frame.host});
    if (!frame.areAllClaims.value_or(false))
        return;
    std::set<RunId> claimed;
    for (const MeshClaim &message : frame.claims.value_or(std::vector<MeshClaim>()))
        claimed.insert(runOf(message));
    for (const auto &[run, executor] : m_runs.runsOf(frame.host)) {
        if (claimed.count(run) == 0)
            m_holder.stop(executor, run);
    }
}

void BatchHost::takeStops(const Frame &frame)
{
    for (const MeshRun &message : frame.stops.value_or(std::vector<MeshRun>())) {
        m_earlyClaims.drop(runOf(message));
        m_holder.stop(message.executor, runOf(message));
    }
}

// Starts, stops and ends may have been lost with the last connection: both sides compare.
void BatchHost::hostConnected(const std::string &host)
{
    Frame *const frame = m_mesh.frameFor(host);
    if (!frame)
        return;
    frame->areAllClaims = true;
    // What was told while there was no connection is missing there.
    if (m_neighbourhood.needsCapacityReports(host))
        addAllRoom(*frame);
    m_relay.addOpenJobs(*frame, host);
    for (const auto &[run, placed] : m_placed) {
        if (placed.holder == host)
            addClaim(*frame, run, placed);
    }
}

void BatchHost::addAllRoom(Frame &frame) const
{
    for (const CapacityReport &report : m_holder.room())
        mesh::addRoom(frame, report.executor, report.room);
}

/// Asks new holders to answer for the runs at executors that have changed hands.
void BatchHost::claimMoved()
{
    for (auto &[run, placed] : m_placed) {
        const std::string holder = holderOfExecutor(placed.executor);
        if (holder == placed.holder)
            continue;
        placed.holder = holder;
        placed.asked = m_clock.now();
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
    setResources(message, placed.demand);
    append(frame.claims, std::move(message));
}

} // namespace anvilmill::daemon
