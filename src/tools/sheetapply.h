#pragma once

#include "commandline.h"

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \name Actions of `anvilmill sheet` that access the platform.
/// Return the process's exit code; throw TCLAP::ArgException on wrong usage.
/// @{
[[nodiscard]] int runApply(TCLAP::CmdLine &line, std::vector<std::string> &arguments);
[[nodiscard]] int runHistory(TCLAP::CmdLine &line, std::vector<std::string> &arguments);
/// @}

/// \brief `anvilmill drain`: adds a planned stop of one host to the sheet in force.
///
/// \p arguments starts with `anvilmill drain`. Returns the process's exit code.
[[nodiscard]] int runDrain(const std::vector<std::string> &arguments);

} // namespace anvilmill::tools
