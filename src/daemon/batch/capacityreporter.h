#pragma once

#include "anvilmill/executor/resources.h"
#include "anvilmill/scheduling/capacityoffers.h"
#include "anvilmill/scheduling/capacityview.h"
#include "anvilmill/scheduling/waitingurgency.h"
#include "batch/mesh.h"
#include "loop/timerscope.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Reports changes of the free capacity of the executors held here: free capacity first to
/// one of the hosts with waiting jobs, and all changes some milliseconds later to the near hosts.
///
/// Thread safety: used by the loop's thread alone.
class CapacityReporter
{
public:
    /// Precondition: the references outlive the reporter.
    CapacityReporter(Mesh &mesh, TimerQueue &timers, std::string self);

    /// \brief Sets the hosts that are notified of capacity changes.
    void setNearHosts(std::vector<std::string> hosts) { m_nearHosts = std::move(hosts); }
    [[nodiscard]] const std::vector<std::string> &nearHosts() const noexcept { return m_nearHosts; }

    /// \brief Sets the urgency of the jobs of \p host that wait for capacity; std::nullopt if none wait.
    void setWaiting(const std::string &host, std::optional<WaitingUrgency> urgency);
    [[nodiscard]] bool isWaiting(const std::string &host) const
    {
        return m_waitingHosts.count(host) > 0;
    }
    [[nodiscard]] std::set<std::string> waitingHosts() const;

    /// \brief The most urgent of the jobs that wait on near hosts; std::nullopt if none wait.
    [[nodiscard]] std::optional<WaitingUrgency> mostUrgentNear() const;

    /// \brief Queues a capacity report.
    void queue(const CapacityReport &report);

    /// \brief Schedules the sending of queued reports.
    void schedule();

    /// \brief Adds the capacity of \p executor to a frame if a report of it is pending.
    void addPending(wire::meshframe::MeshFrame &frame, const std::string &executor) const;

    /// \brief Reports to \p hosts immediately.
    void report(const std::map<std::string, Resources> &capacities,
                const std::vector<std::string> &hosts);

private:
    void reportToNear();
    void reportToWaiting();
    [[nodiscard]] bool isMostUrgent(const std::string &host) const;

    Mesh &m_mesh;
    std::string m_self;
    /// Queued reports: to all near hosts, and to hosts with waiting jobs.
    std::map<std::string, Resources> m_pending;
    std::map<std::string, Resources> m_urgent;
    CapacityOffers m_offers;
    std::map<std::string, WaitingUrgency> m_waitingHosts;
    std::vector<std::string> m_nearHosts;
    bool m_isNearReportDue = false;
    bool m_isUrgentReportDue = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
