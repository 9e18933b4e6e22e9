#include "anvilmill/scheduling/batchscheduler.h"

#include "anvilmill/randomsource.h"
#include "anvilmill/scheduling/capacityview.h"
#include "anvilmill/scheduling/unfitdemands.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace anvilmill {

namespace {

/// Callers that retry sooner would find the same queue.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
/// Raises the run number above any that an earlier submission of the job may have used on the
/// executor.
constexpr std::uint64_t SupersededRunNumberStep = 64;
/// Executors that may crash under one task. A task that crashes its executors would take one after
/// the other out of service until its deadline.
constexpr std::size_t MaxCrashedExecutors = 2;
constexpr double MillisPerCore = 1000.0;

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double coreSeconds(const Resources &resources, Duration work)
{
    return static_cast<double>(resources.milliCores) / MillisPerCore * asSeconds(work);
}

} // namespace

bool BatchScheduler::Position::operator<(const Position &other) const noexcept
{
    return std::tie(isLate, priority, isUnstarted, arrived, number)
           < std::tie(other.isLate, other.priority, other.isUnstarted, other.arrived, other.number);
}

BatchScheduler::BatchScheduler(const Clock &clock, RandomSource &random, CapacityView &view,
                               BatchOutput &output)
    : m_clock(clock)
    , m_random(random)
    , m_view(view)
    , m_output(output)
    , m_near(clock, view)
{
}

std::optional<BatchRefusal> BatchScheduler::submit(JobNumber number, BatchJob job)
{
    // The runs of two submissions have the same identifiers.
    if (m_ids.count(job.id) > 0)
        return BatchRefusal{"alreadyScheduled", retryAfter(MinRetryAfter)};
    const std::size_t routeIndex = m_routes.indexOf(job.route->route);
    if (auto refusal = refusalOf(job, routeIndex))
        return refusal;
    Job entry;
    entry.routeIndex = routeIndex;
    entry.tasks.resize(job.tasks.size());
    entry.remainingTasks = job.tasks.size();
    entry.unstarted.resize(job.tasks.size());
    // Tasks are started from the back of the list; the reversed order starts the first task first.
    std::iota(entry.unstarted.rbegin(), entry.unstarted.rend(), 0U);
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        entry.tasks[i].runTime = estimatedRunTime(job, routeIndex, i);
        entry.longestRunTime = std::max(entry.longestRunTime, entry.tasks[i].runTime);
        entry.queuedWork += coreSeconds(job.tasks[i].resources, entry.tasks[i].runTime);
    }
    m_ids.insert(job.id);
    entry.job = std::move(job);
    Job &queued = m_jobs.emplace(number, std::move(entry)).first->second;
    m_queue.insert(positionOf(number, queued));
    setExpiry(number, queued, nextExpiryOf(queued));
    return std::nullopt;
}

std::optional<BatchRefusal> BatchScheduler::refusalOf(const BatchJob &job,
                                                      std::size_t routeIndex) const
{
    const std::string &service = job.route->service;
    if (!m_view.isServed(service))
        return BatchRefusal{"noExecutor", retryAfter(MinRetryAfter)};
    for (const TaskDemand &task : job.tasks) {
        if (!m_view.fitsAnywhere(service, task.resources))
            return BatchRefusal{"tooLarge", retryAfter(MinRetryAfter)};
    }
    const double capacity = m_view.capacityOf(service) * m_share;
    const Duration wait = asDuration(queuedWorkBefore(job.route->priority) / capacity);
    const Duration runTime = longestRunTime(job, routeIndex);
    if (m_clock.now() + wait + runTime > job.deadline && wait > Duration{})
        return BatchRefusal{"queueTooLong", retryAfter(wait)};
    return std::nullopt;
}

Duration BatchScheduler::estimatedRunTime(const BatchJob &job, std::size_t routeIndex,
                                          std::size_t task) const
{
    const Duration declared = job.tasks[task].estimate;
    return m_estimator.work(routeIndex,
                            declared > Duration{} ? std::make_optional(declared) : std::nullopt);
}

Duration BatchScheduler::longestRunTime(const BatchJob &job, std::size_t routeIndex) const
{
    Duration longest{};
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        longest = std::max(longest, estimatedRunTime(job, routeIndex, i));
    return longest;
}

