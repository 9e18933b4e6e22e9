#include "anvilmill/admission/jobtable.h"

namespace anvilmill {

namespace {

enum class TaskState : std::uint8_t { Waiting, Started, Answered, FailedAfterStart };

struct JobEntry
{
    std::vector<TaskState> states;
    std::vector<std::string> outputs;
    std::size_t done = 0;
    std::size_t started = 0;
    std::optional<JobOutcome> outcome;

    [[nodiscard]] TaskState *state(std::uint32_t index)
    {
        return index < states.size() ? &states[index] : nullptr;
    }

    /// Indexes of the tasks that ran to completion, successfully or not.
    [[nodiscard]] std::vector<std::uint32_t> tasksThatRan() const
    {
        std::vector<std::uint32_t> indexes;
        if (started == 0)
            return indexes;
        for (std::uint32_t i = 0; i < states.size(); ++i) {
            if (states[i] == TaskState::Answered || states[i] == TaskState::FailedAfterStart)
                indexes.push_back(i);
        }
        return indexes;
    }

    [[nodiscard]] Verdict verdictOfStarts() const
    {
        if (done > 0)
            return Verdict::Ran;
        return started > 0 ? Verdict::MayHaveRun : Verdict::NotRun;
    }

    void revoke(TaskState &state)
    {
        if (state != TaskState::Started)
            return;
        state = TaskState::Waiting;
        --started;
    }

    JobOutcome &end(JobOutcome::State state, Verdict verdict, std::string reason)
    {
        JobOutcome result;
        result.state = state;
        result.verdict = verdict;
        result.reason = std::move(reason);
        if (state == JobOutcome::State::Finished)
            result.outputs = std::move(outputs);
        else
            result.tasksThatRan = tasksThatRan();
        outputs.clear();
        outcome = std::move(result);
        return *outcome;
    }
};

} // namespace

struct JobTable::Shard
{
    mutable std::mutex lock;
    std::unordered_map<JobNumber, JobEntry> jobs;

    JobEntry *find(JobNumber job)
    {
        const auto found = jobs.find(job);
        return found == jobs.end() ? nullptr : &found->second;
    }

    JobEntry *findOpen(JobNumber job)
    {
        JobEntry *entry = find(job);
        return entry && !entry->outcome ? entry : nullptr;
    }
};

JobTable::JobTable(std::size_t shards)
{
    m_shards.reserve(shards);
    for (std::size_t i = 0; i < shards; ++i)
        m_shards.push_back(std::make_unique<Shard>());
}

JobTable::~JobTable() = default;

JobTable::Shard &JobTable::shardOf(JobNumber job) const
{
    return *m_shards[job % m_shards.size()];
}

void JobTable::add(JobNumber job, std::size_t tasks)
{
    Shard &shard = shardOf(job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry &entry = shard.jobs[job];
    entry.states.assign(tasks, TaskState::Waiting);
    entry.outputs.resize(tasks);
}

bool JobTable::beginStart(const TaskRef &task)
{
    Shard &shard = shardOf(task.job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry *entry = shard.findOpen(task.job);
    TaskState *state = entry ? entry->state(task.index) : nullptr;
    if (!state || *state != TaskState::Waiting)
        return false;
    *state = TaskState::Started;
    ++entry->started;
    return true;
}

void JobTable::revokeStart(const TaskRef &task)
{
    Shard &shard = shardOf(task.job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry *entry = shard.findOpen(task.job);
    TaskState *state = entry ? entry->state(task.index) : nullptr;
    if (state)
        entry->revoke(*state);
}

std::optional<JobOutcome> JobTable::answer(const TaskRef &task, std::string output)
{
    Shard &shard = shardOf(task.job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry *entry = shard.findOpen(task.job);
    TaskState *state = entry ? entry->state(task.index) : nullptr;
    if (!state || *state != TaskState::Started)
        return std::nullopt;
    *state = TaskState::Answered;
    entry->outputs[task.index] = std::move(output);
    ++entry->done;
    if (entry->done < entry->states.size())
        return std::nullopt;
    return entry->end(JobOutcome::State::Finished, Verdict::Ran, "");
}

std::optional<JobOutcome> JobTable::fail(const TaskRef &task, Verdict verdict, std::string reason)
{
    Shard &shard = shardOf(task.job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry *entry = shard.findOpen(task.job);
    TaskState *state = entry ? entry->state(task.index) : nullptr;
    if (!state || *state == TaskState::Answered)
        return std::nullopt;
    if (verdict == Verdict::NotRun)
        entry->revoke(*state);
    else if (verdict == Verdict::Ran && *state == TaskState::Started)
        *state = TaskState::FailedAfterStart;
    return entry->end(JobOutcome::State::Failed, combined(verdict, entry->verdictOfStarts()),
                      std::move(reason));
}

std::optional<JobOutcome> JobTable::cancel(JobNumber job, std::string reason)
{
    Shard &shard = shardOf(job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    JobEntry *entry = shard.findOpen(job);
    if (!entry)
        return std::nullopt;
    return entry->end(JobOutcome::State::Cancelled, entry->verdictOfStarts(), std::move(reason));
}

std::optional<JobProgress> JobTable::progress(JobNumber job) const
{
    Shard &shard = shardOf(job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    const JobEntry *entry = shard.find(job);
    if (!entry)
        return std::nullopt;
    return JobProgress{entry->states.size(), entry->done, entry->started, entry->outcome};
}

void JobTable::remove(JobNumber job)
{
    Shard &shard = shardOf(job);
    const std::lock_guard<std::mutex> guard(shard.lock);
    shard.jobs.erase(job);
}

} // namespace anvilmill
