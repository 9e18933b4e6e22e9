#include "holderservice.h"

#include "batch/holderserviceentry.h"
#include "log.h"
#include "loop/timerqueue.h"

#include "anvilmill/executor/livenesstimeouts.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// Timeout of the answer to a start: covers a round trip of 3 ms and the iterations of two busy
/// loops. After that the outcome is queried by a hold (lease renewal), which is unnecessary if the
/// answer was only late.
constexpr Duration StartTimeout = std::chrono::milliseconds(50);
/// The run has ended by then unless the executor can't be reached.
constexpr int StopsBeforeBackoff = 16;
constexpr Duration StopBackoff = std::chrono::seconds(2);
/// Executors that were removed, whose fences are kept in case that they return: a day's, with a
/// margin.
constexpr std::size_t MaxRetainedFences = 10000;
/// The runs of an executor that are concluded to have ended, with a margin.
constexpr std::size_t MaxInferredEnds = 64;

} // namespace

HolderService::HolderService(const Clock &clock, TimerQueue &timers, ExecutorCalls &calls,
                             BatchMetrics &metrics, const Evacuations &evacuations,
                             const HoldSettings &settings, HolderEvents events)
    : m_clock(clock)
    , m_calls(calls)
    , m_metrics(metrics)
    , m_evacuations(evacuations)
    , m_settings(settings)
    , m_lossTracker(clock, settings.holdIntervals)
    , m_events(std::move(events))
    , m_timers(timers)
{
}

HolderService::~HolderService() = default;

void HolderService::update(const ExecutorRegistration &registration)
{
    auto &entry = m_entries[registration.id];
    if (!entry || entry->executor.registration().address != registration.address)
        replaceEntry(entry, registration);
    entry->executor.update(registration);
    assignOne(entry);
    markCapacityChanged(*entry);
    hold(entry);
}

/// The new record continues the fences of the former one, whose orders may still be in transit.
void HolderService::replaceEntry(std::shared_ptr<Entry> &entry,
                                 const ExecutorRegistration &registration)
{
    const auto retained = m_retainedFences.find(registration.id);
    const Fence seen = entry                                ? entry->executor.fence()
                       : retained == m_retainedFences.end() ? Fence{}
                                                            : retained->second;
    if (entry)
        entry->isRemoved = true;
    entry = std::make_shared<Entry>(m_clock, m_settings, registration);
    entry->executor.continueFences(seen);
}

void HolderService::remove(const std::string &executor)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end())
        return;
    const auto entry = found->second;
    entry->isRemoved = true;
    if (m_retainedFences.size() >= MaxRetainedFences)
        m_retainedFences.erase(m_retainedFences.begin());
    m_retainedFences[executor] = entry->executor.fence();
    m_entries.erase(found);
    m_assigned.erase(executor);
    m_calls.disconnect(executor);
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
    const bool isAssigned = m_assignment.holds(m_self, registration.id, registration.dataCentre);
    if (isAssigned)
        m_assigned[registration.id] = assigned;
    else
        m_assigned.erase(registration.id);
    if (isAssigned == entry.executor.isHeld())
        return;
    const std::size_t runs = entry.executor.runs();
    if (isAssigned)
        entry.executor.acquire(m_assignment.revision());
    else
        entry.executor.release();
    m_metrics.executorChanged(isAssigned ? "takenOver" : "released");
    LogEvent(isAssigned ? "executor.takenOver" : "executor.released")
            .with("executor", registration.id)
            .with("membership", m_assignment.revision())
            .with("holder",
                  m_assignment.holderOf(registration.id, registration.dataCentre).value_or("none"))
            .with("fence", entry.executor.fence())
            .with("runs", runs);
    markCapacityChanged(entry);
}

