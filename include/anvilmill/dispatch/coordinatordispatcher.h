#pragma once

#include "anvilmill/dispatch/adaptivedispatcher.h"
#include "anvilmill/dispatch/peerdispatcher.h"

#include <memory>
#include <string>

namespace anvilmill {

/// \brief Settings of entry hosts that share slots through a coordinator.
struct CoordinatorSettings
{
    DispatchSettings dispatch;
    /// Minimum time between two batches to the same host.
    Duration batchInterval = std::chrono::microseconds(300);
    /// The coordinator sends each member a batch at least this often, and vice versa.
    Duration heartbeatInterval = std::chrono::milliseconds(50);
    /// A host that receives no batch from the coordinator for this long uses its own share of the
    /// slots. The coordinator evicts the jobs of a member that sends no batch for this long.
    Duration peerTimeout = std::chrono::milliseconds(250);
};

/// \brief Returns the coordinator among \p members: the one whose name has the highest hash.
///
/// All hosts with the same members select the same coordinator. A change of members replaces it
/// only if it left or a new member has a higher hash. Precondition: \p members is not empty.
[[nodiscard]] std::string coordinatorOf(const std::vector<std::string> &members);

/// \brief Creates a dispatcher for entry hosts that share one queue, run by one of them: the
/// coordinator.
///
/// Each host stores its own jobs and starts their tasks. It offers them to the coordinator, which
/// orders the work of all hosts in one adaptive dispatcher and grants slots for single tasks. The
/// coordinator's state is soft: after a change of members or a timeout, each host offers its
/// unstarted tasks to the coordinator again and reports the slots that it holds. A host whose
/// coordinator timed out uses its share of every executor's slots; if two hosts then use the same
/// slot, the executor refuses one of the starts.
///
/// Precondition: \p clock and \p random outlive the dispatcher.
[[nodiscard]] std::unique_ptr<PeerDispatcher>
makeCoordinatorDispatcher(const Clock &clock, RandomSource &random,
                          const CoordinatorSettings &settings, const std::string &self);

} // namespace anvilmill
