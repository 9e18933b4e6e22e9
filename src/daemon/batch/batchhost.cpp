#include "batchhost.h"

#include "batch/meshmessages.h"
#include "log.h"

#include <time.h>

#include <algorithm>
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

namespace {

/// All room is told this often, so that a host that is cut off shows by its silence.
constexpr Duration AllRoomInterval = std::chrono::milliseconds(250);
/// Hosts of other data centres that share no runs with this one hear each fourth telling.
constexpr std::size_t HeartbeatsForAll = 4;
/// A host that is not heard for this long is not waited for: its runs here are stopped, and the
/// connection to it is made anew. Short of the 1.3 s after which clients come again.
constexpr Duration SilentAfter = std::chrono::milliseconds(900);
/// The same for hosts that tell of themselves only each second.
constexpr Duration FarSilentAfter = std::chrono::milliseconds(2500);
/// By then a holder that hears nothing has stopped our runs: it has missed what we sent for
/// SilentAfter, which we stopped sending that long after we heard it last, and a stop takes 50 ms.
/// One that died lets them lapse sooner.
constexpr Duration RunsOverAfter = std::chrono::milliseconds(2300);
constexpr Duration LoadInterval = std::chrono::seconds(1);
/// Reading two clocks one after the other takes far less.
constexpr Duration SuspensionTolerance = std::chrono::milliseconds(100);

/// The loop's own timer; a turn takes a few milliseconds, tens on a busy weak host.
constexpr Duration PauseCheckInterval = std::chrono::milliseconds(100);
/// Callers don't give a host up sooner, and a busy host is rarely as late.
constexpr Duration LongestTurn = std::chrono::milliseconds(400);
/// What lies in the sockets is read within a few turns.
constexpr Duration QuietAfterPause = std::chrono::milliseconds(50);

Duration sinceBoot()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

BatchHost::BatchHost(boost::asio::io_context &loop, TimerQueue &timers, const Clock &clock,
                     RandomSource &random, ExecutorCalls &calls, BatchMetrics &metrics,
                     const BatchHostSettings &settings)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_view(clock, settings.dataCentre, roomPaceOf(0, true, AllRoomInterval).nearStaleAfter)
    , m_scheduler(clock, random, m_view, *this)
    , m_holder(clock, timers, calls, metrics, settings.hold,
               {[this](const RunEnd &end, const std::string &executor) { runEnded(end, executor); },
                [this] { roomChanged(); }})
    , m_mesh(loop, timers, settings.name, settings.meshAddress,
             {[this](const Frame &frame) { received(frame); },
              [this](const std::string &host) { hostConnected(host); }})
    , m_teller(m_mesh, timers, settings.name)
    , m_peers(clock)
    , m_relay(m_mesh, timers, clock, random, m_peers)
    , m_relayed(m_mesh, clock,
                {[this](BatchJob job, ResultHandler handler) {
                     return schedule(++m_lastJob, std::move(job), std::move(handler));
                 },
                 [this](JobNumber job) { cancel(job); }})
    , m_runs(clock)
    , m_earlyClaims(clock)
    , m_suspension(SuspensionTolerance)
    , m_pause(LongestTurn, QuietAfterPause)
    , m_neighbourhood(settings.name, settings.dataCentre)
    , m_lastJob(settings.firstJob)
    , m_timers(timers)
{
    watchPauses();
    sendAllRoom();
}

BatchHost::~BatchHost() = default;

void BatchHost::updateExecutor(const ExecutorRegistration &registration)
{
    // Entries are written again with each heartbeat; most say what the last one said.
    const auto known = m_executors.find(registration.id);
    if (known != m_executors.end() && known->second == registration)
        return;
    m_executors[registration.id] = registration;
    m_view.update(registration);
    m_holder.update(registration);
    placeSoon();
}

void BatchHost::forgetExecutors()
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
}

void BatchHost::setMembership(const HostMembership &membership)
{
    const bool wasDispatcher = isDispatcher();
    m_neighbourhood.adopt(membership);
    if (isDispatcher() != wasDispatcher)
        LogEvent("host.roleChanged")
                .with("dispatches", isDispatcher())
                .with("membership", membership.revision);
    m_peers.setListed(membership.hosts, m_neighbourhood.neighbours());
    m_mesh.setHosts(m_peers.hostsToConnect());
    m_holder.assign(m_neighbourhood.assignment(), m_settings.name);
    useNeighbourhood();
    claimMoved();
    for (const RunClaim &claim : m_earlyClaims.takeAll())
        takeClaim(claim);
}

// In a large fleet executors of the own data centre go first, since what is known of the others is
// older.
void BatchHost::useNeighbourhood()
{
    const HolderAssignment &assignment = m_neighbourhood.assignment();
    const bool isSmall = m_neighbourhood.isSmall();
    m_teller.setNearHosts(m_neighbourhood.nearDispatchers());
    m_relay.setDispatchers(assignment.dispatchersOf(m_settings.dataCentre));
    m_view.setOwnDataCentreFirst(!isSmall);
    m_view.setFirstHost(m_settings.name);
    const std::size_t farDispatchers = assignment.allDispatchers().size()
                                       - assignment.dispatchersOf(m_settings.dataCentre).size();
    m_roomPace = roomPaceOf(farDispatchers, isSmall, AllRoomInterval);
    m_view.setStaleAfter(m_roomPace.nearStaleAfter, m_roomPace.farStaleAfter);
    m_scheduler.setShare(isDispatcher() ? assignment.shareOf(m_settings.name) : 1.0);
}

