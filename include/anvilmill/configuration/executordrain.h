#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/executorinfo.h"
#include "anvilmill/platform/hostlist.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill {

struct ExecutorDrainOptions
{
    /// Time for which the host list must show a leaving executor as live, with no indication of
    /// leaving, before it counts as live again. Longer than the lag of the list.
    Duration returnDelay = std::chrono::seconds(10);
    /// Consecutive failed connects after which an executor receives no new starts.
    int failedConnects = 2;
    /// Delay before the first probe of an unreachable executor; doubles with each failed probe.
    Duration probeDelay = std::chrono::milliseconds(500);
    Duration maxProbeDelay = std::chrono::seconds(15);
};

/// \brief Determines which executors are leaving and receive no new starts.
///
/// The platform's host list lags behind the executors. An executor's own announcement, a planned
/// stop and failed connects therefore take effect at once, whatever the list contains. An
/// executor that is absent from the list stays in use until connects to it fail, because the list
/// may be out of date.
///
/// Starts in flight are not affected.
///
/// Thread safety: one thread at a time.
class ExecutorDrain
{
public:
    /// \p clock must outlive this object.
    ExecutorDrain(const Clock &clock, const ExecutorDrainOptions &options);

    /// \brief Updates the state from the platform's host list; ignores hosts of other roles.
    void setListed(const std::vector<ListedHost> &hosts);

    /// \brief Replaces the set of executors for which the sheet has a planned stop due.
    void setPlannedStops(std::set<std::string> executors);

    /// \brief Records that the executor itself announced that it is leaving.
    void leaveAnnounced(const std::string &executor);

    void connectFailed(const std::string &executor);
    void connectSucceeded(const std::string &executor);

    /// \brief True if no new start may go to \p executor.
    [[nodiscard]] bool isLeaving(const std::string &executor) const;

    /// \brief The executors to probe with a connect now. The caller reports each outcome with
    /// connectFailed() or connectSucceeded().
    [[nodiscard]] std::vector<std::string> probesDue() const;

    /// \brief Every known executor, with ExecutorInfo::isLeaving set, for Dispatcher.
    [[nodiscard]] std::vector<ExecutorInfo> executors() const;

private:
    struct State
    {
        ExecutorInfo info;
        bool isListed = false;
        int failures = 0;
        std::optional<MonotonicTime> probeAt;
        /// Time of the latest indication that the executor is leaving.
        std::optional<MonotonicTime> leavingAt;
    };

    [[nodiscard]] bool isLeaving(const State &state) const;
    [[nodiscard]] bool isUnreachable(const State &state) const noexcept;
    void evictGone();

    const Clock &m_clock;
    ExecutorDrainOptions m_options;
    std::map<std::string, State> m_executors;
    std::set<std::string> m_plannedStops;
};

} // namespace anvilmill
