#include "commandline.h"

#include "subcommand.h"

#include <algorithm>
#include <iostream>

namespace anvilmill::tools {

namespace {

constexpr const char *Version = "0.1.0";

void printHelp(std::ostream &out)
{
    out << "Usage: anvilmill SUBCOMMAND [OPTIONS]\n\nSubcommands:\n";
    for (const Subcommand &command : subcommands())
        out << "  " << command.name << std::string(18 - command.name.size(), ' ') << command.summary
            << "\n";
    out << "\n'anvilmill SUBCOMMAND --help' lists the options of one.\n"
        << "Exit codes: 0 success, 1 failure, 2 usage, 3 settings, 4 unavailable.\n";
}

const Subcommand *findSubcommand(const std::string &name)
{
    const auto &all = subcommands();
    const auto found = std::find_if(all.begin(), all.end(), [&](const Subcommand &command) {
        return command.name == name;
    });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

int runCommandLine(const std::vector<std::string> &arguments)
{
    const std::string first = arguments.size() > 1 ? arguments[1] : "";
    if (first.empty() || first == "--help" || first == "-h") {
        printHelp(first.empty() ? std::cerr : std::cout);
        return first.empty() ? UsageError : Success;
    }
    if (first == "--version") {
        std::cout << "anvilmill " << Version << "\n";
        return Success;
    }
    const Subcommand *command = findSubcommand(first);
    if (!command) {
        std::cerr << "anvilmill: unknown subcommand '" << first << "'; see 'anvilmill --help'\n";
        return UsageError;
    }
    std::vector<std::string> subcommandArguments(arguments.begin() + 1, arguments.end());
    subcommandArguments[0] = "anvilmill " + first;
    return command->run(subcommandArguments);
}

} // namespace anvilmill::tools