void HolderService::hold(const std::shared_ptr<Entry> &entry)
{
    if (entry->isHoldInFlight || entry->isRemoved || !entry->executor.isHeld())
        return;
    entry->isHoldInFlight = true;
    const HoldOrder order =
            entry->executor.nextHold(m_lossTracker.intervals(), allowedLease(entry->executor));
    m_calls.hold(entry->executor.registration(), order,
                 m_timers.guard([this, entry, order](const HoldReply &reply) {
                     entry->isHoldInFlight = false;
                     if (!entry->isRemoved)
                         holdAnswered(entry, order, reply);
                 }));
}

/// The lease covers all runs of the executor.
Duration HolderService::allowedLease(const HeldExecutor &executor) const
{
    Duration allowed = Duration::max();
    for (const RunId &run : executor.runIds())
        allowed = std::min(allowed, m_events.allowedLease(run, executor.registration().id));
    return allowed;
}

void HolderService::holdAnswered(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                                 const HoldReply &reply)
{
    HeldExecutor &executor = entry->executor;
    switch (reply.kind) {
    case HoldReply::Kind::Answered:
        if (entry->isUnresponsive)
            LogEvent("executor.regained").with("executor", executor.registration().id);
        entry->isUnresponsive = false;
        applyReport(entry, order, reply.report);
        scheduleHold(entry, {});
        break;
    case HoldReply::Kind::Fenced:
        if (executor.holdFenced(order)) {
            m_metrics.executorChanged("fenced");
            LogEvent("executor.fenced", LogEvent::Level::Warning)
                    .with("executor", executor.registration().id)
                    .with("fence", order.fence)
                    .with("membership", m_assignment.revision());
        }
        scheduleHold(entry, m_settings.holdIntervals.retryDelay);
        break;
    case HoldReply::Kind::Unanswered:
        if (!entry->isUnresponsive) {
            m_metrics.executorChanged("silent");
            LogEvent("executor.silent", LogEvent::Level::Warning)
                    .with("executor", executor.registration().id)
                    .with("reason", reply.reason)
                    .with("runs", executor.runs());
        }
        entry->isUnresponsive = true;
        m_lossTracker.lost(executor.registration().id);
        executor.invalidateHold(order);
        reportEnds(entry, executor.holdUnanswered(reply.isClosedByExecutor));
        scheduleHold(entry, m_lossTracker.intervals().retryDelay);
        break;
    }
    markCapacityChanged(*entry);
    if (reply.kind != HoldReply::Kind::Unanswered)
        reportAnswer(*entry);
}

void HolderService::reportAnswer(const Entry &entry)
{
    if (m_events.answered)
        m_events.answered(entry.executor.registration().id);
}

void HolderService::applyReport(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                                const HoldReport &report)
{
    checkIncarnation(*entry, report);
    checkInferredEnds(*entry, report);
    reportEnds(entry, entry->executor.holdAnswered(order, report));
    scheduleProbe(entry);
    stopOrphans(entry);
}

void HolderService::checkIncarnation(Entry &entry, const HoldReport &report)
{
    const std::uint64_t previous = std::exchange(entry.incarnation, report.incarnation);
    if (previous == 0 || previous == report.incarnation)
        return;
    m_metrics.executorChanged("restarted");
    LogEvent("executor.restarted", LogEvent::Level::Warning)
            .with("executor", entry.executor.registration().id)
            .with("incarnation", report.incarnation)
            .with("previous", previous)
            .with("runs", entry.executor.runs());
}

/// Logs runs that the executor still has although they were reported as lapsed.
void HolderService::checkInferredEnds(Entry &entry, const HoldReport &report)
{
    for (const RunId &run : report.active) {
        const auto inferred = std::find(entry.inferredEnds.begin(), entry.inferredEnds.end(), run);
        if (inferred == entry.inferredEnds.end())
            continue;
        entry.inferredEnds.erase(inferred);
        m_metrics.runDecided("listedAgain");
        LogEvent("run.listedAgain", LogEvent::Level::Warning)
                .with("task", run.task)
                .with("run", run.number)
                .with("executor", entry.executor.registration().id)
                .with("fence", entry.executor.fence());
    }
}

