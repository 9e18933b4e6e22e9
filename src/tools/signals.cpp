#include "signals.h"

#include <csignal>
#include <unistd.h>

namespace anvilmill::tools {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

void requestStop()
{
    (void)kill(getpid(), SIGTERM);
}

} // namespace anvilmill::tools
