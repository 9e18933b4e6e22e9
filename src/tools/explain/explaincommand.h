#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `explain`: exit code 0 if there was something to explain, 1 if no line names the job,
/// 2 for bad input.
[[nodiscard]] int runExplain(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
