#include "capacityreporter.h"

#include "batch/meshmessages.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

/// Changes of capacity within this time are sent together to hosts whose jobs wait for it. A round
/// trip between data centres is 2 ms.
constexpr Duration UrgentInterval = std::chrono::milliseconds(4);
/// The same for the other hosts, which mostly start at their own executors: in SharedRoomTest 1.1%
/// of the starts find the capacity taken with it, and each report costs a frame per near host.
constexpr Duration NearInterval = std::chrono::milliseconds(25);

} // namespace

CapacityReporter::CapacityReporter(Mesh &mesh, TimerQueue &timers, std::string self)
    : m_mesh(mesh)
    , m_self(std::move(self))
    , m_timers(timers)
{
}

void CapacityReporter::setWaiting(const std::string &host, bool isWaiting)
{
    if (isWaiting)
        m_waitingHosts.insert(host);
    else
        m_waitingHosts.erase(host);
}

void CapacityReporter::note(const CapacityReport &report)
{
    m_pending[report.executor] = report.room;
    if (!m_waitingHosts.empty())
        m_urgent[report.executor] = report.room;
}

void CapacityReporter::arm()
{
    if (!m_pending.empty() && !std::exchange(m_isReportDue, true))
        m_timers.after(NearInterval, [this] { reportToNear(); });
    if (!m_urgent.empty() && !std::exchange(m_isUrgentDue, true))
        m_timers.after(UrgentInterval, [this] { reportToWaiting(); });
}

void CapacityReporter::addPending(wire::meshframe::MeshFrame &frame,
                                  const std::string &executor) const
{
    const auto room = m_pending.find(executor);
    if (room != m_pending.end())
        mesh::addCapacity(frame, room->first, room->second);
}

void CapacityReporter::reportToNear()
{
    m_isReportDue = false;
    std::vector<std::string> calm;
    std::vector<std::string> waiting;
    for (const std::string &host : m_nearHosts)
        (m_waitingHosts.count(host) > 0 ? waiting : calm).push_back(host);
    tell(m_pending, calm);
    // Free capacity was already offered to one of them.
    std::map<std::string, Resources> full;
    for (const auto &[executor, room] : m_pending) {
        if (room.milliCores <= 0)
            full.emplace(executor, room);
    }
    if (!full.empty())
        tell(full, waiting);
    m_pending.clear();
}

void CapacityReporter::reportToWaiting()
{
    m_isUrgentDue = false;
    std::vector<std::string> hosts;
    for (const std::string &host : m_nearHosts) {
        if (m_waitingHosts.count(host) > 0)
            hosts.push_back(host);
    }
    for (const auto &[host, rooms] : m_offers.distribute(m_urgent, hosts))
        tell(rooms, {host});
    m_urgent.clear();
}

void CapacityReporter::tell(const std::map<std::string, Resources> &rooms,
                            const std::vector<std::string> &hosts)
{
    if (hosts.empty())
        return;
    wire::meshframe::MeshFrame frame;
    frame.host = m_self;
    for (const auto &[executor, room] : rooms)
        mesh::addCapacity(frame, executor, room);
    m_mesh.send(frame, hosts);
}

} // namespace anvilmill::daemon
