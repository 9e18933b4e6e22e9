#include "jobmessages.h"

#include "batch/meshmessages.h"

#include <algorithm>

namespace anvilmill::daemon::mesh {

using wire::meshframe::End;
using wire::meshframe::MeshFrame;
using wire::meshframe::MeshJob;
using wire::meshframe::MeshJobEnd;

namespace {

/// Numbers per group of equal tasks in a message's `tasks` list.
constexpr std::size_t NumbersPerGroup = 5;
/// The largest job of the users' two-year target has 270 tasks.
constexpr std::int64_t MaxTasks = 1000;

struct EndPair
{
    BatchEnd own;
    End wire;
};

constexpr EndPair Ends[] = {
        {BatchEnd::Completed, End::Completed}, {BatchEnd::Failed, End::Failed},
        {BatchEnd::Refused, End::Refused},     {BatchEnd::Broken, End::Broken},
        {BatchEnd::Cancelled, End::Cancelled},
};

std::int64_t asMicros(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

bool isSame(const TaskDemand &left, const TaskDemand &right)
{
    return left.resources == right.resources && left.estimate == right.estimate;
}

std::vector<std::int64_t> groupsOf(const std::vector<TaskDemand> &tasks)
{
    std::vector<std::int64_t> groups;
    for (auto task = tasks.begin(); task != tasks.end();) {
        const auto end = std::find_if_not(
                task, tasks.end(), [&](const TaskDemand &each) { return isSame(*task, each); });
        const Resources &demand = task->resources;
        for (const std::int64_t part : {static_cast<std::int64_t>(end - task), demand.milliCores,
                                        demand.memoryMb, demand.gpus, asMicros(task->estimate)})
            groups.push_back(part);
        task = end;
    }
    return groups;
}

std::vector<TaskDemand> tasksOf(const std::vector<std::int64_t> &groups, const std::string &rack)
{
    std::vector<TaskDemand> tasks;
    for (std::size_t i = 0; i + NumbersPerGroup <= groups.size(); i += NumbersPerGroup) {
        const std::int64_t *const part = &groups[i];
        const bool isNegative = std::any_of(part, part + NumbersPerGroup,
                                            [](std::int64_t value) { return value < 0; });
        if (isNegative || part[0] == 0
            || part[0] > MaxTasks - static_cast<std::int64_t>(tasks.size()))
            return {};
        tasks.insert(tasks.end(), static_cast<std::size_t>(part[0]),
                     {{part[1], part[2], part[3]}, std::chrono::microseconds(part[4]), rack});
    }
    return tasks;
}

std::shared_ptr<const RoutePolicy> policyOf(const MeshJob &message)
{
    RoutePolicy policy;
    policy.route = message.route;
    policy.service = message.service;
    policy.priority = static_cast<int>(message.priority);
    policy.maxAttempts = static_cast<int>(message.maxAttempts);
    policy.stretch = message.stretch;
    policy.target = std::chrono::microseconds(message.targetUs);
    policy.timeout = std::chrono::microseconds(message.timeoutUs);
    return std::make_shared<const RoutePolicy>(std::move(policy));
}

} // namespace

void addJob(MeshFrame &frame, JobNumber number, const BatchJob &job, MonotonicTime now)
{
    const RoutePolicy &policy = *job.route;
    MeshJob message;
    message.number = static_cast<std::int64_t>(number);
    message.id = job.id;
    message.spec = specIndex(frame, *job.spec);
    message.tasks = groupsOf(job.tasks);
    message.waitedUs = asMicros(now - job.arrived);
    message.leftUs = asMicros(job.deadline - now);
    message.route = policy.route;
    message.service = policy.service;
    message.priority = policy.priority;
    message.maxAttempts = policy.maxAttempts;
    message.stretch = policy.stretch;
    message.targetUs = asMicros(policy.target);
    message.timeoutUs = asMicros(policy.timeout);
    const std::string &rack = job.tasks.front().preferredRack;
    if (!rack.empty())
        message.preferredRack = rack;
    append(frame.jobs, std::move(message));
}

std::optional<BatchJob> jobOf(const MeshFrame &frame, const MeshJob &message, MonotonicTime now)
{
    const auto spec = static_cast<std::size_t>(message.spec);
    BatchJob job;
    job.tasks = tasksOf(message.tasks, message.preferredRack.value_or(""));
    if (!frame.specs || spec >= frame.specs->size() || job.tasks.empty())
        return std::nullopt;
    job.id = message.id;
    job.route = policyOf(message);
    job.spec = std::make_shared<const std::string>((*frame.specs)[spec]);
    job.arrived = now - std::chrono::microseconds(message.waitedUs);
    job.deadline = now + std::chrono::microseconds(message.leftUs);
    return job;
}

MeshJobEnd jobEndMessage(JobNumber number, const BatchResult &result)
{
    const auto *const pair = std::find_if(std::begin(Ends), std::end(Ends),
                                          [&](const auto &each) { return each.own == result.end; });
    MeshJobEnd message;
    message.number = static_cast<std::int64_t>(number);
    message.end = pair->wire;
    message.cause = result.cause;
    message.retryAfterUs = asMicros(result.retryAfter);
    message.runs = result.runs;
    message.waitedUs = asMicros(result.waited);
    message.lastExecutor = result.lastExecutor;
    message.lastRanUs = asMicros(result.lastRan);
    if (result.nearRuns > 0)
        message.nearRuns = result.nearRuns;
    if (result.remoteRuns > 0)
        message.remoteRuns = result.remoteRuns;
    return message;
}

BatchResult resultOf(const MeshJobEnd &message)
{
    const auto *const pair = std::find_if(std::begin(Ends), std::end(Ends), [&](const auto &each) {
        return each.wire == message.end;
    });
    BatchResult result;
    result.end = pair->own;
    result.cause = message.cause;
    result.retryAfter = std::chrono::microseconds(message.retryAfterUs);
    result.runs = static_cast<int>(message.runs);
    result.waited = std::chrono::microseconds(message.waitedUs);
    result.lastExecutor = message.lastExecutor;
    result.lastRan = std::chrono::microseconds(message.lastRanUs);
    result.nearRuns = static_cast<int>(message.nearRuns.value_or(0));
    result.remoteRuns = static_cast<int>(message.remoteRuns.value_or(0));
    return result;
}

} // namespace anvilmill::daemon::mesh
