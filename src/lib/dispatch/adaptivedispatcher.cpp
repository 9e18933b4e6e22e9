#include "anvilmill/dispatch/adaptivedispatcher.h"

#include "anvilmill/dispatch/executorpool.h"
#include "anvilmill/dispatch/jobqueue.h"
#include "anvilmill/dispatch/longworklimit.h"
#include "anvilmill/dispatch/nameindex.h"
#include "anvilmill/dispatch/retrybudget.h"
#include "anvilmill/dispatch/retrydelay.h"
#include "anvilmill/dispatch/runtimeestimator.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <numeric>

namespace anvilmill {

namespace {

constexpr double MaxRetryBalance = 50.0;
constexpr Duration ExhaustedBudgetDelay = std::chrono::milliseconds(10);
constexpr Duration ShortWorkWindow = std::chrono::seconds(5);
/// Callers choose the names of teams, and of services if an executor runs all. Further ones share one
/// run time estimate, and no quota.
constexpr std::size_t MaxNames = 10000;

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

struct TaskHash
{
    std::size_t operator()(const TaskRef &task) const noexcept
    {
        constexpr std::uint64_t Spread = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>((task.job * Spread) ^ (task.index * (Spread >> 8U)));
    }
};

/// A start in flight, with the data needed to queue its task again.
struct InFlight
{
    std::size_t executor = 0;
    Duration work{};
    std::optional<Duration> declared;
    MonotonicTime started;
};

/// A job with starts in flight.
struct RunningJob
{
    std::size_t service = 0;
    std::size_t team = 0;
    MonotonicTime submitted;
    std::size_t inFlight = 0;
    bool isUrgent = false;
    bool isLong = false;
    bool isCancelled = false;
};

class ShortestJobDispatcher final : public AdaptiveDispatcher
{
public:
    ShortestJobDispatcher(const Clock &clock, RandomSource &random,
                          const DispatchSettings &settings)
        : m_clock(clock)
        , m_random(random)
        , m_settings(settings)
        , m_pool(clock, random, m_estimator, settings.health)
        , m_queue(settings.agingRate)
        , m_usage(settings.quotaWindow)
        , m_longLimit(ShortWorkWindow)
        , m_retryBudget(settings.retriesPerStart, MaxRetryBalance)
    {
        for (const TeamQuota &quota : settings.quotas)
            m_usage.setQuota(m_teams.indexOf(quota.team), quota.share);
    }

    void setExecutors(const std::vector<ExecutorInfo> &executors) override
    {
        m_pool.setExecutors(executors);
        for (auto &[number, job] : m_queue.extractAll()) {
            job.placement = m_pool.placementOf(m_services.nameOf(job.service));
            m_queue.add(number, std::move(job));
        }
    }

    std::optional<Refusal> submit(JobNumber job, const JobSpec &spec) override
    {
        if (auto refusal = admit(spec))
            return refusal;
        enqueue(job, spec, {});
        return std::nullopt;
    }

    std::optional<Refusal> admit(const JobSpec &spec) override
    {
        refresh();
        return refusalOf(spec, makeEntry(spec));
    }

    void enqueue(JobNumber job, const JobSpec &spec, Duration waited) override
    {
        refresh();
        QueuedJob entry = makeEntry(spec);
        entry.submitted -= waited;
        if (!entry.unstarted.empty())
            m_queue.add(job, std::move(entry));
    }

    Duration queueTime() const override
    {
        if (m_pool.capacity() <= 0.0)
            return {};
        return asDuration(asSeconds(m_queue.work()) / m_pool.capacity());
    }

    std::optional<Start> nextStart() override
    {
        refresh();
        if (m_queue.tasks() == 0 || m_clock.now() < m_pausedUntil)
            return std::nullopt;
        for (std::size_t placement = 0; placement < m_pool.placements(); ++placement)
            if (auto start = nextStartOf(placement))
                return start;
        return std::nullopt;
    }

    void recordOutcome(const Start &start, StartOutcome end) override
    {
        const auto found = m_inFlight.find(start.task);
        if (found == m_inFlight.end())
            return;
        const InFlight entry = found->second;
        m_inFlight.erase(found);
        const auto running = m_running.find(start.task.job);
        const RunningJob job = running->second;
        if (--running->second.inFlight == 0)
            m_running.erase(running);
        m_longInFlight -= job.isLong ? 1 : 0;
        if (end == StartOutcome::Done)
            m_estimator.record(job.service, entry.executor, m_clock.now() - entry.started,
                               entry.declared);
        m_pool.releaseSlot(entry.executor, job.service, end);
        if (end == StartOutcome::NotStarted)
            requeue(start.task, entry, job);
    }

    void cancel(JobNumber job) override
    {
        m_queue.remove(job);
        const auto running = m_running.find(job);
        if (running != m_running.end())
            running->second.isCancelled = true;
    }

