#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief The subcommand `experiment`: compares dispatch policies in virtual time.
[[nodiscard]] int runExperiment(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