double BatchScheduler::queuedWorkBefore(int priority) const
{
    double work = 0.0;
    for (const Position &position : m_queue) {
        if (position.isLate || position.priority > priority)
            break;
        work += m_jobs.at(position.number).queuedWork;
    }
    return work;
}

/// Between one and two times \p wait, so that refused callers do not retry at the same time.
Duration BatchScheduler::retryAfter(Duration wait) const
{
    const Duration least = std::max(wait, MinRetryAfter);
    return least + asDuration(asSeconds(least) * m_random.nextUnit());
}

BatchScheduler::Position BatchScheduler::positionOf(JobNumber number, const Job &job) const
{
    return {job.isLate, job.job.route->priority, job.runs == 0, job.job.arrived, number};
}

void BatchScheduler::cancel(JobNumber number)
{
    if (m_jobs.count(number) > 0)
        finish(number, {BatchEnd::Cancelled, "cancelled", {}, 0, {}, "", {}});
}

void BatchScheduler::place()
{
    m_hasYielded = false;
    m_near.startPass();
    /// By service, and by whether the job leaves capacity to other hosts.
    std::map<std::pair<std::string, bool>, UnfitDemands> unfit;
    std::map<std::string, double> fastestSpeeds;
    std::vector<JobNumber> waiting;
    waiting.reserve(m_queue.size());
    for (const Position &position : m_queue)
        waiting.push_back(position.number);
    for (const JobNumber number : waiting) {
        Job &job = m_jobs.at(number);
        const std::string &service = job.job.route->service;
        auto fastest = fastestSpeeds.find(service);
        if (fastest == fastestSpeeds.end())
            fastest = fastestSpeeds.emplace(service, m_view.fastestSpeed(service)).first;
        const std::uint32_t next = job.unstarted.back();
        const bool isYieldingJob = isYielding(job);
        UnfitDemands &unfitDemands = unfit[{service, isYieldingJob}];
        const bool isUnfit = unfitDemands.includes(job.job.tasks[next].resources.milliCores,
                                                   leastSpeedFor(job, next, fastest->second));
        if (!isUnfit && placeTasks(number, job, fastest->second))
            continue;
        countWaiting(job);
        if (isUnfit)
            continue;
        m_hasYielded = m_hasYielded || isYieldingJob;
        if (job.nearWait.isActive(m_clock.now()))
            continue;
        const std::uint32_t failed = job.unstarted.back();
        unfitDemands.add(job.job.tasks[failed].resources.milliCores,
                         minSpeedFor(job, failed, fastest->second, m_near.slowdownOf(rackOf(job))));
    }
    for (const JobNumber number : std::exchange(m_abandoned, {}))
        finish(number, {BatchEnd::Cancelled, "disconnected", {}, 0, {}, "", {}});
}

WaitingUrgency BatchScheduler::urgencyOf(const Job &job)
{
    return WaitingUrgency(job.isLate ? WaitingUrgency::Late : job.job.route->priority);
}

std::optional<WaitingUrgency> BatchScheduler::waitingUrgency() const
{
    if (m_queue.empty())
        return std::nullopt;
    return urgencyOf(m_jobs.at(m_queue.begin()->number));
}

bool BatchScheduler::isYielding(const Job &job) const
{
    return m_othersUrgency && m_othersUrgency->isBefore(urgencyOf(job));
}

/// The speed below which the task, slowed down, would end after the job's target; 0 if no executor is
/// fast enough, or if the job is late already.
double BatchScheduler::minSpeedFor(const Job &job, std::uint32_t task, double fastestSpeed,
                                   double slowdown) const
{
    const Duration left = job.job.arrived + targetOf(job.job, job.longestRunTime) - m_clock.now();
    if (job.isLate || left <= Duration{})
        return 0.0;
    const double required = asSeconds(job.tasks[task].runTime) * slowdown / asSeconds(left);
    return required <= fastestSpeed ? required : 0.0;
}

