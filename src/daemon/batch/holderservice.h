#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/executorcalls.h"
#include "anvilmill/executor/heldexecutor.h"
#include "anvilmill/executor/holderassignment.h"
#include "anvilmill/scheduling/capacityview.h"
#include "anvilmill/scheduling/evacuations.h"
#include "batch/batchmetrics.h"
#include "loop/timerscope.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Notifications from a holder service to its owner, called on the loop's thread.
struct HolderEvents
{
    /// A run that was accepted or adopted, or that an earlier holder started, has ended.
    std::function<void(const RunEnd &, const std::string &executor)> runEnded;
    /// The free capacity of executors may have changed; see takeChangedCapacity().
    std::function<void()> capacityChanged;
    /// Returns how long the lease of a run may last from now on; not positive if its host may be lost.
    std::function<Duration(const RunId &, const std::string &executor)> allowedLease;
    /// The order to start a run will be sent when the current handler has returned.
    std::function<void(const StartOrder &, const std::string &executor)> startDue = {};
    /// The executor has answered an order, or rejected it because of its fence.
    std::function<void(const std::string &executor)> answered = {};
};

/// \brief Holds the leases on the executors assigned to this host and sends orders to them, on
/// behalf of all entry hosts.
///
/// Thread safety: used by the loop's thread alone.
class HolderService
{
public:
    /// Precondition: the references outlive the service.
    HolderService(const Clock &clock, TimerQueue &timers, ExecutorCalls &calls,
                  BatchMetrics &metrics, const Evacuations &evacuations,
                  const HoldSettings &settings, HolderEvents events);
    ~HolderService();

    /// \brief Adds an executor or updates its registration.
    void update(const ExecutorRegistration &registration);

    /// \brief Removes an executor; the ends of its runs are not reported.
    void remove(const std::string &executor);

    /// \brief Acquires and releases executors by \p assignment for host \p self.
    void assign(const HolderAssignment &assignment, const std::string &self);

    /// \brief Starts a run on a held executor; false if it lacks capacity, isn't held here, its data
    /// centre is evacuated, or \p allowedLeaseOfRun isn't positive. Then no order has been sent.
    [[nodiscard]] bool start(const std::string &executor, const RunId &run, const Resources &demand,
                             const std::string &spec, Duration allowedLeaseOfRun);

    /// \brief Takes responsibility for a run started by an earlier holder; false if not held here.
    [[nodiscard]] bool adopt(const std::string &executor, const RunId &run,
                             const Resources &demand);

    /// \brief Stops a run, with retries until it has ended; false if it is being stopped already.
    bool stop(const std::string &executor, const RunId &run);

    /// \brief True if the executor is held here and has the run.
    [[nodiscard]] bool has(const std::string &executor, const RunId &run) const;

    [[nodiscard]] bool holds(const std::string &executor) const;

    /// \brief True if the executor is held here and the outcome of the run's start is unknown.
    [[nodiscard]] bool isStartOpen(const std::string &executor, const RunId &run) const;

    /// \brief As HeldExecutor::isOver(); false if the executor isn't held here.
    [[nodiscard]] bool isOver(const std::string &executor, const RunId &run,
                              Fence startFence) const;

    /// \brief Invalidates all leases; call after this process was suspended.
    void invalidateLeases();

    /// \brief Call when the evacuated data centres have changed: the free capacity there has too.
    void evacuationsChanged();

    /// \brief Free capacity of all executors held here.
    [[nodiscard]] std::vector<CapacityReport> freeCapacity() const;

    /// \brief Free capacity of the executors held here whose capacity changed since the last call.
    [[nodiscard]] std::vector<CapacityReport> takeChangedCapacity();

    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t runs() const;

private:
    struct Entry;

    void replaceEntry(std::shared_ptr<Entry> &entry, const ExecutorRegistration &registration);
    void assignOne(const std::shared_ptr<Entry> &assigned);
    void hold(const std::shared_ptr<Entry> &entry);
    [[nodiscard]] Duration allowedLease(const HeldExecutor &executor) const;
    void holdAnswered(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                      const HoldReply &reply);
    void scheduleProbe(const std::shared_ptr<Entry> &entry);
    void scheduleHold(const std::shared_ptr<Entry> &entry, Duration delay);
    void checkLateStart(const std::shared_ptr<Entry> &entry, const StartOrder &order);
    void startLost(const std::shared_ptr<Entry> &entry, const StartOrder &order);
    void sendStart(const std::shared_ptr<Entry> &entry, const StartOrder &order,
                   const std::string &spec);
    void reportAnswer(const Entry &entry);
    void sendSecondHold(const std::shared_ptr<Entry> &entry);
    void applyReport(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                     const HoldReport &report);
    void startAnswered(const std::shared_ptr<Entry> &entry, const StartOrder &order,
                       const StartReply &reply);
    void sendStop(const std::shared_ptr<Entry> &entry, const RunId &run, int attempt);
    void stopOrphans(const std::shared_ptr<Entry> &entry);
    void markCapacityChanged(const Entry &entry);
    [[nodiscard]] bool mayStartOn(const Entry &entry) const;
    [[nodiscard]] Resources freeCapacityOf(const Entry &entry) const;
    void reportEnds(const std::shared_ptr<Entry> &entry, const std::vector<RunEnd> &ends);
    void checkIncarnation(Entry &entry, const HoldReport &report);
    void checkInferredEnds(Entry &entry, const HoldReport &report);

    const Clock &m_clock;
    ExecutorCalls &m_calls;
    BatchMetrics &m_metrics;
    const Evacuations &m_evacuations;
    HoldSettings m_settings;
    LossTracker m_lossTracker;
    HolderEvents m_events;
    std::map<std::string, std::shared_ptr<Entry>> m_entries;
    /// The last fences of removed executors.
    std::map<std::string, Fence> m_retainedFences;
    /// The entries that are assigned to this host. It holds those that are not fenced.
    std::map<std::string, std::shared_ptr<Entry>> m_assigned;
    HolderAssignment m_assignment;
    std::string m_self;
    std::set<std::string> m_changed;
    bool m_isChangeEventDue = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
