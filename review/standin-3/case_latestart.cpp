/// A host loses power right after an order to start a task, which is carried out late.
#include "fleet.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <iostream>
#include <mutex>

int main(int, char **arguments)
{
    using namespace review;
    /// Applied late: 2 to 12 s after the order arrived.
    constexpr std::int64_t LateMs = 3000;
    /// `for_s` of node_kill
    constexpr std::int64_t DarkMs = 3500;
    Fleet::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.recordPath = arguments[3];
    settings.network = 113;
    Fleet fleet(settings);
    std::mutex mutex;
    std::string watched;
    bool isLate = false;
    std::promise<void> *arrived = nullptr;
    for (std::size_t i = 0; i < fleet.executors(); ++i)
        fleet.executor(i).onOrder([&](const Order &order) {
            const std::lock_guard lock(mutex);
            Fate fate;
            if (hasTrouble() && arrived && order.path == "/api/run-start" && order.task == watched
                && !isLate) {
                isLate = true;
                fate.lateMs = LateMs;
                arrived->set_value();
            }
            return fate;
        });
    if (!fleet.start())
        fleet.end(2);
    int completed = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        Submission job;
        job.id = fleet.newId();
        job.workMs = 900;
        job.retries = 2;
        std::promise<void> taken;
        {
            const std::lock_guard lock(mutex);
            watched = job.id + ".0.0.0";
            isLate = false;
            arrived = &taken;
        }
        auto answer = std::async(std::launch::async, [&, i] { return fleet.submit(job, i); });
        if (hasTrouble()) {
            taken.get_future().wait();
            // A machine without power closes no connection.
            fleet.signalHost(i, SIGSTOP);
            pause(DarkMs);
            fleet.signalHost(i, SIGKILL);
            fleet.startHost(i);
        }
        completed += answer.get().status == 200 ? 1 : 0;
        pause(hasTrouble() ? 9000 : 1000);
    }
    std::cout << completed << " of 4 jobs completed, " << fleet.record().brokenRules()
              << " tasks at work twice" << std::endl;
    if (completed == 0)
        fleet.end(2);
    fleet.end(fleet.record().brokenRules() > 0 ? 1 : 0);
}
