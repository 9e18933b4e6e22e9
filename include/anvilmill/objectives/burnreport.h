#pragma once

#include "anvilmill/objectives/objective.h"
#include "anvilmill/result.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief Request counts received from one entry host, or the reason why they are missing.
struct HostReply
{
    std::string address;
    Result<HostObjectives> objectives;
};

/// \brief Merges the counts of all entry hosts and computes budgets, burn rates and alerts.
///
/// The counts of a service can be merged only if the hosts use the same window. The window of the
/// host with the most requests is used; hosts with another window are excluded and named in the
/// service's remarks. Never throws on inconsistent counts.
///
/// Thread safety: may be called from any thread.
[[nodiscard]] BurnReport makeBurnReport(const std::vector<HostReply> &replies, WallTime now);

/// \brief Rate at which the error budget is consumed; 1 consumes it in exactly the window.
///
/// Zero if there are no requests.
[[nodiscard]] double burnRate(double objective, std::int64_t good, std::int64_t bad) noexcept;

} // namespace anvilmill
