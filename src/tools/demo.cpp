#include "demo.h"

#include "commandline.h"
#include "options.h"
#include "submit.h"

#include "entryhost/entryhostprocess.h"
#include "log.h"
#include "platform/platformstandin.h"
#include "standin/standinexecutor.h"

#include <caller.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

namespace anvilmill::tools {

namespace {

constexpr double Speeds[] = {1.0, 2.0, 4.0};
constexpr int TaskTimesMs[] = {50, 80, 120, 200, 400, 60, 90, 1000};

using ExecutorList = std::vector<std::unique_ptr<daemon::StandInExecutor>>;

ExecutorList startExecutors()
{
    ExecutorList executors;
    for (const double speed : Speeds) {
        executors.push_back(std::make_unique<daemon::StandInExecutor>());
        executors.back()->behaviour().speed = speed;
    }
    return executors;
}

std::vector<int> taskTimes(int count)
{
    std::vector<int> times;
    times.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        times.push_back(TaskTimesMs[i % std::size(TaskTimesMs)]);
    return times;
}

std::string jobBody(const std::vector<int> &times)
{
    wire::caller::JobRequest request;
    request.service = "demo";
    for (std::size_t i = 0; i < times.size(); ++i) {
        wire::caller::TaskSpec task;
        task.payload = "sleep:" + std::to_string(times[i]) + ":task " + std::to_string(i);
        task.declaredMs = times[i];
        request.tasks.push_back(task);
    }
    return nlohmann::json(request).dump();
}

/// Lower bound of the response time: the longest task at the highest speed or the total work
/// divided by the speed-weighted number of slots, whichever is larger.
double idealMs(const std::vector<int> &times)
{
    constexpr double SlotsPerExecutor = 8;
    double capacity = 0;
    for (const double speed : Speeds)
        capacity += speed * SlotsPerExecutor;
    double work = 0;
    for (const int time : times)
        work += time;
    const double longest = *std::max_element(times.begin(), times.end());
    return std::max(longest / *std::max_element(std::begin(Speeds), std::end(Speeds)),
                    work / capacity);
}

daemon::Settings settingsOf(const std::string &name, const ExecutorList &executors,
                            const std::string &platform, const std::string &seed)
{
    std::string text =
            "[host]\ndataCentre = demo\nname = " + name
            + "\n[caller]\nport = 0\n[shutdown]\nannounceMs = 0\n[log]\nlevel = warning\n"
              "[platform]\nserver = "
            + platform + "\n[peer]\nport = 0\nseeds = " + seed + "\n[backend]\nexecutors = ";
    for (const auto &executor : executors)
        text += executor->name() + ", ";
    return *daemon::parseSettings(text + "\n", "demo settings").settings;
}

/// Waits until \p process shares a membership view with the other entry host and may act as an
/// owner in it.
bool waitForPeer(daemon::EntryHostProcess &process)
{
    constexpr std::int64_t Hosts = 2;
    constexpr auto Poll = std::chrono::milliseconds(50);
    constexpr int Polls = 400;
    for (int i = 0; i < Polls; ++i) {
        const daemon::HostStatus status = process.host().status();
        const auto members = static_cast<std::int64_t>(status.members->size());
        if (members == Hosts && status.mayActAsOwner.value_or(false))
            return true;
        std::this_thread::sleep_for(Poll);
    }
    return false;
}

std::uint64_t messagesOf(const ExecutorList &executors)
{
    std::uint64_t total = 0;
    for (const auto &executor : executors)
        total += executor->messages();
    return total;
}

void printAnswer(const nlohmann::json &answer, const std::vector<int> &times,
                 std::uint64_t messages)
{
    for (const auto &task : answer.at("tasks"))
        std::cout << "  task " << std::setw(3) << task.at("index").get<int>() << "  "
                  << task.at("output").get<std::string>() << "\n";
    const double response = answer.at("responseMs").get<double>();
    const double ideal = idealMs(times);
    std::cout << std::fixed << std::setprecision(1) << "whole answer of " << times.size()
              << " tasks in " << response << " ms; ideal " << ideal << " ms; ratio "
              << std::setprecision(2) << response / ideal << "\n"
              << "messages to executors " << messages << ", wasted " << messages - times.size()
              << "\n";
}

int runJob(const std::string &address, const std::vector<int> &times, const ExecutorList &executors)
{
    const HttpAnswer reply = callEntryHost(address, "POST", "/v1/jobs", jobBody(times));
    if (reply.status != Poco::Net::HTTPResponse::HTTP_OK) {
        std::cerr << "anvilmill demo: " << reply.body << "\n";
        return Failure;
    }
    printAnswer(nlohmann::json::parse(reply.body), times, messagesOf(executors));
    return Success;
}

} // namespace

int runDemo(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs a job of mixed tasks through two entry hosts, a stand-in platform "
                        "and three stand-in executors of different speeds, all in this process.",
                        ' ', "", true);
    const TCLAP::ValueArg<int> tasks("n", "tasks", "Number of tasks, 1 to 270", false, 24, "N",
                                     line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    if (tasks.getValue() < 1 || tasks.getValue() > 270) {
        std::cerr << "anvilmill demo: --tasks: expected 1 to 270\n";
        return UsageError;
    }
    daemon::configureLog(daemon::LogEvent::Level::Warning);
    const SystemClock clock;
    try {
        const daemon::PlatformStandIn platform("127.0.0.1:0", clock);
        const ExecutorList executors = startExecutors();
        daemon::EntryHostProcess first(settingsOf("h1", executors, platform.address(), ""), clock);
        daemon::EntryHostProcess second(
                settingsOf("h2", executors, platform.address(), "demo@" + first.peerAddress()),
                clock);
        std::cout << "waiting for the entry hosts to discover each other ..." << std::endl;
        if (!waitForPeer(first) || !waitForPeer(second)) {
            std::cerr << "anvilmill demo: the entry hosts did not discover each other\n";
            return Unavailable;
        }
        std::cout << "entry hosts " << first.callerAddress() << " and " << second.callerAddress()
                  << ", " << executors.size() << " executors\n";
        const int code = runJob(first.callerAddress(), taskTimes(tasks.getValue()), executors);
        const bool isStopped = first.stop() && second.stop();
        return isStopped ? code : static_cast<int>(Failure);
    } catch (const Poco::Exception &exception) {
        std::cerr << "anvilmill demo: " << exception.displayText() << "\n";
        return Unavailable;
    }
}

} // namespace anvilmill::tools
