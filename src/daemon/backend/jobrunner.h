#pragma once

#include "executorclient.h"

#include "anvilmill/admission/jobtable.h"
#include "anvilmill/dispatch/peerdispatcher.h"

#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace anvilmill::daemon {

/// \brief A job and its callbacks to the owner.
struct RunnableJob
{
    JobNumber number = 0;
    std::shared_ptr<const JobSpec> spec;
    /// Called just before each start; the task is not started if it returns false.
    std::function<bool()> mayStart;
    /// Called when a start that mayStart() permitted has verifiably not happened.
    std::function<void()> startRevoked;
    /// Called once, without any lock held, when the job has ended.
    std::function<void(const JobOutcome &)> ended;
};

/// \brief Sends batches of the dispatcher to other entry hosts.
using BatchSender = std::function<void(const PeerBatch &)>;

/// \brief Snapshot of the figures of one runner.
struct RunnerFigures
{
    std::size_t jobs = 0;
    std::size_t queuedTasks = 0;
    std::size_t tasksInFlight = 0;
    BackendCounters backend;
};

/// \brief Runs jobs: starts tasks on executors as the dispatcher decides, and assembles complete
/// answers.
///
/// Thread safety: all methods may be called from any thread.
class JobRunner
{
public:
    JobRunner(const BackendLimits &limits, std::size_t maxStarts,
              std::unique_ptr<PeerDispatcher> dispatcher, BatchSender sendBatch,
              const Clock &clock);

    /// \brief Blocks until the starts in flight have ended.
    ~JobRunner();

    void setExecutors(const std::vector<ExecutorInfo> &executors);

    /// \brief Replaces the entry hosts that share the executors' slots.
    void setMembers(std::uint64_t epoch, const std::vector<std::string> &members);

    /// \brief Handles a dispatch batch from the entry host \p sender.
    void receive(const std::string &sender, const DispatchBatch &batch);

    /// \brief Queues \p job or returns the refusal; after a refusal, ended() is never called.
    [[nodiscard]] std::optional<Refusal> submit(RunnableJob job);

    /// \brief Ends the job if it has not ended yet. Its queued tasks are never started.
    void cancel(JobNumber job, const std::string &reason);

    [[nodiscard]] std::optional<JobProgress> progress(JobNumber job) const;

    /// \brief Evicts an ended job.
    void evict(JobNumber job);

    [[nodiscard]] RunnerFigures figures() const;

    /// \brief True once no job is open and no start is in flight.
    [[nodiscard]] bool isIdle() const;

private:
    class StartTask;

    void dispatch();
    void startPermitted();
    [[nodiscard]] Duration untilWake() const;
    void perform(const Start &start);
    void report(const Start &start, const StartReport &result);
    [[nodiscard]] bool begin(const RunnableJob &job, const Start &start);
    void revoke(const RunnableJob &job, const Start &start);
    void finishJob(JobNumber job, const std::optional<JobOutcome> &outcome);
    [[nodiscard]] std::optional<RunnableJob> find(JobNumber job) const;
    void wakeLoop();

    std::size_t m_maxStarts;
    const Clock &m_clock;
    ExecutorClient m_client;
    JobTable m_table;
    std::atomic<std::uint64_t> m_startSequence{0};

    mutable std::mutex m_jobsLock;
    std::unordered_map<JobNumber, RunnableJob> m_jobs;

    mutable std::mutex m_dispatchLock;
    std::unique_ptr<PeerDispatcher> m_dispatcher;
    BatchSender m_sendBatch;
    std::condition_variable m_wake;
    MonotonicTime m_nextWake;
    bool m_isStopping = false;

    Poco::ThreadPool m_threads;
    std::thread m_wakeThread;
};

} // namespace anvilmill::daemon
