/// Clients cancel running jobs on a new connection, which the platform forwards to another host.
#include "fleet.h"

#include <future>
#include <iostream>
#include <memory>

namespace {

/// `cancel_ms` and `stop_ms`
constexpr std::int64_t CancelMs = 3000;
constexpr std::int64_t StopMs = 50;
/// For the threads of this process.
constexpr std::int64_t SlackMs = 100;
constexpr std::uint16_t ClientPort = 28161;

} // namespace

int main(int, char **arguments)
{
    using namespace review;
    Fleet::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.recordPath = arguments[3];
    settings.network = 112;
    Fleet fleet(settings);
    if (!fleet.start())
        fleet.end(2);
    int begun = 0;
    int completed = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        Submission job;
        job.id = fleet.newId();
        job.workMs = 6000;
        job.deadlineMs = 10000;
        job.retries = 0;
        auto answer = std::async(std::launch::async, [&, i] { return fleet.submit(job, i); });
        const std::string task = job.id + ".0.0.0";
        for (int j = 0; j < 100 && fleet.runs().executorsOf(task).empty(); ++j)
            pause(10);
        begun += fleet.runs().executorsOf(task).empty() ? 0 : 1;
        if (hasTrouble()) {
            const Host &other = fleet.host((i + 1) % 4);
            const Reply reply =
                    call(other.address, ClientPort, "DELETE", "/queue/" + job.id, "", 4000);
            fleet.record().line("cancel of " + job.id + " at " + other.name + ": "
                                + std::to_string(reply.status));
            const bool isAcknowledged = reply.status / 100 == 2 || reply.status == 410;
            pause(CancelMs + StopMs + SlackMs);
            if (isAcknowledged && !fleet.runs().executorsOf(task).empty())
                fleet.record().broken("UNASKED", task + " is at work "
                                                         + std::to_string(CancelMs + StopMs)
                                                         + " ms after its job's cancelling was "
                                                           "acknowledged with "
                                                         + std::to_string(reply.status));
        }
        completed += answer.get().status == 200 ? 1 : 0;
    }
    std::cout << begun << " jobs begun, " << completed << " answered with 200, "
              << fleet.record().brokenRules() << " at work after their cancelling" << std::endl;
    if (begun < 4)
        fleet.end(2);
    fleet.end(fleet.record().brokenRules() > 0 ? 1 : 0);
}