// Who takes starts is who reports room: a host that is cut off from the store doesn't know the
// membership under which others hold.
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
    return m_neighbourhood.assignment()
            .holderOf(found->first, found->second.dataCentre)
            .value_or("");
}

std::optional<JobNumber> BatchHost::submit(BatchJob job, ResultHandler handler)
{
    checkSuspension();
    const JobNumber number = ++m_lastJob;
    if (!isDispatcher() && m_relay.relay(number, job, handler))
        return number;
    return schedule(number, std::move(job), std::move(handler));
}

std::optional<JobNumber> BatchHost::schedule(JobNumber number, BatchJob job, ResultHandler handler)
{
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
    placeSoon();
}

void BatchHost::startTask(const TaskStart &start)
{
    const std::string holder = reporterOf(start.executor);
    m_placed[start.run] = {start.executor, start.demand, holder, m_clock.now()};
    if (holder == m_settings.name) {
        startHere(start);
        return;
    }
    Frame *const frame = m_mesh.frameFor(holder);
    if (!frame) {
        m_timers.soon([this, run = start.run] {
            startRefused(run);
            placeSoon();
        });
        return;
    }
    // A host that told of itself only each second answers this at once.
    m_peers.assumeHeard(holder, SilentAfter / 2);
    MeshStart message;
    message.executor = m_view.idOf(start.executor);
    setRun(message, start.run);
    setResources(message, start.demand);
    message.spec = mesh::specIndex(*frame, *start.spec);
    append(frame->starts, std::move(message));
}

// The scheduler hears of the outcome only after it has returned from placing.
void BatchHost::startHere(const TaskStart &start)
{
    const bool isAccepted =
            m_holder.start(m_view.idOf(start.executor), start.run, start.demand, *start.spec);
    m_timers.soon([this, run = start.run, isAccepted] {
        roomChanged();
        if (isAccepted) {
            m_scheduler.startAccepted(run);
            return;
        }
        startRefused(run);
        placeSoon();
    });
}

void BatchHost::startRefused(const RunId &run)
{
    m_placed.erase(run);
    m_scheduler.startRefused(run);
}

void BatchHost::stopTask(std::size_t executor, const RunId &run)
{
    const auto placed = m_placed.find(run);
    if (placed == m_placed.end())
        return;
    const std::string holder = placed->second.holder;
    const std::string &id = m_view.idOf(executor);
    m_placed.erase(placed);
    if (holder == m_settings.name) {
        m_holder.stop(id, run);
        return;
    }
    Frame *const frame = m_mesh.frameFor(holder);
    if (!frame)
        return;
    MeshRun message;
    message.executor = id;
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

void BatchHost::roomChanged()
{
    collectRoom();
    placeSoon();
    m_teller.arm();
}

void BatchHost::collectRoom()
{
    for (const RoomReport &report : m_holder.takeChangedRoom()) {
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
    for (const RoomReport &report : m_holder.room()) {
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
        const bool isNear = m_neighbourhood.isClose(host);
        const bool isActive = isNear ? m_teller.isWaiting(host) : sharing.count(host) > 0;
        const bool isTold =
                m_neighbourhood.needsRoom(host) && m_roomPace.isDue(heartbeat, isNear, isActive);
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
    m_metrics.setGauge("anvilmill_room_millicores", static_cast<double>(m_view.freeCpu()));
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
    const std::vector<std::string> &close = m_neighbourhood.closeHosts();
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
    for (const RoomReport &report : m_holder.room())
        room += report.room;
    LogEvent("host.load")
            .with("held", m_holder.held())
            .with("heldRuns", m_holder.runs())
            .with("roomMillicores", room.milliCores)
            .with("viewMillicores", m_view.freeCpu())
            .with("jobs", m_scheduler.jobs())
            .with("waiting", m_scheduler.waitingJobs())
            .with("tasks", m_scheduler.runningTasks())
            .with("peers", m_mesh.connectedHosts().size());
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
    for (const RoomReport &report : mesh::roomsOf(frame))
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
    if (m_neighbourhood.needsRoom(host))
        addAllRoom(*frame);
    m_relay.addOpenJobs(*frame, host);
    for (const auto &[run, placed] : m_placed) {
        if (placed.holder == host)
            addClaim(*frame, run, placed);
    }
}

void BatchHost::addAllRoom(Frame &frame) const
{
    for (const RoomReport &report : m_holder.room())
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

void BatchHost::placeSoon()
{
    if (std::exchange(m_isPlacingDue, true))
        return;
    m_timers.soon([this] {
        m_isPlacingDue = false;
        place();
    });
}

void BatchHost::place()
{
    m_scheduler.expire();
    if (isQuiet()) {
        if (!std::exchange(m_isQuietEndDue, true))
            m_timers.after(QuietAfterPause, [this] {
                m_isQuietEndDue = false;
                place();
            });
    } else {
        m_scheduler.place();
    }
    tellWaiting();
    armExpiry();
}

void BatchHost::armExpiry()
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

void BatchHost::watchPauses()
{
    m_pause.turn(sinceBoot());
    m_timers.after(PauseCheckInterval, [this] { watchPauses(); });
}

bool BatchHost::isQuiet()
{
    m_pause.turn(sinceBoot());
    return m_pause.isQuiet();
}

void BatchHost::checkSuspension()
{
    if (!m_suspension.wasSuspended(m_clock.now(), sinceBoot()))
        return;
    LogEvent("host.resumed", LogEvent::Level::Warning).with("runs", m_holder.runs());
    m_holder.doubtAll();
}

} // namespace anvilmill::daemon