/// Sends a second hold in parallel to the one that waits for ends: to query the outcome of
/// unanswered starts immediately, and to receive ends while orders are being lost.
void HolderService::sendSecondHold(const std::shared_ptr<Entry> &entry)
{
    const HeldExecutor &executor = entry->executor;
    const bool isNeeded = executor.hasUnconfirmedStarts()
                          || (m_lossTracker.intervals().sendsPairs && executor.runs() > 0);
    if (entry->isSecondHoldInFlight || entry->isRemoved || !executor.isHeld() || !isNeeded)
        return;
    entry->isSecondHoldInFlight = true;
    const HoldOrder order =
            entry->executor.nextHold(m_lossTracker.intervals(), allowedLease(entry->executor));
    m_calls.hold(entry->executor.registration(), order,
                 m_timers.guard([this, entry, order](const HoldReply &reply) {
                     entry->isSecondHoldInFlight = false;
                     if (entry->isRemoved)
                         return;
                     if (reply.kind == HoldReply::Kind::Answered) {
                         applyReport(entry, order, reply.report);
                         markCapacityChanged(*entry);
                         reportAnswer(*entry);
                     } else if (reply.kind == HoldReply::Kind::Unanswered) {
                         entry->executor.invalidateHold(order);
                     }
                     m_timers.after(m_lossTracker.intervals().retryDelay,
                                    [this, entry] { sendSecondHold(entry); });
                 }));
}

/// Reports the capacity again when the executor's open circuit breaker is due for a probe.
void HolderService::scheduleProbe(const std::shared_ptr<Entry> &entry)
{
    const auto probe = entry->executor.nextProbe();
    if (!probe || *probe <= m_clock.now() || entry->scheduledProbe == probe)
        return;
    entry->scheduledProbe = probe;
    m_metrics.executorChanged("distrusted");
    LogEvent("executor.distrusted", LogEvent::Level::Warning)
            .with("executor", entry->executor.registration().id)
            .with("pause", *probe - m_clock.now())
            .with("runs", entry->executor.runs());
    m_timers.at(*probe, [this, entry] {
        if (!entry->isRemoved)
            markCapacityChanged(*entry);
    });
}

void HolderService::scheduleHold(const std::shared_ptr<Entry> &entry, Duration delay)
{
    if (delay == Duration{}) {
        hold(entry);
        return;
    }
    m_timers.after(delay, [this, entry] { hold(entry); });
}

bool HolderService::start(const std::string &executor, const RunId &run, const Resources &demand,
                          const std::string &spec, Duration allowedLeaseOfRun)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end())
        return false;
    const auto entry = found->second;
    if (!mayStartOn(*entry)) {
        m_metrics.runDecided("evacuated");
        return false;
    }
    const auto order = entry->executor.start(
            run, demand, std::min(allowedLeaseOfRun, allowedLease(entry->executor)));
    if (!order)
        return false;
    markCapacityChanged(*entry);
    if (m_events.startDue)
        m_events.startDue(*order, executor);
    m_timers.post([this, entry, order = *order, spec] { sendStart(entry, order, spec); });
    return true;
}

void HolderService::sendStart(const std::shared_ptr<Entry> &entry, const StartOrder &order,
                              const std::string &spec)
{
    if (entry->isRemoved || !entry->executor.isStartOpen(order.run))
        return;
    m_calls.start(entry->executor.registration(), order, spec,
                  m_timers.guard([this, entry, order](const StartReply &reply) {
                      if (!entry->isRemoved)
                          startAnswered(entry, order, reply);
                  }));
    m_timers.after(StartTimeout, [this, entry, order] { checkLateStart(entry, order); });
    sendSecondHold(entry);
}

// After a delayed loop iteration, the answer may have arrived without being read yet.
void HolderService::checkLateStart(const std::shared_ptr<Entry> &entry, const StartOrder &order)
{
    m_timers.after(Duration{}, [this, entry, order] {
        if (!entry->isRemoved)
            startLost(entry, order);
    });
}

