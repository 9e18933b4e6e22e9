#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/configuration/revisionstore.h"
#include "anvilmill/platform/hostlist.h"

#include <functional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief A data centre or host where a revision is not in force, and the reason.
struct NotInForce
{
    /// Name of a data centre, or `dataCentre/host`.
    std::string where;
    std::string reason;
};

/// \brief Compares the reports of the data centres with the list of entry hosts and returns each
/// place where \p revision is not in force.
///
/// Empty if every live entry host acts on this revision or a later one.
[[nodiscard]] std::vector<NotInForce> findNotInForce(RevisionStore &revisions, HostList &hosts,
                                                     Revision revision);

/// \brief The highest revision that any data centre reports to be in force; 0 without a report.
///
/// Exceeds the newest revision stored in the platform after the platform was restored from an
/// older state.
[[nodiscard]] Revision highestInForce(RevisionStore &revisions, HostList &hosts);

/// \brief Polls until \p revision is in force everywhere or \p limit has passed; \p pause sleeps
/// between two polls.
///
/// Returns the places where the revision was not in force at the last poll.
[[nodiscard]] std::vector<NotInForce> waitForForce(RevisionStore &revisions, HostList &hosts,
                                                   Revision revision, const Clock &clock,
                                                   const std::function<void(Duration)> &pause,
                                                   Duration limit);

} // namespace anvilmill::tools
