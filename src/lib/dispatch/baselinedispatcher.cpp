#include "anvilmill/dispatch/baselinedispatcher.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace anvilmill {

namespace {

constexpr Duration RefusalDelay = std::chrono::milliseconds(5);

struct BaselineExecutor
{
    ExecutorInfo info;
    int inFlight = 0;
    MonotonicTime pausedUntil;
};

class BaselineDispatcher final : public Dispatcher
{
public:
    BaselineDispatcher(BaselineChoice choice, const Clock &clock, RandomSource &random)
        : m_choice(choice)
        , m_clock(clock)
        , m_random(random)
    {
    }

    void setExecutors(const std::vector<ExecutorInfo> &executors) override
    {
        std::vector<BaselineExecutor> next;
        std::unordered_map<std::string, std::size_t> indexes;
        for (const ExecutorInfo &info : executors) {
            BaselineExecutor entry{info, 0, MonotonicTime{}};
            const auto known = m_indexes.find(info.name);
            if (known != m_indexes.end())
                entry.inFlight = m_executors[known->second].inFlight;
            indexes[info.name] = next.size();
            next.push_back(entry);
        }
        m_executors = std::move(next);
        m_indexes = std::move(indexes);
    }

    std::optional<Refusal> submit(JobNumber job, const JobSpec &spec) override
    {
        if (m_executors.empty())
            return Refusal{Refusal::Cause::NoSuchService, "no executors are listed", std::nullopt};
        for (std::uint32_t i = 0; i < spec.tasks.size(); ++i)
            m_queue.push_back({job, i});
        m_cancelled[job] = false;
        return std::nullopt;
    }

    std::optional<Start> nextStart() override
    {
        dropCancelledHead();
        if (m_queue.empty())
            return std::nullopt;
        const std::vector<std::size_t> free = freeExecutors();
        if (free.empty())
            return std::nullopt;
        BaselineExecutor &executor = m_executors[pick(free)];
        const TaskRef task = m_queue.front();
        m_queue.pop_front();
        ++executor.inFlight;
        ++m_inFlight;
        return Start{task, executor.info.name};
    }

    void recordOutcome(const Start &start, StartOutcome end) override
    {
        --m_inFlight;
        const auto found = m_indexes.find(start.executor);
        if (found != m_indexes.end())
            release(m_executors[found->second], end);
        if (end == StartOutcome::NotStarted && !m_cancelled[start.task.job])
            m_queue.push_front(start.task);
    }

    void cancel(JobNumber job) override { m_cancelled[job] = true; }

    std::optional<MonotonicTime> nextWakeTime() const override
    {
        if (m_queue.empty())
            return std::nullopt;
        std::optional<MonotonicTime> wake;
        for (const BaselineExecutor &executor : m_executors) {
            if (executor.pausedUntil <= m_clock.now())
                continue;
            if (!wake || executor.pausedUntil < *wake)
                wake = executor.pausedUntil;
        }
        return wake;
    }

    std::size_t queuedTasks() const override { return m_queue.size(); }
    std::size_t tasksInFlight() const override { return m_inFlight; }

private:
    void dropCancelledHead()
    {
        while (!m_queue.empty() && m_cancelled[m_queue.front().job])
            m_queue.pop_front();
    }

    std::vector<std::size_t> freeExecutors() const
    {
        std::vector<std::size_t> free;
        for (std::size_t i = 0; i < m_executors.size(); ++i) {
            const BaselineExecutor &executor = m_executors[i];
            if (!executor.info.isLeaving && executor.inFlight < executor.info.slots
                && executor.pausedUntil <= m_clock.now())
                free.push_back(i);
        }
        return free;
    }

    std::size_t pick(const std::vector<std::size_t> &free)
    {
        if (m_choice == BaselineChoice::Random)
            return free[m_random.nextBelow(free.size())];
        if (m_choice == BaselineChoice::RoundRobin)
            return pickRoundRobin(free);
        return *std::min_element(free.begin(), free.end(), [this](auto left, auto right) {
            return m_executors[left].inFlight < m_executors[right].inFlight;
        });
    }

    std::size_t pickRoundRobin(const std::vector<std::size_t> &free)
    {
        const auto next = std::upper_bound(free.begin(), free.end(), m_lastPick);
        m_lastPick = next == free.end() ? free.front() : *next;
        return m_lastPick;
    }

    void release(BaselineExecutor &executor, StartOutcome end) const
    {
        --executor.inFlight;
        if (end == StartOutcome::NotStarted)
            executor.pausedUntil = m_clock.now() + RefusalDelay;
    }

    BaselineChoice m_choice;
    const Clock &m_clock;
    RandomSource &m_random;
    std::vector<BaselineExecutor> m_executors;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::deque<TaskRef> m_queue;
    std::unordered_map<JobNumber, bool> m_cancelled;
    std::size_t m_inFlight = 0;
    std::size_t m_lastPick = 0;
};

} // namespace

std::unique_ptr<Dispatcher> makeBaselineDispatcher(BaselineChoice choice, const Clock &clock,
                                                   RandomSource &random)
{
    return std::make_unique<BaselineDispatcher>(choice, clock, random);
}

} // namespace anvilmill