    std::optional<MonotonicTime> nextWakeTime() const override
    {
        if (m_queue.tasks() == 0)
            return std::nullopt;
        std::optional<MonotonicTime> wake = m_pool.nextWakeTime();
        if (m_clock.now() < m_pausedUntil && (!wake || m_pausedUntil < *wake))
            wake = m_pausedUntil;
        const auto recovery = m_usage.nextWakeTime();
        if (recovery && (!wake || *recovery < *wake))
            wake = recovery;
        return wake;
    }

    std::size_t queuedTasks() const override { return m_queue.tasks(); }
    std::size_t tasksInFlight() const override { return m_inFlight.size(); }

private:
    void refresh()
    {
        m_pool.refresh();
        while (const auto team = m_usage.nextRecovered(m_clock.now()))
            m_queue.setOverQuota(*team, false);
    }

    QueuedJob makeEntry(const JobSpec &spec)
    {
        QueuedJob entry;
        entry.service = m_services.indexOf(spec.service);
        entry.team = m_teams.indexOf(spec.team);
        entry.placement = m_pool.placementOf(spec.service);
        entry.isUrgent = spec.isUrgent;
        entry.submitted = m_clock.now();
        entry.rank = rankOf(entry);
        const bool hasDeclared =
                std::any_of(spec.tasks.begin(), spec.tasks.end(),
                            [](const auto &task) { return task.declaredRunTime.has_value(); });
        for (const TaskSpec &task : spec.tasks) {
            if (hasDeclared)
                entry.declared.push_back(task.declaredRunTime);
            entry.taskWork.push_back(m_estimator.work(entry.service, task.declaredRunTime));
            entry.remaining += entry.taskWork.back();
        }
        entry.unstarted.resize(spec.tasks.size());
        std::iota(entry.unstarted.begin(), entry.unstarted.end(), 0U);
        std::stable_sort(entry.unstarted.begin(), entry.unstarted.end(),
                         [&](auto left, auto right) {
                             return entry.taskWork[left] < entry.taskWork[right];
                         });
        const auto tasks = static_cast<Duration::rep>(std::max<std::size_t>(1, spec.tasks.size()));
        entry.isLong = entry.remaining / tasks >= m_settings.longWorkThreshold;
        return entry;
    }

    QueueRank rankOf(const QueuedJob &entry) const
    {
        if (m_usage.isOverQuota(entry.team))
            return QueueRank::OverQuota;
        return entry.isUrgent ? QueueRank::Urgent : QueueRank::Normal;
    }

    std::optional<Refusal> refusalOf(const JobSpec &spec, const QueuedJob &entry)
    {
        if (!m_pool.isServed(entry.placement))
            return Refusal{Refusal::Cause::NoSuchService,
                           "no executor runs service " + spec.service, std::nullopt};
        if (spec.tasks.size() > m_settings.maxTasksPerJob)
            return Refusal{Refusal::Cause::TooLarge,
                           "the job has more than " + std::to_string(m_settings.maxTasksPerJob)
                                   + " tasks",
                           std::nullopt};
        if (auto refusal = deadlineRefusal(spec, entry))
            return refusal;
        return queueRefusal(entry);
    }

    std::optional<Refusal> deadlineRefusal(const JobSpec &spec, const QueuedJob &entry)
    {
        if (!spec.deadline || m_pool.capacityOf(entry.placement) <= 0.0 || entry.taskWork.empty())
            return std::nullopt;
        const Duration left = *spec.deadline - m_clock.now();
        const Duration response = idleResponseTime(entry);
        if (response > left && m_estimator.isLearned(entry.service))
            return Refusal{Refusal::Cause::DeadlineUnreachable,
                           "the expected run time exceeds the deadline", std::nullopt};
        const Duration wait = asDuration(asSeconds(m_queue.workBefore(entry.rank, entry.remaining))
                                         / m_pool.capacityOf(entry.placement));
        if (wait + response <= left)
            return std::nullopt;
        return Refusal{Refusal::Cause::DeadlineUnreachable,
                       "the expected queue time exceeds the deadline", retryDelay(wait, m_random)};
    }

    Duration idleResponseTime(const QueuedJob &entry) const
    {
        const Duration longest = *std::max_element(entry.taskWork.begin(), entry.taskWork.end());
        return asDuration(
                std::max(asSeconds(longest) / m_pool.fastestSpeed(entry.placement),
                         asSeconds(entry.remaining) / m_pool.capacityOf(entry.placement)));
    }

