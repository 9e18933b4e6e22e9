#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/nameindex.h"
#include "anvilmill/dispatch/runtimeestimator.h"
#include "anvilmill/scheduling/batchjob.h"
#include "anvilmill/scheduling/nearplacement.h"
#include "anvilmill/scheduling/waitingurgency.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace anvilmill {

class RandomSource;

/// \brief Why a batch job was refused, and the delay after which its caller may retry.
struct BatchRefusal
{
    std::string cause;
    Duration retryAfter{};
};

/// \brief Decides which jobs are queued, which are refused, and where each task is placed.
///
/// Load pattern: for several seconds more work arrives than the executors can run. In order of
/// arrival, the queue would grow until every job is late. So jobs that can still be in time are
/// scheduled first, by the priority of their route and then by arrival. A job that can no longer be
/// in time gets only the capacity that these leave. A job that can't end while its answer is still
/// useful is refused at once. A job that was started precedes all others of its priority, since its
/// completed work would be lost otherwise. A task that would be late on a slow executor waits for a
/// faster one as long as it can be in time there; the slow ones run shorter tasks meanwhile. A
/// failed task is retried on another executor. Whether an executor gets starts at all is decided by
/// its lease holder, which sees all of its runs.
///
/// Thread safety: one thread at a time. Methods call the output before they return.
class BatchScheduler
{
public:
    /// Precondition: the references outlive the scheduler.
    BatchScheduler(const Clock &clock, RandomSource &random, CapacityView &view,
                   BatchOutput &output);

    /// \brief Queues a job, or returns why it is refused. A refused job never runs.
    ///
    /// A job whose id is that of one that hasn't ended here is refused: both may run the same tasks.
    [[nodiscard]] std::optional<BatchRefusal> submit(JobNumber number, BatchJob job);

    /// \brief Ends the job as cancelled and stops its runs; a no-op for an unknown job.
    void cancel(JobNumber number);

    /// \brief Sets the share of all executors' capacity that this host's jobs may use; initially 1.
    void setShare(double share) noexcept
    {
        m_share = share;
        m_near.setShare(share);
    }

    /// \brief The placement of tasks whose data is on a rack, for its settings.
    [[nodiscard]] NearPlacement &nearPlacement() noexcept { return m_near; }

    /// How long capacity that has become free is left to more urgent jobs of other hosts: the time for
    /// it to be offered and for a start to arrive.
    static constexpr Duration YieldPeriod = std::chrono::milliseconds(10);

    /// \brief Sets the urgency of the most urgent jobs that wait on other hosts.
    ///
    /// Load pattern: work that exceeds the capacity waits on all hosts. If each used what becomes free
    /// for its own jobs, long jobs of low priority would be started on one host while urgent ones wait
    /// on another. Less urgent jobs use capacity only once it has been free for YieldPeriod.
    void setOthersUrgency(std::optional<WaitingUrgency> urgency) noexcept
    {
        m_othersUrgency = urgency;
    }

    /// \brief The urgency of this host's own waiting jobs; std::nullopt if none wait.
    [[nodiscard]] std::optional<WaitingUrgency> waitingUrgency() const;

    /// \brief True if the last place() left capacity to other hosts; call it again after YieldPeriod.
    [[nodiscard]] bool hasYielded() const noexcept { return m_hasYielded; }

    /// \brief Starts all tasks that fit, and ends jobs that were abandoned by then. Call after any event
    /// that may have freed capacity.
    void place();

    /// \brief Call when the executor's holder has accepted the start.
    void startAccepted(const RunId &run);

    /// \brief Call when the start was refused, for lack of free capacity or because the host
    /// doesn't hold the executor; the run never began.
    void startRefused(const RunId &run);

    /// \brief Call when a run has ended; unknown runs are ignored.
    void runEnded(const RunEnd &end);

    /// \brief Ends or defers the jobs whose time limits have passed.
    void expire();

    /// \brief When expire() and place() are due next, if ever.
    [[nodiscard]] std::optional<MonotonicTime> nextExpiry() const;

    /// \brief The time until which a job, which needn't be scheduled here, may wait for its first start
    /// and still have an answer that is useful to its caller.
    [[nodiscard]] MonotonicTime latestUsefulStart(const BatchJob &job);

    /// \brief True once a task of the job was started; false for unknown jobs.
    [[nodiscard]] bool hasStarted(JobNumber number) const;
    [[nodiscard]] std::size_t jobs() const noexcept { return m_jobs.size(); }
    [[nodiscard]] std::size_t waitingJobs() const noexcept { return m_queue.size(); }
    [[nodiscard]] std::size_t waitingJobs(const std::string &route) const;
    [[nodiscard]] std::size_t runningTasks() const noexcept { return m_running.size(); }

private:
    /// An answer that takes more than this multiple of the target response time is useless to the
    /// caller.
    static constexpr int UsefulResponseFactor = 3;

