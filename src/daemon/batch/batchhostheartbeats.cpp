// Heartbeats, reports of free capacity, and detection of silent hosts.

#include "batchhost.h"
#include "log.h"

#include <algorithm>
#include <set>

namespace anvilmill::daemon {

namespace {

/// Hosts of other data centres that have no runs or jobs in common with this one receive every such
/// heartbeat.
constexpr std::size_t HeartbeatsForAll =
        LivenessTimeouts::RareHeartbeatInterval / LivenessTimeouts::HeartbeatInterval;
constexpr Duration LoadInterval = std::chrono::seconds(1);

} // namespace

void BatchHost::capacityChanged()
{
    collectCapacityChanges();
    schedulePlacement();
    m_capacityReporter.schedule();
}

void BatchHost::collectCapacityChanges()
{
    for (const CapacityReport &report : m_holder.takeChangedCapacity()) {
        m_view.report(report);
        m_capacityReporter.queue(report);
    }
}

/// Holders report capacity immediately to the hosts with the most urgent jobs, and at intervals to the
/// others. Hosts of other data centres need to know only whether jobs wait here.
void BatchHost::reportWaiting()
{
    const auto urgency = m_scheduler.waitingUrgency();
    if (urgency == m_reportedUrgency)
        return;
    const bool isForAll = urgency.has_value() != m_reportedUrgency.has_value();
    m_reportedUrgency = urgency;
    for (const std::string &host :
         isForAll ? m_mesh.connectedHosts() : m_capacityReporter.nearHosts()) {
        Frame *const frame = m_mesh.frameFor(host);
        if (frame)
            addWaiting(*frame);
    }
}

void BatchHost::addWaiting(Frame &frame) const
{
    frame.waiting = static_cast<std::int64_t>(m_scheduler.waitingJobs());
    frame.waitingPriority.reset();
    if (m_reportedUrgency && m_reportedUrgency->priority() != WaitingUrgency::Late)
        frame.waitingPriority = m_reportedUrgency->priority();
}

void BatchHost::setWaiting(const std::string &host, std::optional<WaitingUrgency> urgency)
{
    const bool hasBegun = urgency && !m_capacityReporter.isWaiting(host);
    m_capacityReporter.setWaiting(host, urgency);
    // It may have been told of free capacity only while others waited.
    if (hasBegun) {
        for (const CapacityReport &report : m_holder.freeCapacity())
            m_capacityReporter.offer(report);
        m_capacityReporter.schedule();
    }
    m_scheduler.setOthersUrgency(m_capacityReporter.mostUrgentNear());
}

void BatchHost::sendHeartbeats()
{
    checkSuspension();
    checkSilence();
    chooseWitnesses();
    CapacityReporter::Capacities capacities;
    for (const CapacityReport &report : m_holder.freeCapacity()) {
        m_view.report(report);
        capacities[report.executor] = m_capacityReporter.usable(report.freeCapacity);
    }
    // Hosts that were not connected missed the previous report.
    if (std::exchange(m_reportedUrgency, std::nullopt))
        reportWaiting();
    const std::size_t heartbeat = m_heartbeats++;
    const bool isForAll = heartbeat % HeartbeatsForAll == 0;
    const std::set<std::string> sharing = heartbeatHosts();
    std::vector<std::string> hosts(sharing.begin(), sharing.end());
    if (isForAll) {
        connectPeers();
        hosts = m_mesh.connectedHosts();
    }
    std::vector<std::string> reported;
    std::vector<std::string> others;
    for (const std::string &host : hosts) {
        const bool isNear = m_topology.isNearPeer(host);
        const bool isActive = isNear ? m_capacityReporter.isWaiting(host) : sharing.count(host) > 0;
        const bool isReported = m_topology.needsCapacityReports(host)
                                && m_reportIntervals.isDue(heartbeat, isNear, isActive);
        (isReported ? reported : others).push_back(host);
    }
    m_capacityReporter.reportAll(capacities, reported);
    m_capacityReporter.report({}, others);
    if (m_clock.now() >= m_loadDue)
        logLoad();
    m_timers.after(LivenessTimeouts::HeartbeatInterval, [this] { sendHeartbeats(); });
}

void BatchHost::connectPeers()
{
    const std::vector<PeerHost> hosts = m_peers.hostsToConnect();
    m_mesh.setHosts(hosts);
    m_topology.setConnected(hosts);
    m_capacityReporter.setNearHosts(m_topology.nearDispatchers());
    m_scheduler.setOthersUrgency(m_capacityReporter.mostUrgentNear());
}

void BatchHost::updateGauges()
{
    m_metrics.setGauge("anvilmill_executors_held", static_cast<double>(m_holder.held()));
    m_metrics.setGauge("anvilmill_runs_held", static_cast<double>(m_holder.runs()));
    m_metrics.setGauge("anvilmill_room_millicores", static_cast<double>(m_view.freeMilliCores()));
    m_metrics.setGauge("anvilmill_jobs_open", static_cast<double>(m_scheduler.jobs()));
    m_metrics.setGauge("anvilmill_jobs_waiting", static_cast<double>(m_scheduler.waitingJobs()));
    m_metrics.setGauge("anvilmill_tasks_running", static_cast<double>(m_scheduler.runningTasks()));
    m_metrics.setGauge("anvilmill_open_runs", static_cast<double>(m_openRuns.size()));
    m_metrics.setGauge("anvilmill_jobs_postponed", static_cast<double>(m_postponed.size()));
    m_metrics.setGauge("anvilmill_peers_connected",
                       static_cast<double>(m_mesh.connectedHosts().size()));
}

// Hosts that must detect a failure of this one quickly: those of its data centre, and those that
// have runs or jobs of this host or whose runs or jobs this host has. The relation is symmetric.
std::set<std::string> BatchHost::heartbeatHosts() const
{
    std::set<std::string> hosts = m_runs.owners();
    const std::vector<std::string> &nearPeers = m_topology.nearPeers();
    hosts.insert(nearPeers.begin(), nearPeers.end());
    for (const std::set<std::string> &sharing : {m_relay.hosts(), m_relayed.hosts()})
        hosts.insert(sharing.begin(), sharing.end());
    const std::set<std::string> waiting = m_capacityReporter.waitingHosts();
    hosts.insert(waiting.begin(), waiting.end());
    hosts.insert(m_witnesses.begin(), m_witnesses.end());
    hosts.merge(m_witnessedStarts.hosts());
    for (const auto &[run, placed] : m_placed) {
        hosts.insert(placed.holder);
        hosts.insert(placed.formerHolders.begin(), placed.formerHolders.end());
    }
    return hosts;
}

void BatchHost::logLoad()
{
    m_loadDue = m_clock.now() + LoadInterval;
    tellHoldersOfOpenRuns();
    Resources total;
    for (const CapacityReport &report : m_holder.freeCapacity())
        total += report.freeCapacity;
    LogEvent("host.load")
            .with("held", m_holder.held())
            .with("heldRuns", m_holder.runs())
            .with("roomMillicores", total.milliCores)
            .with("viewMillicores", m_view.freeMilliCores())
            .with("jobs", m_scheduler.jobs())
            .with("waiting", m_scheduler.waitingJobs())
            .with("tasks", m_scheduler.runningTasks())
            .with("openRuns", m_openRuns.size())
            .with("postponed", m_postponed.size())
            .with("peers", m_mesh.connectedHosts().size())
            .with("framesSent", m_mesh.framesSent());
}

// Both sides end what they share with a silent host: its clients retry their jobs at other hosts,
// and a task must not run twice at the same time.
void BatchHost::checkLiveness()
{
    for (const std::string &host : m_peers.takeNewlySilent(m_timeouts.silentAfter()))
        endSharedWith(host);
    announceOpenRuns(m_openRuns.shareOverdue(LivenessTimeouts::StopRepeatInterval));
    schedulePostponed();
    m_timers.after(LivenessTimeouts::CheckInterval, [this] { checkLiveness(); });
}

void BatchHost::endSharedWith(const std::string &host)
{
    stopRunsOf(host);
    // A holder that stays silent may have left starts that are carried out late.
    std::vector<OpenRun> open = m_witnessedStarts.take(host);
    for (const auto &[run, placed] : m_placed) {
        if (placed.holder == host && placed.isAccepted)
            open.push_back({run, m_view.idOf(placed.executor)});
    }
    share(open);
    const std::size_t cancelled = m_relayed.cancelJobsOf(host);
    if (cancelled > 0)
        LogEvent("peer.silent", LogEvent::Level::Warning)
                .with("host", host)
                .with("silent", m_peers.silence(host))
                .with("cancelledJobs", cancelled);
}

// Runs and jobs may have come to be shared with a host that was silent already. Runs at a silent holder are
// not given up: it may go on renewing their lease, and a start that it sent last may be carried out later.
// Their ends are reported by it when it is reached again, or by the next holder.
void BatchHost::checkSilence()
{
    std::set<std::string> owners = m_runs.owners();
    owners.merge(m_relayed.hosts());
    for (const std::string &owner : owners) {
        if (m_peers.silence(owner) >= m_timeouts.silentAfter())
            endSharedWith(owner);
    }
    const std::set<std::string> sharing = heartbeatHosts();
    m_peers.setSharing(sharing);
    for (const PeerHost &host : m_peers.neighbours()) {
        const bool isSharing = sharing.count(host.name) > 0;
        const Duration limit =
                isSharing ? m_timeouts.silentAfter() : LivenessTimeouts::RareSilentAfter;
        if (host.name == m_settings.name || m_peers.overdue(host.name) < limit)
            continue;
        setWaiting(host.name, std::nullopt);
        m_view.discardReportsOf(host.name);
        if (m_peers.mayRedial(host.name))
            m_mesh.redial(host.name);
    }
}

void BatchHost::stopRunsOf(const std::string &owner)
{
    std::size_t stopped = 0;
    for (const auto &[run, executor] : m_runs.runsOf(owner)) {
        if (!m_holder.has(executor, run))
            m_runs.remove(run, executor);
        else if (m_holder.stop(executor, run)) {
            m_openRuns.expectEnd({run, executor});
            ++stopped;
        }
    }
    if (stopped > 0)
        LogEvent("peer.silent", LogEvent::Level::Warning)
                .with("host", owner)
                .with("silent", m_peers.silence(owner))
                .with("stoppedRuns", stopped);
}

} // namespace anvilmill::daemon
