#pragma once

#include "batch/holderservice.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace anvilmill::daemon {

/// \brief An executor as recorded by its holder, with the orders that are in flight.
struct HolderService::Entry
{
    Entry(const Clock &clock, const HoldSettings &settings,
          const ExecutorRegistration &registration)
        : executor(clock, settings, registration)
    {
    }

    HeldExecutor executor;
    /// Runs for which stop orders are being sent.
    std::set<RunId> stopping;
    /// Runs that were reported as lapsed without an answer from the executor, oldest first.
    std::deque<RunId> inferredEnds;
    std::optional<MonotonicTime> scheduledProbe;
    std::uint64_t incarnation = 0;
    bool isHoldInFlight = false;
    /// A second hold is in flight, to resolve unanswered starts while the first one waits for ends.
    bool isSecondHoldInFlight = false;
    bool isRemoved = false;
    bool isUnresponsive = false;
};

} // namespace anvilmill::daemon
