#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief `report`: exit code 0 if any entry host was reached, 4 if none was.
[[nodiscard]] int runReport(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
