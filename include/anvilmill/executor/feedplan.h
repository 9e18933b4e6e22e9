#pragma once

#include "anvilmill/executor/holderassignment.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief The source from which one dispatcher receives the executors' entries, and the hosts to
/// which it forwards them.
///
/// Load pattern: the volume of the heartbeats of all executors grows with the fleet, while nearly
/// none of them contains a change. In a large fleet one host reads them from the store and forwards
/// them to one dispatcher of each other data centre, which forwards them to the other dispatchers
/// there. In a small fleet the volume is small, so each data centre has its own reader, and its
/// updates are not delayed when the link to the other data centres is cut.
struct FeedPlan
{
    /// The host that forwards entries to this one; empty if this one reads the store.
    std::string source;
    /// The hosts to which this one forwards entries.
    std::vector<std::string> listeners;
};

/// \brief Returns the plan of \p host in \p dataCentre; a host that is no dispatcher has no
/// listeners.
///
/// Hosts with the same assignment have consistent plans: the source of each dispatcher lists it as
/// a listener, and following the sources always ends at a host that reads the store.
[[nodiscard]] FeedPlan feedPlanOf(const HolderAssignment &assignment, const std::string &host,
                                  const std::string &dataCentre, bool isSmallFleet);

} // namespace anvilmill
