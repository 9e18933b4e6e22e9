#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/job.h"
#include "anvilmill/verdict.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief The outcome of a job: every task's output, or a failure with its verdict.
struct JobOutcome
{
    enum class State { Finished, Failed, Cancelled };

    State state = State::Failed;
    /// One entry per task, in the order of the job; empty unless finished.
    std::vector<std::string> outputs;
    std::string reason;
    Verdict verdict = Verdict::MayHaveRun;
    /// Indexes of the tasks that ran to completion, including failed ones; empty if finished.
    std::vector<std::uint32_t> tasksThatRan;
};

/// \brief Progress of a job.
struct JobProgress
{
    std::size_t tasksTotal = 0;
    std::size_t tasksDone = 0;
    std::size_t tasksStarted = 0;
    std::optional<JobOutcome> outcome;
};

/// \brief Assembles the answers of tasks into complete answers of jobs.
///
/// A job is finished when each of its tasks has answered once; late and duplicate answers are
/// ignored. The first failed task, or a cancellation, ends the job.
///
/// Thread safety: all methods may be called from any thread. State is kept in shards by job
/// number, each under its own lock.
class JobTable
{
public:
    explicit JobTable(std::size_t shards = 16);
    ~JobTable();

    /// \brief Precondition: \p job is not in the table, and \p tasks is positive.
    void add(JobNumber job, std::size_t tasks);

    /// \brief Records that \p task is about to be sent to an executor.
    ///
    /// Returns false if it must not be sent: the job has ended, or the task was started before.
    [[nodiscard]] bool beginStart(const TaskRef &task);

    /// \brief Reverts beginStart() for a task that is known not to have been started.
    ///
    /// Ignored once the task has answered, or the job has ended.
    void revokeStart(const TaskRef &task);

    /// \brief Records the output of \p task. Returns the outcome if this ended the job.
    std::optional<JobOutcome> answer(const TaskRef &task, std::string output);

    /// \brief Ends the job as failed. Returns the outcome unless it had ended before.
    ///
    /// Ignored if \p task has answered: its failure was reported late.
    /// \p verdict is that of the failed task; the verdict of the job combines it with the starts
    /// of the other tasks.
    std::optional<JobOutcome> fail(const TaskRef &task, Verdict verdict, std::string reason);

    /// \brief Ends the job as cancelled. Returns the outcome unless it had ended before.
    std::optional<JobOutcome> cancel(JobNumber job, std::string reason);

    [[nodiscard]] std::optional<JobProgress> progress(JobNumber job) const;

    /// \brief Removes \p job. Later answers for it are ignored.
    void remove(JobNumber job);

private:
    struct Shard;
    [[nodiscard]] Shard &shardOf(JobNumber job) const;

    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace anvilmill
