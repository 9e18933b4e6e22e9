/// Executors crash under load and start again under their id, as ones of a smaller kind.
#include "fleet.h"

#include <iostream>

int main(int, char **arguments)
{
    using namespace review;
    Fleet::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.recordPath = arguments[3];
    settings.network = 111;
    settings.executors = 16;
    settings.executorCpu = 48000;
    Fleet fleet(settings);
    if (!fleet.start())
        fleet.end(2);
    Submission job;
    job.tasks = 2;
    job.workMs = 200;
    fleet.startLoad(40, job);
    pause(6000);
    const std::size_t crashed[] = {3, 10};
    if (hasTrouble()) {
        for (const std::size_t number : crashed)
            fleet.executor(number).crash();
        pause(1000);
        for (const std::size_t number : crashed) {
            fleet.executor(number).setCpu(32000);
            fleet.executor(number).start();
        }
    } else {
        pause(1000);
    }
    pause(6000);
    fleet.stopLoad();
    std::cout << fleet.accepted() << " jobs completed, " << fleet.rejected() << " not, "
              << fleet.record().brokenRules() << " starts over the capacity" << std::endl;
    if (fleet.accepted() < 100)
        fleet.end(2);
    fleet.end(fleet.record().brokenRules() > 0 ? 1 : 0);
}