bool BatchScheduler::placeTasks(JobNumber number, Job &job, double fastestSpeed)
{
    const std::string &service = job.job.route->service;
    bool isCallerPresent = !job.job.isAbandoned;
    while (!job.unstarted.empty()) {
        const std::uint32_t index = job.unstarted.back();
        const Task &task = job.tasks[index];
        const Resources &demand = job.job.tasks[index].resources;
        const double minSpeed = minSpeedFor(job, index, fastestSpeed, 1.0);
        PlacementQuery query{service, demand, minSpeed, &task.tried,
                             isYielding(job) ? YieldPeriod : Duration{}};
        auto executor = executorFor(job, index, fastestSpeed, query);
        if (!executor && !task.tried.empty() && !job.nearWait.isActive(m_clock.now())) {
            query.excluded = nullptr;
            executor = executorFor(job, index, fastestSpeed, query);
        }
        if (!executor)
            return false;
        // Checked here rather than for each waiting job, since it costs a system call.
        if (!isCallerPresent && job.job.isAbandoned()) {
            m_abandoned.push_back(number);
            return true;
        }
        isCallerPresent = true;
        job.unstarted.pop_back();
        startTask(number, job, index, *executor);
    }
    m_queue.erase(positionOf(number, job));
    return true;
}

void BatchScheduler::startTask(JobNumber number, Job &job, std::uint32_t index,
                               std::size_t executor)
{
    Task &task = job.tasks[index];
    ++task.runNumber;
    if (job.runs == 0)
        job.firstStart = m_clock.now();
    reposition(number, job, false, job.runs + 1);
    setExpiry(number, job, job.job.deadline);
    const Resources &demand = job.job.tasks[index].resources;
    job.queuedWork -= coreSeconds(demand, task.runTime);
    // Batch jobs have one occurrence and one step.
    const RunId run{job.job.id + ".0.0." + std::to_string(index), task.runNumber};
    m_running[run] = {
            {number, index}, executor, demand, false, m_near.slowdownOn(executor, rackOf(job))};
    m_view.reserve(executor, demand);
    m_output.startTask({run,
                        {number, index},
                        executor,
                        demand,
                        job.job.spec,
                        job.job.deadline,
                        recordPlace(job, executor),
                        job.nearWait.end.has_value(),
                        job.job.transferredFrom});
}

void BatchScheduler::enqueue(JobNumber number, Job &job, std::uint32_t index)
{
    job.unstarted.push_back(index);
    job.queuedWork += coreSeconds(job.job.tasks[index].resources, job.tasks[index].runTime);
    m_queue.insert(positionOf(number, job));
}

void BatchScheduler::setExpiry(JobNumber number, Job &job, MonotonicTime expiry)
{
    m_expiries.erase({job.expiry, number});
    job.expiry = expiry;
    m_expiries.insert({expiry, number});
}

void BatchScheduler::startAccepted(const RunId &run)
{
    const auto found = m_running.find(run);
    if (found == m_running.end() || found->second.isAccepted)
        return;
    found->second.isAccepted = true;
    m_view.releaseReservation(found->second.executor, found->second.demand);
}

void BatchScheduler::startRefused(const RunId &run)
{
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    m_view.refused(found->second.executor);
    runEnded({run, RunOutcome::NotStarted, std::nullopt});
}

BatchScheduler::RunningTasks::node_type BatchScheduler::extractRunning(const RunId &run)
{
    auto node = m_running.extract(run);
    if (!node.empty() && !node.mapped().isAccepted)
        m_view.releaseReservation(node.mapped().executor, node.mapped().demand);
    return node;
}

void BatchScheduler::runEnded(const RunEnd &end)
{
    const auto node = extractRunning(end.run);
    if (node.empty())
        return;
    const Running &running = node.mapped();
    const JobNumber number = running.task.job;
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return;
    Job &job = found->second;
    recordEnd(running, job, end);
    switch (end.outcome) {
    case RunOutcome::Done:
        taskDone(number, job, running.task.index);
        return;
    case RunOutcome::Failed:
        taskFailed(number, job, running.task.index, running.executor);
        return;
    case RunOutcome::Superseded:
        job.tasks[running.task.index].runNumber += SupersededRunNumberStep;
        enqueue(number, job, running.task.index);
        return;
    case RunOutcome::NotStarted:
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
    case RunOutcome::Broken:
    case RunOutcome::Lost:
        taskLost(number, job, running.task.index, running.executor, end);
        return;
    }
}

