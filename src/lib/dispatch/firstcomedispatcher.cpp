#include "anvilmill/dispatch/dispatcher.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace anvilmill {

namespace {

struct ExecutorState
{
    ExecutorInfo info;
    int inFlight = 0;

    [[nodiscard]] bool hasFreeSlot() const { return !info.isLeaving && inFlight < info.slots; }

    [[nodiscard]] bool runs(const std::string &service) const
    {
        return info.services.empty()
               || std::find(info.services.begin(), info.services.end(), service)
                          != info.services.end();
    }
};

struct QueuedTask
{
    TaskRef task;
    std::string service;
};

class FifoDispatcher final : public Dispatcher
{
public:
    void setExecutors(const std::vector<ExecutorInfo> &executors) override
    {
        std::unordered_map<std::string, ExecutorState> next;
        for (const ExecutorInfo &info : executors) {
            const auto known = m_executors.find(info.name);
            const int inFlight = known == m_executors.end() ? 0 : known->second.inFlight;
            next[info.name] = ExecutorState{info, inFlight};
        }
        m_executors = std::move(next);
    }

    std::optional<Refusal> submit(JobNumber job, const JobSpec &spec) override
    {
        if (!isServed(spec.service))
            return Refusal{Refusal::Cause::NoSuchService,
                           "no executor runs service " + spec.service, std::nullopt};
        for (std::uint32_t i = 0; i < spec.tasks.size(); ++i)
            m_queue.push_back({{job, i}, spec.service});
        m_services[job] = spec.service;
        return std::nullopt;
    }

    std::optional<Start> nextStart() override
    {
        for (std::size_t scanned = 0; scanned < m_queue.size();) {
            const QueuedTask head = m_queue[scanned];
            if (m_cancelled.count(head.task.job) > 0) {
                m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(scanned));
                continue;
            }
            ExecutorState *executor = leastLoaded(head.service);
            if (!executor) {
                ++scanned;
                continue;
            }
            m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(scanned));
            ++executor->inFlight;
            ++m_inFlight;
            return Start{head.task, executor->info.name};
        }
        return std::nullopt;
    }

    void recordOutcome(const Start &start, StartOutcome end) override
    {
        --m_inFlight;
        const auto executor = m_executors.find(start.executor);
        if (executor != m_executors.end())
            --executor->second.inFlight;
        if (end == StartOutcome::NotStarted && m_cancelled.count(start.task.job) == 0)
            m_queue.push_back({start.task, m_services[start.task.job]});
    }

    void cancel(JobNumber job) override { m_cancelled.insert(job); }

    std::optional<MonotonicTime> nextWakeTime() const override { return std::nullopt; }
    std::size_t queuedTasks() const override { return m_queue.size(); }
    std::size_t tasksInFlight() const override { return m_inFlight; }

private:
    bool isServed(const std::string &service) const
    {
        return std::any_of(m_executors.begin(), m_executors.end(),
                           [&](const auto &entry) { return entry.second.runs(service); });
    }

    ExecutorState *leastLoaded(const std::string &service)
    {
        ExecutorState *best = nullptr;
        for (auto &[name, executor] : m_executors) {
            if (!executor.hasFreeSlot() || !executor.runs(service))
                continue;
            if (!best || executor.inFlight < best->inFlight)
                best = &executor;
        }
        return best;
    }

    std::unordered_map<std::string, ExecutorState> m_executors;
    std::deque<QueuedTask> m_queue;
    std::unordered_map<JobNumber, std::string> m_services;
    std::unordered_set<JobNumber> m_cancelled;
    std::size_t m_inFlight = 0;
};

} // namespace

std::unique_ptr<Dispatcher> makeFifoDispatcher()
{
    return std::make_unique<FifoDispatcher>();
}

} // namespace anvilmill
