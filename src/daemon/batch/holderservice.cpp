#include "holderservice.h"

#include "log.h"
#include "loop/timerqueue.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// A start is answered within a round trip of 3 ms, and the turns of two busy loops. One that is not
/// is settled by a hold, which costs a call if the answer was only late.
constexpr Duration StartDoubtedAfter = std::chrono::milliseconds(50);
/// A stop takes at most 50 ms; one whose end is not listed by then was lost.
constexpr Duration StopRetryPause = std::chrono::milliseconds(200);
/// By then the lease has lapsed.
constexpr int MostStopAttempts = 8;

} // namespace

struct HolderService::Entry
{
    Entry(const Clock &clock, const HoldSettings &settings,
          const ExecutorRegistration &registration)
        : executor(clock, settings, registration)
    {
    }

    HeldExecutor executor;
    /// Absent runs were ended by this host's own orders or never asked to stop.
    std::set<RunId> stopping;
    std::optional<MonotonicTime> awaitedProbe;
    bool isHolding = false;
    /// A second hold is under way, to settle starts while the first one waits for ends.
    bool isSettling = false;
    bool isGone = false;
    bool isSilent = false;
};

HolderService::HolderService(const Clock &clock, TimerQueue &timers, ExecutorCalls &calls,
                             BatchMetrics &metrics, const HoldSettings &settings,
                             HolderEvents events)
    : m_clock(clock)
    , m_calls(calls)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_losses(clock, settings.pace)
    , m_events(std::move(events))
    , m_timers(timers)
{
}

HolderService::~HolderService() = default;

void HolderService::update(const ExecutorRegistration &registration)
{
    auto &entry = m_entries[registration.id];
    if (!entry || entry->executor.registration().address != registration.address)
        entry = std::make_shared<Entry>(m_clock, m_settings, registration);
    entry->executor.update(registration);
    assignOne(entry);
    noteRoom(*entry);
    hold(entry);
}

void HolderService::remove(const std::string &executor)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end())
        return;
    const auto entry = found->second;
    entry->isGone = true;
    m_entries.erase(found);
    m_assigned.erase(executor);
    m_calls.forget(executor);
}

void HolderService::assign(const HolderAssignment &assignment, const std::string &self)
{
    m_assignment = assignment;
    m_self = self;
    for (const auto &[id, entry] : m_entries) {
        assignOne(entry);
        hold(entry);
    }
}

void HolderService::assignOne(const std::shared_ptr<Entry> &assigned)
{
    Entry &entry = *assigned;
    const ExecutorRegistration &registration = entry.executor.registration();
    // Hundreds of hosts that start at once change the membership dozens of times, for thousands of
    // executors each.
    const bool isOurs = m_assignment.holds(m_self, registration.id, registration.dataCentre);
    if (isOurs)
        m_assigned[registration.id] = assigned;
    else
        m_assigned.erase(registration.id);
    if (isOurs == entry.executor.isHeld())
        return;
    const std::size_t runs = entry.executor.runs();
    if (isOurs)
        entry.executor.acquire(m_assignment.revision());
    else
        entry.executor.release();
    m_metrics.executorChanged(isOurs ? "takenOver" : "released");
    LogEvent(isOurs ? "executor.takenOver" : "executor.released")
            .with("executor", registration.id)
            .with("membership", m_assignment.revision())
            .with("holder",
                  m_assignment.holderOf(registration.id, registration.dataCentre).value_or("none"))
            .with("fence", entry.executor.fence())
            .with("runs", runs);
    noteRoom(entry);
}

void HolderService::hold(const std::shared_ptr<Entry> &entry)
{
    if (entry->isHolding || entry->isGone || !entry->executor.isHeld())
        return;
    entry->isHolding = true;
    const HoldOrder order = entry->executor.nextHold(m_losses.pace());
    m_calls.hold(entry->executor.registration(), order,
                 m_timers.guard([this, entry, order](const HoldReply &reply) {
                     entry->isHolding = false;
                     if (!entry->isGone)
                         holdAnswered(entry, order, reply);
                 }));
}

