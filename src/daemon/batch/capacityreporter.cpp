#include "capacityreporter.h"

#include "batch/meshmessages.h"

#include "anvilmill/scheduling/capacityreportintervals.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

/// Changes of capacity within this time are offered together. A round trip between data centres takes
/// 2 ms.
constexpr Duration OfferInterval = std::chrono::milliseconds(4);
/// Time for the start of a task to arrive that uses what was offered.
constexpr Duration RepeatedOfferInterval = std::chrono::milliseconds(10);

} // namespace

CapacityReporter::CapacityReporter(Mesh &mesh, TimerQueue &timers, const Clock &clock,
                                   std::string self)
    : m_mesh(mesh)
    , m_self(std::move(self))
    , m_floor(clock)
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
    const Resources free = usable(report.freeCapacity);
    const auto reported = m_reported.find(report.executor);
    const bool isKnown = reported != m_reported.end() && reported->second == free
                         && m_inconsistent.count(report.executor) == 0;
    if (isKnown)
        m_pending.erase(report.executor);
    else
        m_pending[report.executor] = free;
    offer(report);
}

void CapacityReporter::offer(const CapacityReport &report)
{
    m_offers.update(report.executor,
                    m_waitingHosts.empty() ? Resources() : usable(report.freeCapacity));
}

void CapacityReporter::schedule()
{
    if (!m_pending.empty() && !std::exchange(m_isNearReportDue, true))
        m_timers.after(changeReportInterval(m_nearHosts.size()), [this] { reportToNear(); });
    if (!m_offers.isEmpty())
        scheduleOffers(OfferInterval);
}

void CapacityReporter::scheduleOffers(Duration delay)
{
    if (!std::exchange(m_areOffersDue, true))
        m_timers.after(delay, [this] { offerToWaiting(); });
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
    std::vector<std::string> waiting;
    std::vector<std::string> others;
    for (const std::string &host : m_nearHosts)
        (isWaiting(host) ? waiting : others).push_back(host);
    if (!m_pending.empty())
        report(m_pending, others);
    // Free capacity is offered to one of the waiting hosts at a time.
    Capacities full;
    for (const auto &[executor, capacity] : m_pending) {
        if (capacity.milliCores <= 0)
            full.emplace(executor, capacity);
    }
    if (!full.empty())
        report(full, waiting);
    for (const auto &[executor, capacity] : m_pending) {
        m_reported[executor] = capacity;
        m_inconsistent.erase(executor);
    }
    m_pending.clear();
}

void CapacityReporter::offerToWaiting()
{
    m_areOffersDue = false;
    std::vector<std::string> mostUrgent;
    std::vector<std::string> waiting;
    for (const std::string &host : m_nearHosts) {
        if (isMostUrgent(host))
            mostUrgent.push_back(host);
        if (isWaiting(host))
            waiting.push_back(host);
    }
    for (const auto &[host, capacities] : m_offers.next(mostUrgent, waiting)) {
        report(capacities, {host});
        for (const auto &[executor, capacity] : capacities)
            m_inconsistent.insert(executor);
    }
    if (m_waitingHosts.empty())
        m_offers.clear();
    if (!m_offers.isEmpty())
        scheduleOffers(RepeatedOfferInterval);
}

void CapacityReporter::reportAll(const Capacities &capacities,
                                 const std::vector<std::string> &hosts)
{
    for (const auto &[executor, capacity] : m_pending)
        m_inconsistent.insert(executor);
    std::vector<std::string> waiting;
    std::vector<std::string> others;
    for (const std::string &host : hosts)
        (isWaiting(host) ? waiting : others).push_back(host);
    report(capacities, others);
    const auto offers = m_offers.distribute(capacities, waiting);
    for (const std::string &host : waiting) {
        Capacities offered = capacities;
        const auto own = offers.find(host);
        for (auto &[executor, capacity] : offered) {
            if (own == offers.end() || own->second.count(executor) == 0)
                capacity = {};
        }
        report(offered, {host});
    }
}

void CapacityReporter::report(const Capacities &capacities, const std::vector<std::string> &hosts)
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
