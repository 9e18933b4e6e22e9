#include "machinecommand.h"

#include "commandline.h"
#include "options.h"

#include "log.h"
#include "machine.h"
#include "machinesettings.h"

#include "anvilmill/clock.h"

#include <iostream>

namespace anvilmill::tools {

namespace {

int serve(const fleet::MachineSettings &settings, const std::string &path)
{
    daemon::configureLog(daemon::LogEvent::Level::Info, daemon::LogTarget::StandardOutput);
    const SystemClock clock;
    try {
        fleet::Machine machine(settings, path, clock);
        machine.run();
        return Success;
    } catch (const boost::system::system_error &error) {
        daemon::LogEvent("host.startFailed", daemon::LogEvent::Level::Error)
                .with("reason", error.what());
        return Unavailable;
    }
}

} // namespace

int runMachine(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs one entry host on the fleet's machines until SIGTERM or SIGINT. The "
                        "settings are read from the file that ANVILMILL_NODE_FILE names.",
                        ' ', "", true);
    const TCLAP::ValueArg<std::string> file("s", "settings", "Settings file, instead of that one",
                                            false, "", "FILE", line);
    const TCLAP::SwitchArg checkOnly("c", "check-settings", "Check the settings and exit", line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    const std::string path =
            file.isSet() ? file.getValue() : fleet::machineSettingsPath().value_or("");
    if (path.empty()) {
        std::cerr << "anvilmill machine: --settings: is required without ANVILMILL_NODE_FILE\n";
        return UsageError;
    }
    const fleet::MachineSettingsReport report = fleet::readMachineSettings(path);
    for (const Error &error : report.errors)
        std::cerr << error.asString() << "\n";
    if (!report.settings)
        return SettingsError;
    return checkOnly.isSet() ? static_cast<int>(Success) : serve(*report.settings, path);
}

} // namespace anvilmill::tools
