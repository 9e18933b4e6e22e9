#pragma once

#include "anvilmill/executor/resources.h"
#include "anvilmill/scheduling/capacityoffers.h"
#include "anvilmill/scheduling/capacityview.h"
#include "batch/mesh.h"
#include "loop/timerscope.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Tells other hosts the room of the executors held here: soon one of those whose jobs wait
/// for it, a little later all near ones.
///
/// Thread safety: used by the loop's thread alone.
class RoomTeller
{
public:
    /// Precondition: the references outlive the teller.
    RoomTeller(Mesh &mesh, TimerQueue &timers, std::string self);

    /// \brief Hosts that hear of room as it changes.
    void setNearHosts(std::vector<std::string> hosts) { m_nearHosts = std::move(hosts); }
    [[nodiscard]] const std::vector<std::string> &nearHosts() const noexcept { return m_nearHosts; }

    /// \brief Whether jobs of \p host wait for room.
    void setWaiting(const std::string &host, bool isWaiting);
    [[nodiscard]] bool isWaiting(const std::string &host) const
    {
        return m_waitingHosts.count(host) > 0;
    }
    [[nodiscard]] const std::set<std::string> &waitingHosts() const noexcept
    {
        return m_waitingHosts;
    }

    /// \brief Room that is to be told.
    void note(const CapacityReport &report);

    /// \brief Sends what was noted in time.
    void arm();

    /// \brief Adds the room of \p executor to a frame if it is about to be told.
    void addNoted(wire::meshframe::MeshFrame &frame, const std::string &executor) const;

    /// \brief Tells \p hosts at once.
    void tell(const std::map<std::string, Resources> &rooms, const std::vector<std::string> &hosts);

private:
    void tellNear();
    void tellWaiting();

    Mesh &m_mesh;
    std::string m_self;
    /// Room that was not told yet: to anyone, and to hosts with waiting jobs.
    std::map<std::string, Resources> m_untold;
    std::map<std::string, Resources> m_urgent;
    CapacityOffers m_offers;
    std::set<std::string> m_waitingHosts;
    std::vector<std::string> m_nearHosts;
    bool m_isTellingDue = false;
    bool m_isUrgentDue = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
