#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/executorcalls.h"
#include "anvilmill/executor/heldexecutor.h"
#include "anvilmill/executor/holderassignment.h"
#include "anvilmill/scheduling/capacityview.h"
#include "batch/batchmetrics.h"
#include "loop/timerscope.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief What a holder service tells its owner; called from the loop, never from within a call.
struct HolderEvents
{
    /// A run that was accepted or adopted, or that an earlier holder started, has ended.
    std::function<void(const RunEnd &, const std::string &executor)> runEnded;
    /// Room of executors may have changed; see takeChangedRoom().
    std::function<void()> roomChanged;
};

/// \brief Holds executors for all entry hosts: keeps their leases, sends their orders.
///
/// Thread safety: used by the loop's thread alone.
class HolderService
{
public:
    /// Precondition: the references outlive the service.
    HolderService(const Clock &clock, TimerQueue &timers, ExecutorCalls &calls,
                  BatchMetrics &metrics, const HoldSettings &settings, HolderEvents events);
    ~HolderService();

    /// \brief An executor is listed, or what it says of itself has changed.
    void update(const ExecutorRegistration &registration);

    /// \brief An executor is gone; its runs are lost.
    void remove(const std::string &executor);

    /// \brief Takes over and lets go of executors as \p assignment says for host \p self.
    void assign(const HolderAssignment &assignment, const std::string &self);

    /// \brief Starts a run on a held executor; false if there is no room or it isn't held here.
    [[nodiscard]] bool start(const std::string &executor, const RunId &run, const Resources &demand,
                             const std::string &spec);

    /// \brief Answers from now on for a run that an earlier holder started; false if not held here.
    [[nodiscard]] bool adopt(const std::string &executor, const RunId &run,
                             const Resources &demand);

    /// \brief Stops a run, again until it has ended; false if it is being stopped already.
    bool stop(const std::string &executor, const RunId &run);

    /// \brief True if the run is counted at an executor that is held here.
    [[nodiscard]] bool has(const std::string &executor, const RunId &run) const;

    /// \brief Call after this process was suspended.
    void doubtAll();

    /// \brief Room of all executors held here.
    [[nodiscard]] std::vector<CapacityReport> room() const;

    /// \brief Room of the executors held here that changed since the last call.
    [[nodiscard]] std::vector<CapacityReport> takeChangedRoom();

    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t runs() const;

private:
    struct Entry;

    void assignOne(const std::shared_ptr<Entry> &assigned);
    void hold(const std::shared_ptr<Entry> &entry);
    void holdAnswered(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                      const HoldReply &reply);
    void awaitProbe(const std::shared_ptr<Entry> &entry);
    void holdAgain(const std::shared_ptr<Entry> &entry, Duration delay);
    void doubtStart(const std::shared_ptr<Entry> &entry, const StartOrder &order);
    void startLost(const std::shared_ptr<Entry> &entry, const StartOrder &order);
    void settle(const std::shared_ptr<Entry> &entry);
    void takeReport(const std::shared_ptr<Entry> &entry, const HoldOrder &order,
                    const HoldReport &report);
    void startAnswered(const std::shared_ptr<Entry> &entry, const StartOrder &order,
                       const StartReply &reply);
    void sendStop(const std::shared_ptr<Entry> &entry, const RunId &run, int attempt);
    void stopOrphans(const std::shared_ptr<Entry> &entry);
    void noteRoom(const Entry &entry);
    void emit(const std::string &executor, const std::vector<RunEnd> &ends);

    const Clock &m_clock;
    ExecutorCalls &m_calls;
    BatchMetrics &m_metrics;
    HoldSettings m_settings;
    LossTracker m_losses;
    HolderEvents m_events;
    std::map<std::string, std::shared_ptr<Entry>> m_entries;
    /// Those of the entries that the assignment names this host for; it may not hold them all.
    std::map<std::string, std::shared_ptr<Entry>> m_assigned;
    HolderAssignment m_assignment;
    std::string m_self;
    std::set<std::string> m_changed;
    bool m_isChangeAnnounced = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
