#include "platformstandincommand.h"

#include "allocator.h"
#include "commandline.h"
#include "options.h"
#include "platform/platformstandin.h"

#include <Poco/Exception.h>

#include <csignal>
#include <iostream>
#include <pthread.h>

namespace anvilmill::tools {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

int runPlatformStandIn(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Serves the platform's key-value service and host list from memory.");
    TCLAP::ValueArg<std::string> listen("", "listen", "where to accept connections", false,
                                        "127.0.0.1:7000", "address:port", line);
    TCLAP::ValueArg<int> delay("", "delay-ms", "delay of each answer", false, 0, "milliseconds",
                               line);
    if (const std::optional<int> code = parseOptions(line, arguments))
        return *code;
    daemon::returnFreedMemory();
    // Blocked before any thread starts, so that only sigwait() receives these signals.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const SystemClock clock;
        daemon::PlatformStandIn server(listen.getValue(), clock);
        server.faults().answerDelay = Duration(std::chrono::milliseconds(delay.getValue())).count();
        std::cout << "platform stand-in at " << server.address() << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        std::cout << server.calls() << " calls served" << std::endl;
        return Success;
    } catch (const Poco::Exception &problem) {
        std::cerr << "anvilmill platform-standin: " << listen.getValue() << ": "
                  << problem.displayText() << "\n";
        return Unavailable;
    }
}

} // namespace anvilmill::tools
