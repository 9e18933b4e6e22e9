#include "dispatchmessages.h"

#include <numeric>

namespace anvilmill {

using wire::dispatch::JobOffer;
using wire::dispatch::SlotEnd;

namespace {

/// Offers with more tasks are treated as malformed.
constexpr std::int64_t MaxOfferedTasks = 100'000;

std::size_t taskCountOf(const JobOffer &offer)
{
    const bool isValid = offer.taskCount >= 0 && offer.taskCount <= MaxOfferedTasks;
    return isValid ? static_cast<std::size_t>(offer.taskCount) : 0;
}

void setDeclaredRunTimes(JobOffer &entry, const std::vector<std::uint32_t> &tasks,
                         const OwnedJob &job)
{
    std::vector<std::int64_t> declared;
    declared.reserve(tasks.size());
    bool hasDeclared = false;
    for (const std::uint32_t index : tasks) {
        const auto &estimate = job.spec.tasks[index].declaredRunTime;
        hasDeclared = hasDeclared || estimate;
        declared.push_back(asMicroseconds(estimate.value_or(Duration{})));
    }
    if (hasDeclared)
        entry.declaredUs = std::move(declared);
}

} // namespace

std::int64_t asMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

SlotEnd asSlotEnd(StartOutcome end)
{
    switch (end) {
    case StartOutcome::Done:
        return SlotEnd::Done;
    case StartOutcome::Failed:
        return SlotEnd::Failed;
    case StartOutcome::NotStarted:
        return SlotEnd::NotStarted;
    case StartOutcome::Lost:
        break;
    }
    return SlotEnd::Lost;
}

StartOutcome asStartOutcome(SlotEnd end)
{
    switch (end) {
    case SlotEnd::Done:
        return StartOutcome::Done;
    case SlotEnd::Failed:
        return StartOutcome::Failed;
    case SlotEnd::NotStarted:
        return StartOutcome::NotStarted;
    case SlotEnd::Lost:
        break;
    }
    return StartOutcome::Lost;
}

std::vector<std::uint32_t> allTasks(const JobSpec &spec)
{
    std::vector<std::uint32_t> indexes(spec.tasks.size());
    std::iota(indexes.begin(), indexes.end(), 0U);
    return indexes;
}

JobSpec subsetOf(const OwnedJob &job, const std::vector<std::uint32_t> &indexes)
{
    JobSpec part = job.spec;
    part.tasks.clear();
    for (const std::uint32_t index : indexes)
        part.tasks.push_back(job.spec.tasks[index]);
    part.deadline.reset();
    return part;
}

JobOffer offerOf(JobNumber number, const OwnedJob &job, MonotonicTime now)
{
    JobOffer entry;
    entry.job = static_cast<std::int64_t>(number);
    entry.service = job.spec.service;
    entry.team = job.spec.team;
    entry.urgent = job.spec.isUrgent;
    entry.waitedUs = asMicroseconds(now - job.submitted);
    const std::vector<std::uint32_t> tasks = job.unstartedTasks();
    entry.taskCount = static_cast<std::int64_t>(tasks.size());
    if (tasks.size() < job.started.size())
        entry.tasks.emplace(tasks.begin(), tasks.end());
    setDeclaredRunTimes(entry, tasks, job);
    return entry;
}

JobSpec specOf(const JobOffer &offer)
{
    JobSpec spec;
    spec.service = offer.service;
    spec.team = offer.team;
    spec.isUrgent = offer.urgent;
    spec.tasks.resize(taskCountOf(offer));
    for (std::size_t i = 0; offer.declaredUs && i < offer.declaredUs->size(); ++i)
        if (i < spec.tasks.size() && (*offer.declaredUs)[i] > 0)
            spec.tasks[i].declaredRunTime = std::chrono::microseconds((*offer.declaredUs)[i]);
    return spec;
}

std::vector<std::uint32_t> tasksOf(const JobOffer &offer)
{
    if (offer.tasks)
        return {offer.tasks->begin(), offer.tasks->end()};
    std::vector<std::uint32_t> indexes(taskCountOf(offer));
    std::iota(indexes.begin(), indexes.end(), 0U);
    return indexes;
}

} // namespace anvilmill
