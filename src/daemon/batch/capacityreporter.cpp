#include "capacityreporter.h"

#include "batch/meshmessages.h"

#include "anvilmill/scheduling/capacityreportintervals.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

/// Changes of capacity within this time are sent together to hosts with waiting jobs. A round trip
/// between data centres takes 2 ms.
constexpr Duration UrgentInterval = std::chrono::milliseconds(4);

} // namespace

CapacityReporter::CapacityReporter(Mesh &mesh, TimerQueue &timers, std::string self)
    : m_mesh(mesh)
    , m_self(std::move(self))
    , m_timers(timers)
{
}

void CapacityReporter::setWaiting(const std::string &host, std::optional<WaitingUrgency> urgency)
{
    if (urgency)
        m_waitingHosts.insert_or_assign(host, *urgency);
    else
        m_waitingHosts.erase(host);
}

std::set<std::string> CapacityReporter::waitingHosts() const
{
    std::set<std::string> hosts;
    for (const auto &[host, urgency] : m_waitingHosts)
        hosts.insert(host);
    return hosts;
}

std::optional<WaitingUrgency> CapacityReporter::mostUrgentNear() const
{
    std::optional<WaitingUrgency> most;
    for (const std::string &host : m_nearHosts) {
        const auto waiting = m_waitingHosts.find(host);
        if (waiting != m_waitingHosts.end() && (!most || waiting->second.isBefore(*most)))
            most = waiting->second;
    }
    return most;
}

bool CapacityReporter::isMostUrgent(const std::string &host) const
{
    const auto waiting = m_waitingHosts.find(host);
    return waiting != m_waitingHosts.end() && waiting->second == mostUrgentNear();
}

void CapacityReporter::queue(const CapacityReport &report)
{
    m_pending[report.executor] = report.freeCapacity;
    if (!m_waitingHosts.empty())
        m_urgent[report.executor] = report.freeCapacity;
}

void CapacityReporter::schedule()
{
    if (!m_pending.empty() && !std::exchange(m_isNearReportDue, true))
        m_timers.after(changeReportInterval(m_nearHosts.size()), [this] { reportToNear(); });
    if (!m_urgent.empty() && !std::exchange(m_isUrgentReportDue, true))
        m_timers.after(UrgentInterval, [this] { reportToWaiting(); });
}

void CapacityReporter::addPending(wire::meshframe::MeshFrame &frame,
                                  const std::string &executor) const
{
    const auto capacity = m_pending.find(executor);
    if (capacity != m_pending.end())
        mesh::addCapacity(frame, capacity->first, capacity->second);
}

void CapacityReporter::reportToNear()
{
    m_isNearReportDue = false;
    std::vector<std::string> others;
    std::vector<std::string> offered;
    for (const std::string &host : m_nearHosts)
        (isMostUrgent(host) ? offered : others).push_back(host);
    report(m_pending, others);
    // Free capacity was already offered to one of the most urgent hosts.
    std::map<std::string, Resources> full;
    for (const auto &[executor, capacity] : m_pending) {
        if (capacity.milliCores <= 0)
            full.emplace(executor, capacity);
    }
    if (!full.empty())
        report(full, offered);
    m_pending.clear();
}

void CapacityReporter::reportToWaiting()
{
    m_isUrgentReportDue = false;
    std::vector<std::string> hosts;
    for (const std::string &host : m_nearHosts) {
        if (isMostUrgent(host))
            hosts.push_back(host);
    }
    for (const auto &[host, capacities] : m_offers.distribute(m_urgent, hosts))
        report(capacities, {host});
    m_urgent.clear();
}

void CapacityReporter::report(const std::map<std::string, Resources> &capacities,
                              const std::vector<std::string> &hosts)
{
    if (hosts.empty())
        return;
    wire::meshframe::MeshFrame frame;
    frame.host = m_self;
    for (const auto &[executor, capacity] : capacities)
        mesh::addCapacity(frame, executor, capacity);
    m_mesh.send(std::move(frame), hosts);
}

} // namespace anvilmill::daemon
