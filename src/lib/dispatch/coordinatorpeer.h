#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/peerdispatcher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvilmill {

/// \brief A start in flight on a slot granted by the coordinator or by this host's own queue.
struct LocalStart
{
    std::string executor;
    std::uint64_t grant = 0;
    /// Session in which the coordinator granted it; absent for this host's own queue.
    std::optional<std::uint64_t> session;
};

/// \brief State of the batches sent to and received from one other member.
struct CoordinatorPeer
{
    DispatchBatch pendingBatch;
    MonotonicTime lastSent;
    bool hasPendingData = false;
    std::int64_t lastSentSequence = 0;
    std::int64_t lastReceivedSequence = 0;
    MonotonicTime lastReceived;
    /// True while the coordinator has received every batch since the member's last reset.
    bool isInSync = false;
};

} // namespace anvilmill