// An executor crashes with all that runs on it, so a single crash doesn't show which of its tasks
// caused it.
void BatchScheduler::taskLost(JobNumber number, Job &job, std::uint32_t index, std::size_t executor,
                              const RunEnd &end)
{
    Task &task = job.tasks[index];
    if (end.hasExecutorCrashed)
        task.crashedExecutors.insert(executor);
    if (task.crashedExecutors.size() >= MaxCrashedExecutors) {
        finish(number, {BatchEnd::Failed, "executorsCrashed", {}, 0, {}, "", {}});
        return;
    }
    task.tried.push_back(executor);
    enqueue(number, job, index);
}

void BatchScheduler::recordEnd(const Running &running, Job &job, const RunEnd &end)
{
    job.lastExecutor = running.executor;
    job.lastRan = end.ran.value_or(Duration());
    if (end.outcome != RunOutcome::Done || !end.ran)
        return;
    const Duration declared = job.job.tasks[running.task.index].estimate;
    m_estimator.record(job.routeIndex, running.executor,
                       asDuration(asSeconds(*end.ran) / running.slowdown),
                       declared > Duration{} ? std::make_optional(declared) : std::nullopt);
    m_view.setSpeed(running.executor, m_estimator.speed(running.executor));
}

void BatchScheduler::taskDone(JobNumber number, Job &job, std::uint32_t index)
{
    job.tasks[index].isDone = true;
    if (--job.remainingTasks == 0)
        finish(number, {BatchEnd::Completed, "", {}, 0, {}, "", {}});
}

void BatchScheduler::taskFailed(JobNumber number, Job &job, std::uint32_t index,
                                std::size_t executor)
{
    Task &task = job.tasks[index];
    if (++task.failures >= job.job.route->maxAttempts) {
        finish(number, {BatchEnd::Failed, "taskFailed", {}, 0, {}, "", {}});
        return;
    }
    task.tried.push_back(executor);
    enqueue(number, job, index);
}

/// Updates the job's position in the queue, if it is queued.
void BatchScheduler::reposition(JobNumber number, Job &job, bool isLate, int runs)
{
    const bool wasQueued = m_queue.erase(positionOf(number, job)) > 0;
    job.isLate = isLate;
    job.runs = runs;
    if (wasQueued)
        m_queue.insert(positionOf(number, job));
}

void BatchScheduler::expireJob(JobNumber number, Job &job)
{
    if (job.runs == 0 && !job.isLate && m_clock.now() < job.job.deadline) {
        reposition(number, job, true, 0);
        setExpiry(number, job, nextExpiryOf(job));
    } else if (job.runs == 0)
        finish(number,
               {BatchEnd::Refused, "waitedTooLong", retryAfter(MinRetryAfter), 0, {}, "", {}});
    else
        finish(number, {BatchEnd::Broken, "deadline", {}, 0, {}, "", {}});
}

void BatchScheduler::finish(JobNumber number, BatchResult result)
{
    const auto found = m_jobs.find(number);
    const Job job = std::move(found->second);
    m_jobs.erase(found);
    m_ids.erase(job.job.id);
    m_expiries.erase({job.expiry, number});
    m_queue.erase(positionOf(number, job));
    result.runs = job.runs;
    result.nearRuns = job.nearRuns;
    result.remoteRuns = job.remoteRuns;
    result.waited = (job.runs > 0 ? job.firstStart : m_clock.now()) - job.job.arrived;
    std::vector<std::pair<std::size_t, RunId>> stops;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const RunId run{job.job.id + ".0.0." + std::to_string(i), job.tasks[i].runNumber};
        const auto node = extractRunning(run);
        if (!node.empty())
            stops.emplace_back(node.mapped().executor, run);
    }
    if (job.runs > 0)
        result.lastExecutor = m_view.idOf(stops.empty() ? job.lastExecutor : stops.front().first);
    if (stops.empty())
        result.lastRan = job.lastRan;
    for (const auto &[executor, run] : stops)
        m_output.stopTask(executor, run);
    m_output.jobEnded(number, result);
}

bool BatchScheduler::hasStarted(JobNumber number) const
{
    const auto found = m_jobs.find(number);
    return found != m_jobs.end() && found->second.runs > 0;
}

std::size_t BatchScheduler::waitingJobs(const std::string &route) const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
                return entry.second.runs == 0 && entry.second.job.route->route == route;
            }));
}

} // namespace anvilmill
