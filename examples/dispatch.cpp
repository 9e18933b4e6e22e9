// Uses only the dispatcher: the library decides which task starts next, on executors that the
// program provides. Here the executors are simulated and time is virtual.

#include "anvilmill/anvilmill.h"

#include <iostream>
#include <map>

using namespace anvilmill;
using namespace std::chrono_literals;

namespace {

/// Runs all tasks of the dispatcher, each for \p runTime of virtual time.
void runAll(Dispatcher &dispatcher, ManualClock &clock, Duration runTime)
{
    std::multimap<MonotonicTime, Start> running;
    while (true) {
        while (const std::optional<Start> start = dispatcher.nextStart())
            running.emplace(clock.now() + runTime, *start);
        if (running.empty())
            return;
        const auto [endTime, start] = *running.begin();
        running.erase(running.begin());
        clock.advance(endTime - clock.now());
        dispatcher.recordOutcome(start, StartOutcome::Done);
    }
}

} // namespace

int main()
{
    ManualClock clock;
    SeededRandom random(1);
    const auto dispatcher = makeAdaptiveDispatcher(clock, random, DispatchSettings{});
    dispatcher->setExecutors(
            {{"10.0.0.1:80", 8, {"quotes"}, false}, {"10.0.0.2:80", 8, {"quotes"}, false}});

    JobSpec job;
    job.submission = "example";
    job.service = "quotes";
    job.tasks.resize(40);
    if (const std::optional<Refusal> refusal = dispatcher->submit(1, job)) {
        std::cerr << "refused: " << refusal->reason << "\n";
        return 1;
    }
    runAll(*dispatcher, clock, 100ms);
    std::cout << "40 tasks of 100 ms on 16 slots took "
              << clock.now().time_since_epoch() / std::chrono::milliseconds(1) << " ms\n";

    job.service = "unknown";
    const std::optional<Refusal> refusal = dispatcher->submit(2, job);
    std::cout << "unknown service: " << (refusal ? refusal->reason : "accepted") << "\n";
    return refusal ? 0 : 1;
}