void HolderService::holdAnswered(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                                 const HoldReply &reply)
{
    HeldExecutor &executor = entry->executor;
    switch (reply.kind) {
    case HoldReply::Kind::Answered:
        if (entry->isSilent)
            LogEvent("executor.regained").with("executor", executor.registration().id);
        entry->isSilent = false;
        takeReport(entry, order, reply.report);
        holdAgain(entry, {});
        break;
    case HoldReply::Kind::Fenced:
        if (executor.holdFenced(order)) {
            m_metrics.executorChanged("fenced");
            LogEvent("executor.fenced", LogEvent::Level::Warning)
                    .with("executor", executor.registration().id)
                    .with("fence", order.fence)
                    .with("membership", m_assignment.revision());
        }
        holdAgain(entry, m_settings.pace.retryDelay);
        break;
    case HoldReply::Kind::Unanswered:
        if (!entry->isSilent) {
            m_metrics.executorChanged("silent");
            LogEvent("executor.silent", LogEvent::Level::Warning)
                    .with("executor", executor.registration().id)
                    .with("reason", reply.reason)
                    .with("runs", executor.runs());
        }
        entry->isSilent = true;
        m_losses.lost(executor.registration().id);
        emit(executor.registration().id, executor.holdUnanswered());
        holdAgain(entry, m_losses.pace().retryDelay);
        break;
    }
    noteRoom(*entry);
}

void HolderService::takeReport(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                               const HoldReport &report)
{
    emit(entry->executor.registration().id, entry->executor.holdAnswered(order, report));
    awaitProbe(entry);
    stopOrphans(entry);
}

/// Sends a second hold beside the one that waits for ends: to ask at once what became of starts that
/// were not answered, and to hear of ends while orders are being lost.
void HolderService::settle(const std::shared_ptr<Entry> &entry)
{
    const HeldExecutor &executor = entry->executor;
    const bool isWanted =
            executor.hasUnconfirmedStarts() || (m_losses.pace().sendsPairs && executor.runs() > 0);
    if (entry->isSettling || entry->isGone || !executor.isHeld() || !isWanted)
        return;
    entry->isSettling = true;
    const HoldOrder order = entry->executor.nextHold(m_losses.pace());
    m_calls.hold(entry->executor.registration(), order,
                 m_timers.guard([this, entry, order](const HoldReply &reply) {
                     entry->isSettling = false;
                     if (entry->isGone)
                         return;
                     if (reply.kind == HoldReply::Kind::Answered) {
                         takeReport(entry, order, reply.report);
                         noteRoom(*entry);
                     }
                     m_timers.after(m_losses.pace().retryDelay, [this, entry] { settle(entry); });
                 }));
}

/// Room comes back with time alone when an executor is due to be tried again.
void HolderService::awaitProbe(const std::shared_ptr<Entry> &entry)
{
    const auto probe = entry->executor.nextProbe();
    if (!probe || *probe <= m_clock.now() || entry->awaitedProbe == probe)
        return;
    entry->awaitedProbe = probe;
    m_metrics.executorChanged("distrusted");
    LogEvent("executor.distrusted", LogEvent::Level::Warning)
            .with("executor", entry->executor.registration().id)
            .with("pause", *probe - m_clock.now())
            .with("runs", entry->executor.runs());
    m_timers.at(*probe, [this, entry] {
        if (!entry->isGone)
            noteRoom(*entry);
    });
}

void HolderService::holdAgain(const std::shared_ptr<Entry> &entry, Duration delay)
{
    if (delay == Duration{}) {
        hold(entry);
        return;
    }
    m_timers.after(delay, [this, entry] { hold(entry); });
}

bool HolderService::start(const std::string &executor, const RunId &run, const Resources &demand,
                          const std::string &spec)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end())
        return false;
    const auto entry = found->second;
    const auto order = entry->executor.start(run, demand);
    if (!order)
        return false;
    noteRoom(*entry);
    m_calls.start(entry->executor.registration(), *order, spec,
                  m_timers.guard([this, entry, order = *order](const StartReply &reply) {
                      if (!entry->isGone)
                          startAnswered(entry, order, reply);
                  }));
    m_timers.after(StartDoubtedAfter, [this, entry, order = *order] { doubtStart(entry, order); });
    settle(entry);
    return true;
}

// After a turn in which the loop was behind, the answer may be there and not read yet.
void HolderService::doubtStart(const std::shared_ptr<Entry> &entry, const StartOrder &order)
{
    m_timers.after(Duration{}, [this, entry, order] {
        if (!entry->isGone)
            startLost(entry, order);
    });
}

void HolderService::startLost(const std::shared_ptr<Entry> &entry, const StartOrder &order)
{
    HeldExecutor &executor = entry->executor;
    if (!executor.startUnanswered(order))
        return;
    m_losses.lost(executor.registration().id);
    LogEvent("run.startUnanswered", LogEvent::Level::Warning)
            .with("task", order.run.task)
            .with("run", order.run.number)
            .with("executor", executor.registration().id)
            .with("fence", executor.fence());
    settle(entry);
}

