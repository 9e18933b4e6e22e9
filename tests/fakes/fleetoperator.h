#pragma once

#include "followerfleet.h"
#include "randomsheet.h"

#include <algorithm>
#include <string>

namespace anvilmill::fakes {

/// \brief An operator who applies random changes to a fleet's platform.
class FleetOperator
{
public:
    FleetOperator(FollowerFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_name("operator-" + std::to_string(seed) + "-")
        , m_random(seed)
        , m_sheet(fakes::randomSheet(m_random, 30, 10, 30))
    {
    }

    ApplyOutcome apply()
    {
        fakes::applyRandomChanges(m_sheet, m_random);
        SheetChange change;
        change.sheet = m_sheet;
        change.changeId = m_name + std::to_string(++m_changes);
        for (const auto *host : m_fleet.liveHosts())
            change.highestInForce = std::max(change.highestInForce, reportedRevision(*host));
        ApplyOutcome outcome = m_fleet.revisions.apply(change);
        m_fleet.notifyWatches();
        return outcome;
    }

    /// Applies changes until the platform accepts one.
    RevisionId applyUntilAccepted()
    {
        for (;;) {
            const ApplyOutcome outcome = apply();
            if (outcome.state == ApplyOutcome::State::Applied)
                return outcome.id;
        }
    }

private:
    [[nodiscard]] Revision reportedRevision(const FollowerFleet::Host &host) const
    {
        return m_fleet.reachesPlatform(host) ? host.follower->held().revision : 0;
    }

    FollowerFleet &m_fleet;
    std::string m_name;
    SeededRandom m_random;
    Sheet m_sheet;
    int m_changes = 0;
};

} // namespace anvilmill::fakes
