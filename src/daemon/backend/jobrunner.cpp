#include "jobrunner.h"

#include "log.h"

#include <Poco/Runnable.h>
#include <Poco/URI.h>

#include <algorithm>

namespace anvilmill::daemon {

namespace {

constexpr Duration MaxWakeInterval = std::chrono::milliseconds(50);
constexpr Duration MinWakeInterval = std::chrono::microseconds(100);
constexpr int IdleThreadSeconds = 30;

/// Unique per start, so that an id closed by an executor is never reused.
std::string wireId(const JobSpec &spec, const TaskRef &task, std::uint64_t sequence)
{
    std::string encoded;
    Poco::URI::encode(spec.submission, "/?#", encoded);
    return encoded + "." + std::to_string(task.index) + "~" + std::to_string(sequence);
}

} // namespace

/// One start on a pool thread; deletes itself when done.
class JobRunner::StartTask final : public Poco::Runnable
{
public:
    StartTask(JobRunner &runner, Start start)
        : m_runner(runner)
        , m_start(std::move(start))
    {
    }

    void run() override
    {
        const std::unique_ptr<StartTask> self(this);
        m_runner.perform(m_start);
    }

private:
    JobRunner &m_runner;
    Start m_start;
};

JobRunner::JobRunner(const BackendLimits &limits, std::size_t maxStarts,
                     std::unique_ptr<PeerDispatcher> dispatcher, BatchSender sendBatch,
                     const Clock &clock)
    : m_maxStarts(maxStarts)
    , m_clock(clock)
    , m_client(limits)
    , m_dispatcher(std::move(dispatcher))
    , m_sendBatch(std::move(sendBatch))
    // More threads than starts: a thread reports the end of its start, which may trigger the next
    // one, before it returns to the pool.
    , m_threads(2, static_cast<int>(maxStarts * 2), IdleThreadSeconds)
    , m_wakeThread([this] { wakeLoop(); })
{
}

JobRunner::~JobRunner()
{
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_wakeThread.join();
    m_threads.joinAll();
}

void JobRunner::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_dispatcher->setExecutors(executors);
    }
    for (const ExecutorInfo &executor : executors) {
        if (executor.isLeaving)
            m_client.closeIdle(executor.name);
    }
    dispatch();
}

std::optional<Refusal> JobRunner::submit(RunnableJob job)
{
    const JobNumber number = job.number;
    const auto spec = job.spec;
    m_table.add(number, spec->tasks.size());
    {
        const std::lock_guard<std::mutex> guard(m_jobsLock);
        m_jobs.emplace(number, std::move(job));
    }
    std::optional<Refusal> refusal;
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        refusal = m_dispatcher->submit(number, *spec);
    }
    if (refusal) {
        const std::lock_guard<std::mutex> guard(m_jobsLock);
        m_jobs.erase(number);
        m_table.remove(number);
        return refusal;
    }
    dispatch();
    return std::nullopt;
}

void JobRunner::cancel(JobNumber job, const std::string &reason)
{
    finishJob(job, m_table.cancel(job, reason));
}

std::optional<JobProgress> JobRunner::progress(JobNumber job) const
{
    return m_table.progress(job);
}

void JobRunner::evict(JobNumber job)
{
    m_table.remove(job);
}

RunnerFigures JobRunner::figures() const
{
    RunnerFigures figures;
    figures.backend = m_client.counters();
    {
        const std::lock_guard<std::mutex> guard(m_jobsLock);
        figures.jobs = m_jobs.size();
    }
    const std::lock_guard<std::mutex> guard(m_dispatchLock);
    figures.queuedTasks = m_dispatcher->queuedTasks();
    figures.tasksInFlight = m_dispatcher->tasksInFlight();
    return figures;
}

bool JobRunner::isIdle() const
{
    const RunnerFigures now = figures();
    return now.jobs == 0 && now.tasksInFlight == 0;
}

