#include "options.h"

#include "commandline.h"

#include <iostream>

namespace anvilmill::tools {

std::optional<int> parseOptions(TCLAP::CmdLine &line, const std::vector<std::string> &arguments)
{
    line.setExceptionHandling(false);
    try {
        std::vector<std::string> copy = arguments;
        line.parse(copy);
        return std::nullopt;
    } catch (const TCLAP::ArgException &exception) {
        std::cerr << arguments.front() << ": " << exception.argId() << ": " << exception.error()
                  << "\n";
        return UsageError;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? Success : UsageError;
    }
}

} // namespace anvilmill::tools
