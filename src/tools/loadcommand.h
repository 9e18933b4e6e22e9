#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `load` and `load compare`.
///
/// Exit code 0 if every answer matched its request, 1 if one did not, 4 if no request was answered.
[[nodiscard]] int runLoadCommand(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
