// What hosts tell each other of runs that may begin or go on although nobody waits for them, so that no
// task of a job that is submitted again runs beside an earlier run.

#include "batch/meshmessages.h"
#include "batchhost.h"
#include "log.h"

#include "anvilmill/executor/startwitnesses.h"

#include <algorithm>
#include <set>

namespace anvilmill::daemon {

using mesh::append;
using mesh::runOf;
using mesh::setRun;
using wire::meshframe::MeshOpenRun;
using wire::meshframe::MeshRun;
using wire::meshframe::MeshSentStart;

namespace {

/// Starts that are settled within this time are reported together. Those that haven't been reported when a
/// host is lost count as open.
constexpr Duration SettleInterval = std::chrono::milliseconds(2);

template <typename Message>
OpenRun openRunOf(const Message &message, std::int64_t fence)
{
    return {runOf(message), message.executor, static_cast<Fence>(fence)};
}

MeshSentStart sentStartMessage(SentStarts::Number number, const OpenRun &start)
{
    MeshSentStart message;
    message.number = number;
    message.executor = start.executor;
    setRun(message, start.run);
    message.fence = static_cast<std::int64_t>(start.fence);
    return message;
}

} // namespace

bool BatchHost::mayHaveOpenRuns(const std::string &job) const
{
    return m_openRuns.hasJob(job) || awaitsOpenRuns();
}

/// True while another host may know of open runs that this new process doesn't know yet.
bool BatchHost::awaitsOpenRuns() const
{
    if (!m_awaitsOpenRunsUntil || m_clock.now() >= *m_awaitsOpenRunsUntil)
        return false;
    const std::vector<PeerHost> &neighbours = m_topology.neighbours();
    return std::any_of(neighbours.begin(), neighbours.end(), [this](const PeerHost &host) {
        return m_topology.needsCapacityReports(host.name)
               && m_openRunsKnownFrom.count(host.name) == 0;
    });
}

void BatchHost::schedulePostponed()
{
    if (m_postponed.size() == 0)
        return;
    for (auto &[number, postponed] :
         m_postponed.take([this](const std::string &id) { return !mayHaveOpenRuns(id); }))
        (void)scheduleNow(number, std::move(postponed.job), std::move(postponed.handler));
}

std::vector<std::string> BatchHost::connectedDispatchers() const
{
    std::vector<std::string> hosts = m_mesh.connectedHosts();
    const auto placesNone = [this](const std::string &host) {
        return !m_topology.needsCapacityReports(host);
    };
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(), placesNone), hosts.end());
    return hosts;
}

// The witnesses' frames are flushed before the order is sent.
void BatchHost::startDue(const StartOrder &order, const std::string &executor)
{
    const OpenRun start{order.run, executor, order.fence};
    const MeshSentStart message = sentStartMessage(m_sentStarts.add(start), start);
    for (const std::string &witness : m_witnesses) {
        if (Frame *const frame = m_mesh.frameFor(witness))
            append(frame->sentStarts, message);
    }
}

void BatchHost::addSentStarts(Frame &frame) const
{
    frame.areAllSentStarts = true;
    for (const auto &[number, start] : m_sentStarts.all())
        append(frame.sentStarts, sentStartMessage(number, start));
}

void BatchHost::chooseWitnesses()
{
    std::vector<PeerHost> reachable;
    for (const PeerHost &host : m_peers.neighbours()) {
        const std::vector<std::string> &near = m_topology.nearDispatchers();
        if (std::find(near.begin(), near.end(), host.name) != near.end()
            && m_mesh.isConnected(host.name)
            && m_peers.overdue(host.name) < m_timeouts.silentAfter())
            reachable.push_back(host);
    }
    const std::vector<std::string> former = std::exchange(
            m_witnesses, startWitnesses(m_settings.name, m_settings.dataCentre, reachable));
    for (const std::string &witness : m_witnesses) {
        const bool isNew = std::find(former.begin(), former.end(), witness) == former.end();
        Frame *const frame = isNew ? m_mesh.frameFor(witness) : nullptr;
        if (frame)
            addSentStarts(*frame);
    }
}

void BatchHost::scheduleSettling()
{
    if (!std::exchange(m_isSettlingDue, true))
        m_timers.after(SettleInterval, [this] { tellSettledStarts(); });
}

void BatchHost::tellSettledStarts()
{
    m_isSettlingDue = false;
    const std::vector<SentStarts::Number> settled = m_sentStarts.takeSettled();
    if (settled.empty() || m_witnesses.empty())
        return;
    Frame frame;
    frame.host = m_settings.name;
    frame.settledStarts = settled;
    m_mesh.send(std::move(frame), m_witnesses);
}

void BatchHost::executorAnswered(const std::string &executor)
{
    if (!m_holder.holds(executor)) {
        shareStartsOn(executor);
        return;
    }
    for (const OpenRun &start : m_sentStarts.onExecutor(executor)) {
        if (m_holder.isStartOpen(executor, start.run))
            continue;
        m_sentStarts.settle(start.run, executor);
        scheduleSettling();
    }
    closeRunsOn(executor);
}

/// Starts on executors that this host holds no longer can't be resolved here any more.
void BatchHost::shareUnheldStarts()
{
    std::set<std::string> executors;
    for (const auto &[number, start] : m_sentStarts.all()) {
        if (!m_holder.holds(start.executor))
            executors.insert(start.executor);
    }
    for (const std::string &executor : executors)
        shareStartsOn(executor);
}

