#pragma once

#include "anvilmill/executor/resources.h"
#include "anvilmill/scheduling/capacityoffers.h"
#include "anvilmill/scheduling/capacityview.h"
#include "anvilmill/scheduling/demandfloor.h"
#include "anvilmill/scheduling/waitingurgency.h"
#include "batch/mesh.h"
#include "loop/timerscope.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Reports changes of the free capacity of the executors held here: free capacity to one of the
/// hosts with waiting jobs at a time, and all changes some milliseconds later to the other near hosts.
///
/// Capacity that no recent task would fit into is reported as none.
///
/// Thread safety: used by the loop's thread alone.
class CapacityReporter
{
public:
    using Capacities = CapacityOffers::Capacities;

    /// Precondition: the references outlive the reporter.
    CapacityReporter(Mesh &mesh, TimerQueue &timers, const Clock &clock, std::string self);

    /// \brief Records the demand of a task that is placed or started here.
    void recordDemand(const Resources &demand) { m_floor.record(demand.milliCores); }

    /// \brief \p free, or none if no recent task would fit into it.
    [[nodiscard]] Resources usable(const Resources &free) const
    {
        return m_floor.isUsable(free.milliCores) ? free : Resources();
    }

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

    /// \brief Queues a capacity report, and offers the capacity if hosts have waiting jobs.
    void queue(const CapacityReport &report);

    /// \brief Offers the capacity if hosts have waiting jobs.
    void offer(const CapacityReport &report);

    /// \brief Schedules the sending of queued reports and offers.
    void schedule();

    /// \brief Adds the capacity of \p executor to a frame if a report of it is pending.
    void addPending(wire::meshframe::MeshFrame &frame, const std::string &executor) const;

    /// \brief Reports to \p hosts immediately.
    void report(const Capacities &capacities, const std::vector<std::string> &hosts);

    /// \brief Reports the capacity of all executors to \p hosts, immediately. Those with waiting jobs
    /// are each told of the free capacity of some of them.
    void reportAll(const Capacities &capacities, const std::vector<std::string> &hosts);

private:
    void reportToNear();
    void offerToWaiting();
    void scheduleOffers(Duration delay);
    [[nodiscard]] bool isMostUrgent(const std::string &host) const;

    Mesh &m_mesh;
    std::string m_self;
    /// Queued reports to the near hosts.
    Capacities m_pending;
    /// What the near hosts were told last.
    Capacities m_reported;
    /// Executors of which some near hosts were told something else since then.
    std::set<std::string> m_inconsistent;
    DemandFloor m_floor;
    CapacityOffers m_offers;
    std::map<std::string, WaitingUrgency> m_waitingHosts;
    std::vector<std::string> m_nearHosts;
    bool m_isNearReportDue = false;
    bool m_areOffersDue = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