void JobRunner::dispatch()
{
    std::vector<PeerBatch> batches;
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        startPermitted();
        batches = m_dispatcher->takeMessages();
        const MonotonicTime wake = m_clock.now() + untilWake();
        if (wake < m_nextWake)
            m_wake.notify_all();
    }
    for (const PeerBatch &batch : batches)
        m_sendBatch(batch);
}

void JobRunner::startPermitted()
{
    while (!m_isStopping && m_dispatcher->tasksInFlight() < m_maxStarts) {
        std::optional<Start> start = m_dispatcher->nextStart();
        if (!start)
            return;
        m_threads.start(*std::make_unique<StartTask>(*this, std::move(*start)).release());
    }
}

Duration JobRunner::untilWake() const
{
    const auto next = m_dispatcher->nextWakeTime();
    return next ? std::clamp(*next - m_clock.now(), MinWakeInterval, MaxWakeInterval)
                : MaxWakeInterval;
}

void JobRunner::setMembers(std::uint64_t epoch, const std::vector<std::string> &members)
{
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_dispatcher->setMembers(epoch, members);
    }
    dispatch();
}

void JobRunner::receive(const std::string &sender, const DispatchBatch &batch)
{
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_dispatcher->receive(sender, batch);
    }
    dispatch();
}

bool JobRunner::begin(const RunnableJob &job, const Start &start)
{
    if (!m_table.beginStart(start.task))
        return false;
    if (!job.mayStart || job.mayStart())
        return true;
    m_table.revokeStart(start.task);
    finishJob(start.task.job,
              m_table.fail(start.task, Verdict::NotRun,
                           "this host no longer holds the claim of the submission"));
    return false;
}

void JobRunner::revoke(const RunnableJob &job, const Start &start)
{
    m_table.revokeStart(start.task);
    if (job.startRevoked)
        job.startRevoked();
}

void JobRunner::perform(const Start &start)
{
    const auto job = find(start.task.job);
    if (!job || !begin(*job, start))
        return report(start, {StartOutcome::NotStarted, Verdict::NotRun, "", "the job has ended"});
    const std::string id = wireId(*job->spec, start.task, ++m_startSequence);
    const TaskSpec &task = job->spec->tasks[start.task.index];
    const StartReport result = m_client.run(start.executor, id, job->spec->service, task.payload);
    if (result.end == StartOutcome::Done)
        finishJob(start.task.job, m_table.answer(start.task, result.output));
    else if (result.end == StartOutcome::NotStarted)
        revoke(*job, start);
    else
        finishJob(start.task.job, m_table.fail(start.task, result.verdict, result.reason));
    report(start, result);
}

void JobRunner::report(const Start &start, const StartReport &result)
{
    {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_dispatcher->recordOutcome(start, result.end);
    }
    dispatch();
}

void JobRunner::finishJob(JobNumber job, const std::optional<JobOutcome> &outcome)
{
    if (!outcome)
        return;
    if (outcome->state != JobOutcome::State::Finished) {
        const std::lock_guard<std::mutex> guard(m_dispatchLock);
        m_dispatcher->cancel(job);
    }
    std::function<void(const JobOutcome &)> ended;
    {
        const std::lock_guard<std::mutex> guard(m_jobsLock);
        const auto found = m_jobs.find(job);
        if (found == m_jobs.end())
            return;
        ended = std::move(found->second.ended);
        m_jobs.erase(found);
    }
    if (ended)
        ended(*outcome);
}

std::optional<RunnableJob> JobRunner::find(JobNumber job) const
{
    const std::lock_guard<std::mutex> guard(m_jobsLock);
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt : std::make_optional(found->second);
}

void JobRunner::wakeLoop()
{
    for (;;) {
        {
            std::unique_lock<std::mutex> guard(m_dispatchLock);
            const Duration pause = untilWake();
            m_nextWake = m_clock.now() + pause;
            m_wake.wait_for(guard, pause);
            if (m_isStopping)
                return;
        }
        dispatch();
    }
}

} // namespace anvilmill::daemon
