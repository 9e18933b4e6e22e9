// Heartbeats: the room that is told, and which hosts are silent.

#include "batch/batchhosttimes.h"
#include "batchhost.h"
#include "log.h"

#include <algorithm>
#include <set>

namespace anvilmill::daemon {

namespace {

/// Hosts of other data centres that share no runs with this one hear each fourth telling.
constexpr std::size_t HeartbeatsForAll = 4;
/// The same for hosts that tell of themselves only each second.
constexpr Duration FarSilentAfter = std::chrono::milliseconds(2500);
/// By then a holder that hears nothing has stopped our runs: it has missed what we sent for
/// SilentAfter, which we stopped sending that long after we heard it last, and a stop takes 50 ms.
/// One that died lets them lapse sooner.
constexpr Duration RunsOverAfter = std::chrono::milliseconds(2300);
constexpr Duration LoadInterval = std::chrono::seconds(1);

} // namespace

void BatchHost::roomChanged()
{
    collectRoom();
    placeSoon();
    m_teller.arm();
}

void BatchHost::collectRoom()
{
    for (const CapacityReport &report : m_holder.takeChangedRoom()) {
        m_view.report(report);
        m_teller.note(report);
    }
}

/// Holders tell room at once to hosts whose jobs wait for it, and now and then to the others.
void BatchHost::tellWaiting()
{
    const std::size_t waiting = m_scheduler.waitingJobs();
    if ((waiting > 0) == m_hasToldWaiting)
        return;
    m_hasToldWaiting = waiting > 0;
    for (const std::string &host : m_mesh.connectedHosts())
        m_mesh.frameFor(host)->waiting = static_cast<std::int64_t>(waiting);
}

void BatchHost::sendAllRoom()
{
    checkSuspension();
    checkSilence();
    std::map<std::string, Resources> rooms;
    for (const CapacityReport &report : m_holder.room()) {
        m_view.report(report);
        rooms[report.executor] = report.room;
    }
    if (m_hasToldWaiting) {
        // A host that was not connected has not heard it.
        m_hasToldWaiting = false;
        tellWaiting();
    }
    const std::size_t heartbeat = m_heartbeats++;
    const bool isForAll = heartbeat % HeartbeatsForAll == 0;
    const std::set<std::string> sharing = heartbeatHosts();
    std::vector<std::string> hosts(sharing.begin(), sharing.end());
    if (isForAll) {
        m_mesh.setHosts(m_peers.hostsToConnect());
        hosts = m_mesh.connectedHosts();
    }
    std::vector<std::string> told;
    std::vector<std::string> others;
    for (const std::string &host : hosts) {
        const bool isNear = m_neighbourhood.isDataCentrePeer(host);
        const bool isActive = isNear ? m_teller.isWaiting(host) : sharing.count(host) > 0;
        const bool isTold = m_neighbourhood.needsCapacityReports(host)
                            && m_roomPace.isDue(heartbeat, isNear, isActive);
        (isTold ? told : others).push_back(host);
    }
    m_teller.tell(rooms, told);
    m_teller.tell({}, others);
    if (m_clock.now() >= m_loadDue)
        logLoad();
    m_timers.after(AllRoomInterval, [this] { sendAllRoom(); });
}

void BatchHost::updateGauges()
{
    m_metrics.setGauge("anvilmill_executors_held", static_cast<double>(m_holder.held()));
    m_metrics.setGauge("anvilmill_runs_held", static_cast<double>(m_holder.runs()));
    m_metrics.setGauge("anvilmill_room_millicores", static_cast<double>(m_view.freeMilliCores()));
    m_metrics.setGauge("anvilmill_jobs_open", static_cast<double>(m_scheduler.jobs()));
    m_metrics.setGauge("anvilmill_jobs_waiting", static_cast<double>(m_scheduler.waitingJobs()));
    m_metrics.setGauge("anvilmill_tasks_running", static_cast<double>(m_scheduler.runningTasks()));
    m_metrics.setGauge("anvilmill_peers_connected",
                       static_cast<double>(m_mesh.connectedHosts().size()));
}

// Hosts that have to know soon when this one is gone: those of its data centre, and those whose runs
// or jobs are here or which have runs or jobs of this host. They count this one among theirs too.
std::set<std::string> BatchHost::heartbeatHosts() const
{
    std::set<std::string> hosts = m_runs.owners();
    const std::vector<std::string> &close = m_neighbourhood.dataCentrePeers();
    hosts.insert(close.begin(), close.end());
    for (const std::set<std::string> &sharing : {m_relay.hosts(), m_relayed.hosts()})
        hosts.insert(sharing.begin(), sharing.end());
    hosts.insert(m_teller.waitingHosts().begin(), m_teller.waitingHosts().end());
    for (const auto &[run, placed] : m_placed)
        hosts.insert(placed.holder);
    return hosts;
}

void BatchHost::logLoad()
{
    m_loadDue = m_clock.now() + LoadInterval;
    Resources room;
    for (const CapacityReport &report : m_holder.room())
        room += report.room;
    LogEvent("host.load")
            .with("held", m_holder.held())
            .with("heldRuns", m_holder.runs())
            .with("roomMillicores", room.milliCores)
            .with("viewMillicores", m_view.freeMilliCores())
            .with("jobs", m_scheduler.jobs())
            .with("waiting", m_scheduler.waitingJobs())
            .with("tasks", m_scheduler.runningTasks())
            .with("peers", m_mesh.connectedHosts().size());
}

// Neither side may count on the other once they don't hear each other: a job whose host is gone
// is sent again by its client, and a task must not run twice at a time.
void BatchHost::checkSilence()
{
    for (const std::string &owner : m_runs.owners()) {
        if (m_peers.silence(owner) >= SilentAfter)
            stopRunsOf(owner);
    }
    for (const std::string &owner : m_relayed.hosts()) {
        if (m_peers.silence(owner) >= SilentAfter)
            LogEvent("peer.silent", LogEvent::Level::Warning)
                    .with("host", owner)
                    .with("silent", m_peers.silence(owner))
                    .with("cancelledJobs", m_relayed.giveUp(owner));
    }
    const std::set<std::string> expected = heartbeatHosts();
    for (const PeerHost &host : m_peers.neighbours()) {
        const bool isExpected = expected.count(host.name) > 0;
        const Duration limit = isExpected ? SilentAfter : FarSilentAfter;
        if (host.name == m_settings.name || m_peers.silence(host.name) < limit)
            continue;
        m_teller.setWaiting(host.name, false);
        if (m_peers.mayRedial(host.name))
            m_mesh.redial(host.name);
        giveUpRunsAt(host.name, m_peers.lastHeard(host.name));
    }
}

void BatchHost::stopRunsOf(const std::string &owner)
{
    std::size_t stopped = 0;
    for (const auto &[run, executor] : m_runs.runsOf(owner)) {
        if (!m_holder.has(executor, run))
            m_runs.forget(run, executor);
        else if (m_holder.stop(executor, run))
            ++stopped;
    }
    if (stopped > 0)
        LogEvent("peer.silent", LogEvent::Level::Warning)
                .with("host", owner)
                .with("silent", m_peers.silence(owner))
                .with("stoppedRuns", stopped);
}

void BatchHost::giveUpRunsAt(const std::string &host, MonotonicTime lastHeard)
{
    std::vector<RunId> over;
    for (const auto &[run, placed] : m_placed) {
        if (placed.holder == host
            && m_clock.now() - std::max(placed.asked, lastHeard) >= RunsOverAfter)
            over.push_back(run);
    }
    for (const RunId &run : over) {
        m_placed.erase(run);
        m_scheduler.runEnded({run, RunOutcome::Lapsed, std::nullopt});
    }
    if (!over.empty())
        placeSoon();
}

} // namespace anvilmill::daemon
