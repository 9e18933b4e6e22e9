#pragma once

#include "experimentsimulation.h"

#include <vector>

namespace anvilmill::tools {

/// \brief All dispatch policies that the experiment compares; the daemon's policy is the last.
[[nodiscard]] const std::vector<Policy> &experimentPolicies();

/// \brief Name of the policy that the daemon runs.
inline constexpr const char *ProductPolicy = "product";

} // namespace anvilmill::tools
