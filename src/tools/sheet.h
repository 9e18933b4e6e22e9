#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `anvilmill sheet check|diff|apply|history`: checks, compares and applies
/// operators' sheets.
///
/// \p arguments starts with `anvilmill sheet`. Returns the process's exit code.
[[nodiscard]] int runSheet(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