void BatchHost::shareStartsOn(const std::string &executor)
{
    const std::vector<OpenRun> starts = m_sentStarts.onExecutor(executor);
    for (const OpenRun &start : starts)
        m_sentStarts.settle(start.run, executor);
    if (!starts.empty())
        scheduleSettling();
    share(starts);
}

/// Tells all dispatchers of open runs that they may not know.
void BatchHost::share(const std::vector<OpenRun> &runs)
{
    std::vector<OpenRun> added;
    for (const OpenRun &run : runs) {
        if (m_openRuns.share(run))
            added.push_back(run);
    }
    announceOpenRuns(added);
}

void BatchHost::announceOpenRuns(const std::vector<OpenRun> &runs)
{
    if (runs.empty())
        return;
    for (const OpenRun &run : runs)
        LogEvent("run.openShared", LogEvent::Level::Warning)
                .with("task", run.run.task)
                .with("run", run.run.number)
                .with("executor", run.executor)
                .with("fence", run.fence);
    tellOpenRuns(runs, connectedDispatchers());
    for (const OpenRun &run : runs)
        closeRunsOn(run.executor);
}

void BatchHost::tellOpenRuns(const std::vector<OpenRun> &runs,
                             const std::vector<std::string> &hosts)
{
    for (const std::string &host : hosts) {
        Frame *const frame = runs.empty() ? nullptr : m_mesh.frameFor(host);
        if (!frame)
            continue;
        for (const OpenRun &run : runs) {
            MeshOpenRun message;
            message.executor = run.executor;
            setRun(message, run.run);
            if (run.fence != 0)
                message.fence = static_cast<std::int64_t>(run.fence);
            append(frame->openRuns, std::move(message));
        }
    }
}

/// A holder may have been told before it had the executor, or while it was disconnected.
void BatchHost::tellHoldersOfOpenRuns()
{
    const std::vector<OpenRun> shared = m_openRuns.shared();
    for (const OpenRun &run : shared) {
        const auto executor = m_executors.find(run.executor);
        if (executor == m_executors.end())
            continue;
        const auto holder =
                m_topology.assignment().holderOf(executor->first, executor->second.dataCentre);
        if (holder == m_settings.name)
            closeRunsOn(run.executor);
        else if (holder)
            tellOpenRuns({run}, {*holder});
    }
}

void BatchHost::closeRunsOn(const std::string &executor)
{
    for (const OpenRun &run : m_openRuns.onExecutor(executor)) {
        if (m_holder.isOver(executor, run.run, run.fence))
            closeRun(run.run, executor);
    }
}

/// Tells the others if they know of the run.
void BatchHost::closeRun(const RunId &run, const std::string &executor)
{
    const bool wasShared = m_openRuns.close(run, executor);
    if (m_postponed.size() > 0)
        m_timers.post([this] { schedulePostponed(); });
    if (!wasShared)
        return;
    LogEvent("run.openClosed")
            .with("task", run.task)
            .with("run", run.number)
            .with("executor", executor);
    tellClosed(run, executor, connectedDispatchers());
}

void BatchHost::tellClosed(const RunId &run, const std::string &executor,
                           const std::vector<std::string> &hosts)
{
    MeshRun message;
    message.executor = executor;
    setRun(message, run);
    for (const std::string &host : hosts) {
        if (Frame *const frame = m_mesh.frameFor(host))
            append(frame->closedRuns, message);
    }
}

void BatchHost::stopHere(const std::string &executor, const RunId &run)
{
    if (m_holder.stop(executor, run) && m_holder.has(executor, run))
        m_openRuns.expectEnd({run, executor});
}

void BatchHost::handleOpenRuns(const Frame &frame)
{
    if (frame.openRuns) {
        m_openRunsKnownFrom.insert(frame.host);
        for (const MeshOpenRun &message : *frame.openRuns) {
            const OpenRun run = openRunOf(message, message.fence.value_or(0));
            if (m_openRuns.share(run))
                LogEvent("run.openTold")
                        .with("task", run.run.task)
                        .with("run", run.run.number)
                        .with("executor", run.executor)
                        .with("fence", run.fence)
                        .with("host", frame.host);
            closeRunsOn(run.executor);
            // Others have been told by closeRunsOn().
            if (!m_openRuns.has(run.run, run.executor)
                && !m_topology.needsCapacityReports(frame.host))
                tellClosed(run.run, run.executor, {frame.host});
        }
    }
    for (const MeshRun &message : frame.closedRuns.value_or(std::vector<MeshRun>()))
        (void)m_openRuns.close(runOf(message), message.executor);
    schedulePostponed();
}

// A start that is missing in the complete list was settled, or it was sent by an earlier process.
void BatchHost::handleSentStarts(const Frame &frame)
{
    const bool isComplete = frame.areAllSentStarts.value_or(false);
    std::vector<OpenRun> missing;
    if (isComplete)
        missing = m_witnessedStarts.take(frame.host);
    for (const MeshSentStart &message : frame.sentStarts.value_or(std::vector<MeshSentStart>())) {
        const OpenRun start = openRunOf(message, message.fence);
        m_witnessedStarts.add(frame.host, message.number, start);
        missing.erase(std::remove_if(missing.begin(), missing.end(),
                                     [&](const OpenRun &each) {
                                         return each.run == start.run
                                                && each.executor == start.executor
                                                && each.fence == start.fence;
                                     }),
                      missing.end());
    }
    for (const SentStarts::Number number :
         frame.settledStarts.value_or(std::vector<SentStarts::Number>()))
        m_witnessedStarts.settle(frame.host, number);
    share(missing);
}

} // namespace anvilmill::daemon
