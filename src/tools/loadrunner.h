#pragma once

#include "anvilmill/history/historyevent.h"
#include "loadcollector.h"
#include "loadplan.h"

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Targets and connection settings of a load run.
struct LoadTargets
{
    /// `host:port` of entry hosts.
    std::vector<std::string> addresses;
    std::string service;
    std::string team;
    /// Maximum number of requests in flight.
    std::size_t connections = 64;
    /// A connection without an answer for this time counts as lost.
    Duration timeout = std::chrono::seconds(30);
    /// Slots of the system, for the ideal response time.
    int slots = 1;
};

/// \brief Sends the requests of \p plan at their scheduled times and waits for all final answers.
///
/// Each answer is compared with its request. Progress is printed to standard error each second.
/// Events are recorded in \p history unless it is null.
[[nodiscard]] LoadResult runLoad(const LoadSettings &settings, const std::vector<PlannedJob> &plan,
                                 const LoadTargets &targets, HistorySink *history);

} // namespace anvilmill::tools