    struct Task
    {
        std::uint64_t runNumber = 0;
        /// Expected when the job arrived.
        Duration runTime{};
        int failures = 0;
        /// Executors that have crashed while they ran the task.
        std::set<std::size_t> crashedExecutors;
        bool isDone = false;
        /// Executors on which a run of the task failed, was refused or was lost.
        std::vector<std::size_t> tried;
    };
    struct Job
    {
        BatchJob job;
        std::size_t routeIndex = 0;
        std::vector<Task> tasks;
        std::vector<std::uint32_t> unstarted;
        std::size_t remainingTasks = 0;
        Duration longestRunTime{};
        int runs = 0;
        /// Core-seconds that the unstarted tasks need on an average executor.
        double queuedWork = 0.0;
        MonotonicTime firstStart;
        std::size_t lastExecutor = 0;
        Duration lastRan{};
        MonotonicTime expiry;
        bool isLate = false;
        NearWait nearWait;
        int nearRuns = 0;
        int remoteRuns = 0;
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
        /// The multiple of its run time that the task takes on the executor.
        double slowdown = 1.0;
    };
    using Jobs = std::unordered_map<JobNumber, Job>;
    using RunningTasks = std::map<RunId, Running>;

    [[nodiscard]] std::optional<BatchRefusal> refusalOf(const BatchJob &job,
                                                        std::size_t routeIndex) const;
    [[nodiscard]] Duration estimatedRunTime(const BatchJob &job, std::size_t routeIndex,
                                            std::size_t task) const;
    [[nodiscard]] Duration longestRunTime(const BatchJob &job, std::size_t routeIndex) const;
    [[nodiscard]] double queuedWorkBefore(int priority) const;
    [[nodiscard]] MonotonicTime nextExpiryOf(const Job &job) const;
    [[nodiscard]] static Duration targetOf(const BatchJob &job, Duration longestRunTime);
    [[nodiscard]] static MonotonicTime latestUsefulStart(const BatchJob &job,
                                                         Duration longestRunTime);
    void reposition(JobNumber number, Job &job, bool isLate, int runs);
    [[nodiscard]] Duration retryAfter(Duration wait) const;
    [[nodiscard]] Position positionOf(JobNumber number, const Job &job) const;
    [[nodiscard]] bool placeTasks(JobNumber number, Job &job, double fastestSpeed);
    [[nodiscard]] static WaitingUrgency urgencyOf(const Job &job);
    [[nodiscard]] bool isYielding(const Job &job) const;
    [[nodiscard]] double minSpeedFor(const Job &job, std::uint32_t task, double fastestSpeed,
                                     double slowdown) const;
    [[nodiscard]] static const std::string &rackOf(const Job &job);
    [[nodiscard]] double leastSpeedFor(const Job &job, std::uint32_t task,
                                       double fastestSpeed) const;
    void countWaiting(const Job &job);
    [[nodiscard]] static std::int64_t unstartedMilliCores(const Job &job);
    [[nodiscard]] std::optional<std::size_t>
    executorFor(Job &job, std::uint32_t index, double fastestSpeed, const PlacementQuery &query);
    [[nodiscard]] TaskPlace recordPlace(Job &job, std::size_t executor) const;
    void startTask(JobNumber number, Job &job, std::uint32_t index, std::size_t executor);
    void enqueue(JobNumber number, Job &job, std::uint32_t index);
    void setExpiry(JobNumber number, Job &job, MonotonicTime expiry);
    void expireJob(JobNumber number, Job &job);
    void taskDone(JobNumber number, Job &job, std::uint32_t index);
    void taskFailed(JobNumber number, Job &job, std::uint32_t index, std::size_t executor);
    void taskLost(JobNumber number, Job &job, std::uint32_t index, std::size_t executor,
                  const RunEnd &end);
    void recordEnd(const Running &running, Job &job, const RunEnd &end);
    void finish(JobNumber number, BatchResult result);
    [[nodiscard]] RunningTasks::node_type extractRunning(const RunId &run);

    const Clock &m_clock;
    RandomSource &m_random;
    CapacityView &m_view;
    BatchOutput &m_output;
    NearPlacement m_near;
    RunTimeEstimator m_estimator;
    NameIndex m_routes;
    Jobs m_jobs;
    /// The ids that the callers of m_jobs have assigned.
    std::unordered_set<std::string> m_ids;
    std::set<Position> m_queue;
    std::set<std::pair<MonotonicTime, JobNumber>> m_expiries;
    RunningTasks m_running;
    double m_share = 1.0;
    std::optional<WaitingUrgency> m_othersUrgency;
    /// Jobs that place() has found to be abandoned.
    std::vector<JobNumber> m_abandoned;
    bool m_hasYielded = false;
};

} // namespace anvilmill
