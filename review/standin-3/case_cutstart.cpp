/// An executor is cut off right after an order to start a task, which it carries out late.
#include "fleet.h"

#include <future>
#include <iostream>
#include <mutex>

int main(int, char **arguments)
{
    using namespace review;
    /// Applied late: 2 to 12 s after the order arrived.
    constexpr std::int64_t LateMs = 3000;
    /// `for_s` of node_cut
    constexpr std::int64_t CutMs = 5500;
    constexpr std::size_t Jobs = 4;
    Fleet::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.recordPath = arguments[3];
    settings.network = 115;
    Fleet fleet(settings);
    std::mutex mutex;
    std::string watched;
    std::string late;
    std::promise<void> *arrived = nullptr;
    for (std::size_t i = 0; i < fleet.executors(); ++i)
        fleet.executor(i).onOrder([&](const Order &order) {
            const std::lock_guard lock(mutex);
            Fate fate;
            if (hasTrouble() && order.path == "/api/run-start" && order.task == watched
                && late.empty()) {
                late = order.executor;
                fate.lateMs = LateMs;
                arrived->set_value();
            }
            return fate;
        });
    if (!fleet.start())
        fleet.end(2);
    int completed = 0;
    for (std::size_t i = 0; i < Jobs; ++i) {
        Submission job;
        job.id = fleet.newId();
        job.workMs = 900;
        job.retries = 2;
        std::promise<void> taken;
        {
            const std::lock_guard lock(mutex);
            watched = job.id + ".0.0.0";
            late.clear();
            arrived = &taken;
        }
        auto answer = std::async(std::launch::async, [&, i] { return fleet.submit(job, i); });
        if (hasTrouble()) {
            taken.get_future().wait();
            for (std::size_t j = 0; j < fleet.executors(); ++j) {
                if (fleet.executor(j).id() == late)
                    fleet.executor(j).cutOff(CutMs);
            }
        }
        completed += answer.get().status == 200 ? 1 : 0;
        pause(hasTrouble() ? 6000 : 1000);
    }
    std::cout << completed << " of " << Jobs << " jobs completed, " << fleet.record().brokenRules()
              << " tasks at work twice" << std::endl;
    if (completed == 0)
        fleet.end(2);
    fleet.end(fleet.record().brokenRules() > 0 ? 1 : 0);
}
