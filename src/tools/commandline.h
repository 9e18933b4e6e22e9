#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Exit codes of every subcommand.
enum ExitCode {
    Success = 0,
    Failure = 1,
    UsageError = 2,
    SettingsError = 3,
    Unavailable = 4,
};

/// \brief Runs the subcommand that the arguments name.
///
/// \p arguments starts with the program's name, as in main(). Errors are printed to standard
/// error. Returns the exit code of the process.
[[nodiscard]] int runCommandLine(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