void HolderService::startLost(const std::shared_ptr<Entry> &entry, const StartOrder &order)
{
    HeldExecutor &executor = entry->executor;
    if (!executor.startUnanswered(order))
        return;
    m_lossTracker.lost(executor.registration().id);
    LogEvent("run.startUnanswered", LogEvent::Level::Warning)
            .with("task", order.run.task)
            .with("run", order.run.number)
            .with("executor", executor.registration().id)
            .with("fence", executor.fence());
    sendSecondHold(entry);
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
    if (!end) {
        reportAnswer(*entry);
        return;
    }
    markCapacityChanged(*entry);
    LogEvent("run.startRefused", LogEvent::Level::Warning)
            .with("task", order.run.task)
            .with("run", order.run.number)
            .with("executor", executor.registration().id)
            .with("fence", order.fence)
            .with("outcome", asString(end->outcome));
    reportEnds(entry, {*end});
    reportAnswer(*entry);
}

bool HolderService::adopt(const std::string &executor, const RunId &run, const Resources &demand)
{
    const auto found = m_entries.find(executor);
    if (found == m_entries.end() || !found->second->executor.isHeld())
        return false;
    found->second->executor.adopt(run, demand);
    markCapacityChanged(*found->second);
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

void HolderService::sendStop(const std::shared_ptr<Entry> &entry, const RunId &run, int attempt)
{
    const auto order = entry->executor.stop(run);
    if (!order || entry->isRemoved) {
        entry->stopping.erase(run);
        return;
    }
    LogEvent("run.stopSent", attempt == 0 ? LogEvent::Level::Info : LogEvent::Level::Warning)
            .with("task", run.task)
            .with("run", run.number)
            .with("executor", entry->executor.registration().id)
            .with("fence", order->fence)
            .with("attempt", attempt);
    if (attempt > 0)
        m_metrics.runDecided("stopRepeated");
    m_calls.stop(entry->executor.registration(), *order, [](bool) {});
    m_timers.after(attempt < StopsBeforeBackoff ? LivenessTimeouts::StopRepeatInterval
                                                : StopBackoff,
                   [this, entry, run, attempt] { sendStop(entry, run, attempt + 1); });
}

void HolderService::stopOrphans(const std::shared_ptr<Entry> &entry)
{
    for (const RunId &run : entry->executor.orphans()) {
        if (!entry->stopping.insert(run).second)
            continue;
        m_metrics.runDecided("orphan");
        LogEvent("run.orphan")
                .with("task", run.task)
                .with("run", run.number)
                .with("executor", entry->executor.registration().id)
                .with("fence", entry->executor.fence());
        sendStop(entry, run, 0);
    }
}

void HolderService::invalidateLeases()
{
    for (const auto &[id, entry] : m_entries) {
        entry->executor.invalidateLease();
        markCapacityChanged(*entry);
    }
}

void HolderService::reportEnds(const std::shared_ptr<Entry> &entry, const std::vector<RunEnd> &ends)
{
    const std::string executor = entry->executor.registration().id;
    for (const RunEnd &end : ends) {
        if (end.isInferred) {
            entry->inferredEnds.push_back(end.run);
            if (entry->inferredEnds.size() > MaxInferredEnds)
                entry->inferredEnds.pop_front();
        }
        m_metrics.runEnded(asString(end.outcome), end.ran.value_or(Duration()));
        if (end.outcome != RunOutcome::Done && end.outcome != RunOutcome::Stopped)
            LogEvent("run.ended")
                    .with("task", end.run.task)
                    .with("run", end.run.number)
                    .with("executor", executor)
                    .with("outcome", asString(end.outcome))
                    .with("ran", end.ran.value_or(Duration()))
                    .with("executorCrashed", end.hasExecutorCrashed)
                    .with("inferred", end.isInferred)
                    .with("fence", entry->executor.fence());
        m_events.runEnded(end, executor);
    }
}

} // namespace anvilmill::daemon
