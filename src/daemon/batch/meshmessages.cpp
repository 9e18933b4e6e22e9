#include "meshmessages.h"

#include <algorithm>

namespace anvilmill::daemon::mesh {

using wire::meshframe::MeshEnd;
using wire::meshframe::MeshFrame;
using wire::meshframe::MeshStart;
using wire::meshframe::Outcome;

namespace {

struct OutcomePair
{
    RunOutcome own;
    Outcome wire;
};

constexpr OutcomePair Outcomes[] = {
        {RunOutcome::Done, Outcome::Done},
        {RunOutcome::Failed, Outcome::Failed},
        {RunOutcome::Stopped, Outcome::Stopped},
        {RunOutcome::Lapsed, Outcome::Lapsed},
        {RunOutcome::Broken, Outcome::Broken},
        {RunOutcome::Lost, Outcome::Lost},
        {RunOutcome::NotStarted, Outcome::NotStarted},
        {RunOutcome::Superseded, Outcome::Superseded},
};

/// Numbers per executor in a frame's `room` list.
constexpr std::size_t NumbersPerExecutor = 3;

} // namespace

Outcome asWire(RunOutcome outcome)
{
    const auto *const pair =
            std::find_if(std::begin(Outcomes), std::end(Outcomes),
                         [=](const OutcomePair &each) { return each.own == outcome; });
    return pair->wire;
}

RunOutcome fromWire(Outcome outcome)
{
    const auto *const pair =
            std::find_if(std::begin(Outcomes), std::end(Outcomes),
                         [=](const OutcomePair &each) { return each.wire == outcome; });
    return pair->own;
}

MeshEnd endMessage(const RunEnd &end, const std::string &executor)
{
    MeshEnd message;
    setRun(message, end.run);
    message.executor = executor;
    message.outcome = asWire(end.outcome);
    if (end.ran)
        message.ranUs = std::chrono::duration_cast<std::chrono::microseconds>(*end.ran).count();
    if (end.hasExecutorCrashed)
        message.executorCrashed = true;
    if (end.isInferred)
        message.inferred = true;
    return message;
}

RunEnd endOf(const MeshEnd &message)
{
    RunEnd end{runOf(message), fromWire(message.outcome), std::nullopt,
               message.executorCrashed.value_or(false), message.inferred.value_or(false)};
    if (message.ranUs)
        end.ran = std::chrono::microseconds(*message.ranUs);
    return end;
}

bool withdrawStart(MeshFrame &frame, const std::string &executor, const RunId &run)
{
    if (!frame.starts)
        return false;
    const auto start =
            std::find_if(frame.starts->begin(), frame.starts->end(), [&](const MeshStart &each) {
                return each.executor == executor && runOf(each) == run;
            });
    if (start == frame.starts->end())
        return false;
    frame.starts->erase(start);
    return true;
}

void addCapacity(MeshFrame &frame, const std::string &executor, const Resources &free)
{
    append(frame.roomExecutors, executor);
    for (const std::int64_t part : {free.milliCores, free.memoryMb, free.gpus})
        append(frame.room, part);
}

std::vector<CapacityReport> capacityReportsOf(const MeshFrame &frame)
{
    std::vector<CapacityReport> reports;
    if (!frame.room || !frame.roomExecutors)
        return reports;
    const std::vector<std::int64_t> &numbers = *frame.room;
    const std::vector<std::string> &executors = *frame.roomExecutors;
    for (std::size_t i = 0; i < executors.size() && (i + 1) * NumbersPerExecutor <= numbers.size();
         ++i) {
        const std::int64_t *const parts = &numbers[i * NumbersPerExecutor];
        reports.push_back({executors[i], {parts[0], parts[1], parts[2]}, frame.host});
    }
    return reports;
}

std::int64_t specIndex(MeshFrame &frame, const std::string &spec)
{
    if (!frame.specs || frame.specs->back() != spec)
        append(frame.specs, spec);
    return static_cast<std::int64_t>(frame.specs->size()) - 1;
}

} // namespace anvilmill::daemon::mesh
