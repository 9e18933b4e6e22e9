#include "serve.h"

#include "commandline.h"
#include "options.h"
#include "signals.h"

#include "allocator.h"
#include "entryhost/entryhostprocess.h"
#include "log.h"
#include "standin/standinexecutor.h"

#include <Poco/Exception.h>

#include <iostream>

namespace anvilmill::tools {

namespace {

daemon::LogEvent::Level asLogLevel(wire::settings::Level level)
{
    using Level = daemon::LogEvent::Level;
    switch (level) {
    case wire::settings::Level::Debug:
        return Level::Debug;
    case wire::settings::Level::Info:
        return Level::Info;
    case wire::settings::Level::Warning:
        return Level::Warning;
    case wire::settings::Level::Error:
        return Level::Error;
    }
    return Level::Info;
}

/// Callers choose the names of tasks in part.
constexpr std::size_t MaxPrintedName = 100;

int serve(const daemon::Settings &settings)
{
    daemon::returnFreedMemory();
    blockStopSignals();
    daemon::configureLog(asLogLevel(settings.log.level));
    const SystemClock clock;
    try {
        daemon::EntryHostProcess process(settings, clock, requestStop);
        waitForStopSignal();
        return process.stop() ? Success : Failure;
    } catch (const Poco::Exception &exception) {
        std::cerr << "anvilmill serve: " << exception.displayText() << "\n";
        return Unavailable;
    }
}

} // namespace

int runServe(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs one entry host until SIGTERM or SIGINT.", ' ', "", true);
    const TCLAP::ValueArg<std::string> file("s", "settings", "INI file with the settings", false,
                                            "", "FILE", line);
    const TCLAP::SwitchArg checkOnly("c", "check-settings", "Check the settings and exit", line);
    const TCLAP::SwitchArg printPage("", "print-settings-page",
                                     "Print the page that describes all settings and exit", line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    if (printPage.isSet()) {
        std::cout << daemon::settingsPage();
        return Success;
    }
    if (!file.isSet()) {
        std::cerr << "anvilmill serve: --settings: is required\n";
        return UsageError;
    }
    const daemon::SettingsReport report = daemon::readSettings(file.getValue());
    for (const Error &error : report.errors)
        std::cerr << error.asString() << "\n";
    if (!report.settings)
        return SettingsError;
    return checkOnly.isSet() ? static_cast<int>(Success) : serve(*report.settings);
}

int runExecutor(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs one stand-in executor until SIGTERM or SIGINT.", ' ', "", true);
    const TCLAP::ValueArg<std::string> address("a", "address", "Address to listen on", false,
                                               "127.0.0.1", "ADDRESS", line);
    const TCLAP::ValueArg<int> port("p", "port", "Port to listen on", false, 9001, "PORT", line);
    const TCLAP::ValueArg<double> speed("", "speed", "Divides the tasks' run times", false, 1.0,
                                        "FACTOR", line);
    const TCLAP::SwitchArg failsAll("", "fail-all", "Fail every task", line);
    const TCLAP::SwitchArg printStarts("", "print-starts", "Print a line for each start", line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    if (speed.getValue() <= 0) {
        std::cerr << "anvilmill executor: --speed: must be positive\n";
        return UsageError;
    }
    daemon::returnFreedMemory();
    blockStopSignals();
    try {
        daemon::StandInExecutor executor(address.getValue(), port.getValue());
        executor.behaviour().speed = speed.getValue();
        executor.behaviour().failsAll = failsAll.isSet();
        if (printStarts.isSet())
            executor.observeStarts([](const daemon::PerformedStart &start) {
                std::cout << "event=start task=" << start.task.substr(0, MaxPrintedName)
                          << std::endl;
            });
        std::cout << "listening at " << executor.name() << std::endl;
        waitForStopSignal();
        return Success;
    } catch (const Poco::Exception &exception) {
        std::cerr << "anvilmill executor: " << exception.displayText() << "\n";
        return Unavailable;
    }
}

} // namespace anvilmill::tools
