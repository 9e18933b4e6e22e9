#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/resources.h"
#include "anvilmill/executor/run.h"
#include "anvilmill/job.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The configured policy for running the jobs of one route.
struct RoutePolicy
{
    std::string route;
    /// The executors that run the route's tasks.
    std::string service;
    /// Lower values are scheduled first; 0 is the highest priority.
    int priority = 0;
    /// The job fails when this many runs of one task have failed.
    int maxAttempts = 1;
    /// A response is in time if it takes at most stretch times the longest task plus the target.
    double stretch = 1.0;
    Duration target{};
    /// Longest time that a request may take.
    Duration timeout{};
};

/// \brief A task of a batch job: the resources it needs and the run time that its caller estimates.
struct TaskDemand
{
    Resources resources;
    Duration estimate{};
    /// The rack of the data that the task reads, where it runs faster; empty if there is none. The same
    /// for all tasks of a job.
    std::string preferredRack = {};
};

/// \brief A job whose tasks need resources rather than slots, answered when all have ended.
struct BatchJob
{
    /// The id that the caller assigned; part of the name of each task.
    std::string id;
    std::shared_ptr<const RoutePolicy> route;
    /// Passed to each task.
    std::shared_ptr<const std::string> spec;
    std::vector<TaskDemand> tasks;
    MonotonicTime arrived;
    /// When the caller's request times out.
    MonotonicTime deadline;
    /// Returns true once the caller has disconnected, even if the job was not cancelled yet; may be
    /// empty. The caller submits such a job again to another host.
    std::function<bool()> isAbandoned = {};
    /// The host that transferred the job, to which its caller is connected; empty if it is this one.
    std::string transferredFrom = {};
};

/// \brief How a batch job ended.
enum class BatchEnd {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its route allows.
    Failed,
    /// No task of the job has run or will run.
    Refused,
    /// The job was started and can't be finished in time; the caller may send it again.
    Broken,
    /// The caller cancelled it or disconnected.
    Cancelled,
};

/// \brief The spelling used in logs.
[[nodiscard]] const char *asString(BatchEnd end) noexcept;

/// \brief A finished job, with what decided its end.
struct BatchResult
{
    BatchEnd end = BatchEnd::Completed;
    /// The cause, if not completed; an identifier for logs and metrics.
    std::string cause;
    /// Refused: the delay after which the caller may retry.
    Duration retryAfter{};
    int runs = 0;
    /// From arrival to the first start, or to the end if there was none.
    Duration waited{};
    /// The executor of a run that is still active, else of the run that ended last.
    std::string lastExecutor;
    Duration lastRan{};
    /// The host that scheduled the job, if the job was transferred.
    std::string dispatcher = {};
    /// Runs on the rack of the job's data and on others; both 0 if the data is on no rack.
    int nearRuns = 0;
    int remoteRuns = 0;
};

/// \brief Where a run was placed relative to the rack of its task's data.
enum class TaskPlace {
    /// The data is on no rack.
    Any,
    Near,
    Remote,
};

/// \brief An order to start one task of a batch job.
struct TaskStart
{
    RunId run;
    TaskRef task;
    /// Index in the CapacityView.
    std::size_t executor = 0;
    Resources demand;
    std::shared_ptr<const std::string> spec;
    MonotonicTime deadline;
    TaskPlace place = TaskPlace::Any;
    /// True if the job has waited for the rack of its data while others were free.
    bool hasWaitedForRack = false;
    /// As in BatchJob.
    std::string transferredFrom = {};
};

/// \brief Receives the orders of a batch scheduler; called from within the scheduler's methods.
class BatchOutput
{
public:
    virtual ~BatchOutput() = default;

    virtual void startTask(const TaskStart &start) = 0;
    virtual void stopTask(std::size_t executor, const RunId &run) = 0;
    virtual void jobEnded(JobNumber job, const BatchResult &result) = 0;
};

} // namespace anvilmill
