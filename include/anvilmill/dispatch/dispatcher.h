#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/executorinfo.h"
#include "anvilmill/job.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The reason why a job was refused. None of its tasks was or will be started.
struct Refusal
{
    enum class Cause { NoSuchService, TooLarge, QueueFull, DeadlineUnreachable, QuotaExceeded };

    Cause cause = Cause::QueueFull;
    std::string reason;
    /// Delay after which a retry may succeed; absent if no retry can.
    std::optional<Duration> retryAfter;
};

/// \brief A task to start now, on a slot that the dispatcher has acquired for it.
struct Start
{
    TaskRef task;
    std::string executor;
};

/// \brief The outcome of a start.
enum class StartOutcome {
    Done,
    Failed,
    /// The executor refused the start or could not be reached; the task did not run.
    NotStarted,
    /// The connection timed out or broke after the request was sent; the task may have run.
    Lost,
};

/// \brief Decides which task starts next, and on which executor.
///
/// Manages the queue of one entry host and its share of the data centre's slots. Performs no I/O:
/// after every event, the owner calls nextStart() until it returns std::nullopt.
///
/// Thread safety: one thread at a time.
class Dispatcher
{
public:
    virtual ~Dispatcher() = default;

    /// \brief Replaces the list of executors. Starts in flight keep their slots.
    virtual void setExecutors(const std::vector<ExecutorInfo> &executors) = 0;

    /// \brief Queues all tasks of \p spec, or returns why the job is refused.
    ///
    /// Precondition: \p job was not submitted before.
    [[nodiscard]] virtual std::optional<Refusal> submit(JobNumber job, const JobSpec &spec) = 0;

    /// \brief Acquires a slot for the next task; returns std::nullopt if no task can start now.
    [[nodiscard]] virtual std::optional<Start> nextStart() = 0;

    /// \brief Records the outcome of a start and releases its slot.
    ///
    /// After NotStarted the task is queued again unless its job was cancelled.
    /// Precondition: \p start came from nextStart() and was not reported before.
    virtual void recordOutcome(const Start &start, StartOutcome end) = 0;

    /// \brief Removes the queued tasks of \p job; tasks in flight keep their slots. O(1).
    virtual void cancel(JobNumber job) = 0;

    /// \brief Returns when nextStart() may next return a task without a preceding event, if ever.
    [[nodiscard]] virtual std::optional<MonotonicTime> nextWakeTime() const = 0;

    [[nodiscard]] virtual std::size_t queuedTasks() const = 0;
    [[nodiscard]] virtual std::size_t tasksInFlight() const = 0;
};

/// \brief Creates a FIFO dispatcher that selects the executor with the fewest of its own starts.
[[nodiscard]] std::unique_ptr<Dispatcher> makeFifoDispatcher();

} // namespace anvilmill
