#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `explain`: exit code 0 on success, 1 if no line names the job, 2 for invalid input.
[[nodiscard]] int runExplain(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
