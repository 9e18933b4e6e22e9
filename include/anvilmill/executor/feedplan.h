#pragma once

#include "anvilmill/executor/holderassignment.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief How one dispatcher gets to know the executors' entries, and which others it tells.
///
/// Load pattern: heartbeats of all executors, whose volume grows with the fleet while nearly none says
/// anything new. In a large fleet one host reads them from the store and tells one dispatcher of each
/// other data centre, which tells the rest of its own. In a small one, where the volume is small too,
/// each data centre has a reader of its own, and learns nothing later when it is cut off.
struct FeedPlan
{
    /// The host that tells this one; empty if this one reads the store.
    std::string source;
    std::vector<std::string> listeners;
};

/// \brief The plan of \p host of \p dataCentre; one that doesn't dispatch has no listeners.
///
/// Hosts with the same assignment have plans that fit together: each dispatcher is told by the host
/// that it names, and the sources of all lead to one that reads.
[[nodiscard]] FeedPlan feedPlanOf(const HolderAssignment &assignment, const std::string &host,
                                  const std::string &dataCentre, bool isSmallFleet);

} // namespace anvilmill
