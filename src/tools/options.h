#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Parses the arguments of a subcommand.
///
/// Returns the exit code if the subcommand must exit at once (help, version or a usage error, which
/// is printed to standard error with the flag's name), else std::nullopt.
[[nodiscard]] std::optional<int> parseOptions(TCLAP::CmdLine &line,
                                              const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
