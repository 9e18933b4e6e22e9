#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/nameindex.h"
#include "anvilmill/dispatch/runtimeestimator.h"
#include "anvilmill/scheduling/batchjob.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace anvilmill {

class RandomSource;
class CapacityView;

/// \brief Why a batch job was turned away, and when its caller may come again.
struct BatchRefusal
{
    std::string cause;
    Duration retryAfter{};
};

/// \brief Decides which job waits, which is refused, and where each task is placed.
///
/// Load pattern: for seconds on end more work arrives than fits. In the order of arrival every job
/// would wait until all are late. So jobs that can still be in time go first, by the priority of
/// their route and then by arrival; one that can no longer be in time waits for room that they
/// leave; one that can't be done while its answer is worth something is refused at once. A job that
/// was started goes before all others of its priority: what it has done would be lost.
/// A task that failed is tried elsewhere. Whether an executor gets starts at all is its holder's
/// decision, which sees all that runs there.
///
/// Thread safety: one thread at a time. Methods call the output before they return.
class BatchScheduler
{
public:
    /// Precondition: the references outlive the scheduler.
    BatchScheduler(const Clock &clock, RandomSource &random, CapacityView &view,
                   BatchOutput &output);

    /// \brief Takes a job, or says why not. A refused job never runs.
    [[nodiscard]] std::optional<BatchRefusal> submit(JobNumber number, BatchJob job);

    /// \brief Ends the job as cancelled and stops its runs; nothing if it isn't known.
    void cancel(JobNumber number);

    /// \brief What part of all executors' work this host's jobs can count on; 1 at first.
    void setShare(double share) noexcept { m_share = share; }

    /// \brief Places what fits. Call after anything that may have freed room.
    void place();

    /// \brief The holder of the executor has reserved the room.
    void startAccepted(const RunId &run);

    /// \brief The holder had no room or doesn't hold the executor; the run never began.
    void startRefused(const RunId &run);

    /// \brief A run ended; unknown runs are left out.
    void runEnded(const RunEnd &end);

    /// \brief Applies deadlines.
    void expire();

    /// \brief When expire() is due next, if ever.
    [[nodiscard]] std::optional<MonotonicTime> nextExpiry() const;

    /// \brief True once a task of the job was started; false for unknown jobs.
    [[nodiscard]] bool hasStarted(JobNumber number) const;
    [[nodiscard]] std::size_t jobs() const noexcept { return m_jobs.size(); }
    [[nodiscard]] std::size_t waitingJobs() const noexcept { return m_queue.size(); }
    [[nodiscard]] std::size_t waitingJobs(const std::string &route) const;
    [[nodiscard]] std::size_t runningTasks() const noexcept { return m_running.size(); }

private:
    struct Task
    {
        std::uint64_t runNumber = 0;
        int failures = 0;
        bool isDone = false;
        /// Executors that failed or refused it.
        std::vector<std::size_t> tried;
    };
    struct Job
    {
        BatchJob job;
        std::size_t routeIndex = 0;
        std::vector<Task> tasks;
        std::vector<std::uint32_t> unstarted;
        std::size_t left = 0;
        int runs = 0;
        /// Cores times time that the unstarted tasks need on an average executor.
        double queuedWork = 0.0;
        MonotonicTime firstStart;
        std::size_t lastExecutor = 0;
        Duration lastRan{};
        MonotonicTime expiry;
        bool isLate = false;
    };
    struct Position
    {
        bool isLate = false;
        int priority = 0;
        bool isUnstarted = true;
        MonotonicTime arrived;
        JobNumber number = 0;

        [[nodiscard]] bool operator<(const Position &other) const noexcept;
    };
    struct Running
    {
        TaskRef task;
        std::size_t executor = 0;
        Resources demand;
        bool isAccepted = false;
    };
    using Jobs = std::unordered_map<JobNumber, Job>;
    using RunningTasks = std::map<RunId, Running>;

    [[nodiscard]] std::optional<BatchRefusal> refusalOf(const BatchJob &job,
                                                        std::size_t routeIndex) const;
    [[nodiscard]] Duration workOf(const BatchJob &job, std::size_t routeIndex,
                                  std::size_t task) const;
    [[nodiscard]] Duration longestWork(const BatchJob &job, std::size_t routeIndex) const;
    [[nodiscard]] double queuedBefore(int priority) const;
    [[nodiscard]] Duration expectedRun(const Job &job) const;
    [[nodiscard]] MonotonicTime nextExpiryOf(const Job &job) const;
    [[nodiscard]] Duration aimOf(const Job &job) const;
    void reposition(JobNumber number, Job &job, bool isLate, int runs);
    [[nodiscard]] Duration retryAfter(Duration wait) const;
    [[nodiscard]] Position positionOf(JobNumber number, const Job &job) const;
    [[nodiscard]] bool placeTasks(JobNumber number, Job &job);
    void startTask(JobNumber number, Job &job, std::uint32_t index, std::size_t executor);
    void enqueue(JobNumber number, Job &job, std::uint32_t index);
    void setExpiry(JobNumber number, Job &job, MonotonicTime expiry);
    void expireJob(JobNumber number, Job &job);
    void taskDone(JobNumber number, Job &job, std::uint32_t index);
    void taskFailed(JobNumber number, Job &job, std::uint32_t index, std::size_t executor);
    void noteEnd(const Running &running, Job &job, const RunEnd &end);
    void finish(JobNumber number, BatchResult result);
    [[nodiscard]] RunningTasks::node_type takeRunning(const RunId &run);

    const Clock &m_clock;
    RandomSource &m_random;
    CapacityView &m_view;
    BatchOutput &m_output;
    RunTimeEstimator m_estimator;
    NameIndex m_routes;
    Jobs m_jobs;
    std::set<Position> m_queue;
    std::set<std::pair<MonotonicTime, JobNumber>> m_expiries;
    RunningTasks m_running;
    double m_share = 1.0;
};

} // namespace anvilmill
