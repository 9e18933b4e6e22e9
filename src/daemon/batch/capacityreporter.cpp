#include "capacityreporter.h"

#include "batch/meshmessages.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

/// Changes of room within this time go out together to hosts whose jobs wait for room. A round
/// trip between data centres is 2 ms.
constexpr Duration UrgentInterval = std::chrono::milliseconds(4);
/// The same for the other hosts, which mostly start at their own executors: in SharedRoomTest 1.1%
/// of the starts meet taken room with it, and each telling costs a frame for each near host.
constexpr Duration NearInterval = std::chrono::milliseconds(25);

} // namespace

RoomTeller::RoomTeller(Mesh &mesh, TimerQueue &timers, std::string self)
    : m_mesh(mesh)
    , m_self(std::move(self))
    , m_timers(timers)
{
}

void RoomTeller::setWaiting(const std::string &host, bool isWaiting)
{
    if (isWaiting)
        m_waitingHosts.insert(host);
    else
        m_waitingHosts.erase(host);
}

void RoomTeller::note(const CapacityReport &report)
{
    m_untold[report.executor] = report.room;
    if (!m_waitingHosts.empty())
        m_urgent[report.executor] = report.room;
}

void RoomTeller::arm()
{
    if (!m_untold.empty() && !std::exchange(m_isTellingDue, true))
        m_timers.after(NearInterval, [this] { tellNear(); });
    if (!m_urgent.empty() && !std::exchange(m_isUrgentDue, true))
        m_timers.after(UrgentInterval, [this] { tellWaiting(); });
}

void RoomTeller::addNoted(wire::meshframe::MeshFrame &frame, const std::string &executor) const
{
    const auto room = m_untold.find(executor);
    if (room != m_untold.end())
        mesh::addRoom(frame, room->first, room->second);
}

void RoomTeller::tellNear()
{
    m_isTellingDue = false;
    std::vector<std::string> calm;
    std::vector<std::string> waiting;
    for (const std::string &host : m_nearHosts)
        (m_waitingHosts.count(host) > 0 ? waiting : calm).push_back(host);
    tell(m_untold, calm);
    // What is free was offered to one of them.
    std::map<std::string, Resources> full;
    for (const auto &[executor, room] : m_untold) {
        if (room.milliCores <= 0)
            full.emplace(executor, room);
    }
    if (!full.empty())
        tell(full, waiting);
    m_untold.clear();
}

void RoomTeller::tellWaiting()
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

void RoomTeller::tell(const std::map<std::string, Resources> &rooms,
                      const std::vector<std::string> &hosts)
{
    if (hosts.empty())
        return;
    wire::meshframe::MeshFrame frame;
    frame.host = m_self;
    for (const auto &[executor, room] : rooms)
        mesh::addRoom(frame, executor, room);
    m_mesh.send(frame, hosts);
}

} // namespace anvilmill::daemon
