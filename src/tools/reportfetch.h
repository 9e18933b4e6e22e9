#pragma once

#include "anvilmill/objectives/burnreport.h"

#include <chrono>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Requests the counts of all entry hosts in parallel, each with a \p timeout.
///
/// \p addresses are `host:port`. The replies are in the order of the addresses; a host that is
/// unreachable or sends a malformed reply has an error in place of its counts.
///
/// Thread safety: may be called from any thread.
[[nodiscard]] std::vector<HostReply> fetchObjectives(const std::vector<std::string> &addresses,
                                                     std::chrono::milliseconds timeout);

} // namespace anvilmill::tools
