#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief One entry of the table of subcommands.
struct Subcommand
{
    std::string name;
    std::string summary;
    int (*run)(const std::vector<std::string> &arguments);
};

/// \brief Every subcommand, in the order of the help text.
[[nodiscard]] const std::vector<Subcommand> &subcommands();

} // namespace anvilmill::tools