void HolderService::startAnswered(const std::shared_ptr<Entry> &entry, const StartOrder &order,
                                  const StartReply &reply)
{
    HeldExecutor &executor = entry->executor;
    if (!reply) {
        startLost(entry, order);
        return;
    }
    const auto end = executor.startAnswered(order, *reply);
    if (!end)
        return;
    noteRoom(*entry);
    LogEvent("run.startRefused", LogEvent::Level::Warning)
            .with("task", order.run.task)
            .with("run", order.run.number)
            .with("executor", executor.registration().id)
            .with("fence", order.fence)
            .with("outcome", asString(end->outcome));
    emit(executor.registration().id, {*end});
}

bool HolderService::adopt(const std::string &executor, const RunId &run, const Resources &demand)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end() || !found->second->executor.isHeld())
        return false;
    found->second->executor.adopt(run, demand);
    noteRoom(*found->second);
    return true;
}

bool HolderService::stop(const std::string &executor, const RunId &run)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end() || !found->second->stopping.insert(run).second)
        return false;
    sendStop(found->second, run, 0);
    return true;
}

bool HolderService::has(const std::string &executor, const RunId &run) const
{
    const auto found = m_entries.find(executor);
    return found != m_entries.end() && found->second->executor.stop(run).has_value();
}

void HolderService::sendStop(const std::shared_ptr<Entry> &entry, const RunId &run, int attempt)
{
    const auto order = entry->executor.stop(run);
    if (!order || attempt >= MostStopAttempts || entry->isGone) {
        entry->stopping.erase(run);
        return;
    }
    m_calls.stop(entry->executor.registration(), *order, [](bool) {});
    m_timers.after(StopRetryPause,
                   [this, entry, run, attempt] { sendStop(entry, run, attempt + 1); });
}

void HolderService::stopOrphans(const std::shared_ptr<Entry> &entry)
{
    for (const RunId &run : entry->executor.orphans()) {
        if (!entry->stopping.insert(run).second)
            continue;
        LogEvent("run.orphan")
                .with("task", run.task)
                .with("run", run.number)
                .with("executor", entry->executor.registration().id)
                .with("fence", entry->executor.fence());
        sendStop(entry, run, 0);
    }
}

void HolderService::doubtAll()
{
    for (const auto &[id, entry] : m_entries) {
        entry->executor.invalidateLease();
        noteRoom(*entry);
    }
}

std::vector<CapacityReport> HolderService::room() const
{
    std::vector<CapacityReport> reports;
    for (const auto &[id, entry] : m_assigned) {
        if (entry->executor.isHeld())
            reports.push_back({id, entry->executor.room(), m_self});
    }
    return reports;
}

void HolderService::noteRoom(const Entry &entry)
{
    m_changed.insert(entry.executor.registration().id);
    if (m_isChangeAnnounced)
        return;
    m_isChangeAnnounced = true;
    m_timers.soon([this] {
        m_isChangeAnnounced = false;
        m_events.roomChanged();
    });
}

std::vector<CapacityReport> HolderService::takeChangedRoom()
{
    std::vector<CapacityReport> reports;
    for (const std::string &id : m_changed) {
        const auto found = m_entries.find(id);
        if (found != m_entries.end() && found->second->executor.isHeld())
            reports.push_back({id, found->second->executor.room(), m_self});
    }
    m_changed.clear();
    return reports;
}

void HolderService::emit(const std::string &executor, const std::vector<RunEnd> &ends)
{
    for (const RunEnd &end : ends) {
        m_metrics.runEnded(asString(end.outcome), end.ran.value_or(Duration()));
        if (end.outcome != RunOutcome::Done && end.outcome != RunOutcome::Stopped)
            LogEvent("run.ended")
                    .with("task", end.run.task)
                    .with("run", end.run.number)
                    .with("executor", executor)
                    .with("outcome", asString(end.outcome))
                    .with("ran", end.ran.value_or(Duration()));
        m_events.runEnded(end, executor);
    }
}

std::size_t HolderService::held() const
{
    return static_cast<std::size_t>(
            std::count_if(m_assigned.begin(), m_assigned.end(),
                          [](const auto &entry) { return entry.second->executor.isHeld(); }));
}

std::size_t HolderService::runs() const
{
    std::size_t runs = 0;
    for (const auto &[id, entry] : m_assigned)
        runs += entry->executor.runs();
    return runs;
}

} // namespace anvilmill::daemon