    std::optional<Refusal> queueRefusal(const QueuedJob &entry)
    {
        const double capacity = m_pool.capacity();
        if (capacity <= 0.0)
            return std::nullopt;
        const Duration wait = asDuration(asSeconds(m_queue.work()) / capacity);
        const double share = m_usage.quotaOf(entry.team);
        const Duration teamWait =
                asDuration(asSeconds(m_queue.teamWork(entry.team)) / (capacity * share));
        if (m_usage.isOverQuota(entry.team) && teamWait > m_settings.maxTeamQueueTime)
            return Refusal{Refusal::Cause::QuotaExceeded, "the team is over its quota",
                           retryDelay(teamWait - m_settings.maxTeamQueueTime, m_random)};
        if (wait > m_settings.maxQueueTime)
            return Refusal{Refusal::Cause::QueueFull, "the queue is full",
                           retryDelay(wait - m_settings.maxQueueTime, m_random)};
        return std::nullopt;
    }

    std::optional<Start> nextStartOf(std::size_t placement)
    {
        auto head = m_queue.first(placement, false);
        const auto longHead = m_queue.first(placement, true);
        const bool mayStartLong = longHead && isBelowLongLimit();
        if (mayStartLong && (!head || m_queue.precedes(*longHead, *head)))
            head = longHead;
        if (!head)
            return std::nullopt;
        return startHead(*head);
    }

    bool isBelowLongLimit() const
    {
        return m_longInFlight
               < m_longLimit.maxLongSlots(m_clock.now(), m_pool.totalSlots(), m_pool.capacity());
    }

    std::optional<Start> startHead(JobNumber number)
    {
        const QueuedJob &job = *m_queue.find(number);
        if (job.rank == QueueRank::OverQuota && !hasOverQuotaHeadroom())
            return std::nullopt;
        const auto slot = job.rank == QueueRank::OverQuota
                                  ? m_pool.slowestFreeSlot(job.placement, job.service)
                                  : m_pool.fastestFreeSlot(job.placement, job.service);
        if (!slot)
            return std::nullopt;
        return start(number, *slot);
    }

    bool hasOverQuotaHeadroom() const
    {
        return m_pool.freeSlots() > m_settings.overQuotaHeadroom * m_pool.totalSlots();
    }

    Start start(JobNumber number, const FreeSlot &slot)
    {
        const QueuedJob &job = *m_queue.find(number);
        const std::uint32_t index = job.unstarted.back();
        InFlight entry{slot.executor, job.taskWork[index], std::nullopt, m_clock.now()};
        if (!job.declared.empty())
            entry.declared = job.declared[index];
        RunningJob &running = m_running[number];
        if (running.inFlight++ == 0)
            running = {job.service, job.team, job.submitted, 1, job.isUrgent, job.isLong, false};
        updateLongWorkLimit(job, entry.work);
        (void)m_queue.popTask(number);
        if (m_usage.add(running.team, entry.work, m_clock.now(), m_pool.capacity()))
            m_queue.setOverQuota(running.team, true);
        m_pool.acquireSlot(slot.executor);
        m_retryBudget.deposit();
        const TaskRef task{number, index};
        m_inFlight.emplace(task, entry);
        return {task, m_pool.nameOf(slot.executor)};
    }

    void updateLongWorkLimit(const QueuedJob &job, Duration work)
    {
        if (job.isLong)
            ++m_longInFlight;
        else
            m_longLimit.recordShortWork(work, m_clock.now());
    }

    void requeue(const TaskRef &task, const InFlight &entry, const RunningJob &running)
    {
        if (!m_retryBudget.tryWithdraw())
            m_pausedUntil = m_clock.now() + ExhaustedBudgetDelay
                            + asDuration(asSeconds(ExhaustedBudgetDelay) * m_random.nextUnit());
        if (running.isCancelled)
            return;
        QueuedJob attributes;
        attributes.service = running.service;
        attributes.team = running.team;
        attributes.placement = m_pool.placementOf(m_services.nameOf(running.service));
        attributes.isUrgent = running.isUrgent;
        attributes.isLong = running.isLong;
        attributes.submitted = running.submitted;
        attributes.rank = rankOf(attributes);
        m_queue.requeue(task, entry.work, attributes);
    }

    const Clock &m_clock;
    RandomSource &m_random;
    DispatchSettings m_settings;
    NameIndex m_services{MaxNames};
    NameIndex m_teams{MaxNames};
    RunTimeEstimator m_estimator;
    ExecutorPool m_pool;
    JobQueue m_queue;
    TeamUsage m_usage;
    LongWorkLimit m_longLimit;
    RetryBudget m_retryBudget;
    std::unordered_map<TaskRef, InFlight, TaskHash> m_inFlight;
    std::unordered_map<JobNumber, RunningJob> m_running;
    MonotonicTime m_pausedUntil;
    int m_longInFlight = 0;
};

} // namespace

std::unique_ptr<AdaptiveDispatcher> makeAdaptiveDispatcher(const Clock &clock, RandomSource &random,
                                                           const DispatchSettings &settings)
{
    return std::make_unique<ShortestJobDispatcher>(clock, random, settings);
}

} // namespace anvilmill
