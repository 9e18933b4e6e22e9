#include "experimentreference.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

namespace anvilmill::tools {

namespace {

Duration runTime(Duration work, double speed)
{
    return std::chrono::duration_cast<Duration>(work / speed);
}

struct ReferenceJob
{
    /// Work of the tasks not yet started, in ascending order.
    std::vector<Duration> works;
    std::size_t unanswered = 0;
    Duration unstarted{};
};

struct ReferenceExecutor
{
    double speed = 1.0;
    int freeSlots = 0;
};

struct TaskEnd
{
    Duration time;
    std::size_t job;
    std::size_t executor;

    bool operator>(const TaskEnd &other) const { return time > other.time; }
};

class ReferenceRun
{
public:
    explicit ReferenceRun(const Workload &workload)
        : m_workload(workload)
        , m_responses(workload.jobs.size())
    {
        for (const SimulatedExecutor &executor : workload.executors)
            if (!executor.failsAll)
                m_executors.push_back({executor.speed, executor.slots});
        std::sort(m_executors.begin(), m_executors.end(),
                  [](const auto &left, const auto &right) { return left.speed > right.speed; });
        for (std::size_t i = 0; i < m_executors.size(); ++i)
            m_free.insert(i);
        for (const SimulatedJob &job : workload.jobs)
            m_jobs.push_back(makeJob(job));
    }

    std::vector<Duration> run()
    {
        std::size_t arrived = 0;
        while (arrived < m_jobs.size() || !m_ends.empty()) {
            const bool isArrival =
                    arrived < m_jobs.size()
                    && (m_ends.empty() || m_workload.jobs[arrived].arrival <= m_ends.top().time);
            if (isArrival)
                arrive(arrived++);
            else
                endTask();
            startTasks();
        }
        return m_responses;
    }

private:
    static ReferenceJob makeJob(const SimulatedJob &job)
    {
        ReferenceJob entry;
        for (const SimulatedTask &task : job.tasks)
            entry.works.push_back(task.work);
        std::sort(entry.works.begin(), entry.works.end());
        entry.unanswered = entry.works.size();
        entry.unstarted = job.totalWork();
        return entry;
    }

    void arrive(std::size_t index)
    {
        m_now = m_workload.jobs[index].arrival;
        m_queue.emplace(m_jobs[index].unstarted, index);
    }

    void endTask()
    {
        const TaskEnd end = m_ends.top();
        m_ends.pop();
        m_now = end.time;
        if (m_executors[end.executor].freeSlots++ == 0)
            m_free.insert(end.executor);
        ReferenceJob &job = m_jobs[end.job];
        if (--job.unanswered == 0)
            m_responses[end.job] = m_now - m_workload.jobs[end.job].arrival;
    }

    void startTasks()
    {
        while (!m_queue.empty() && !m_free.empty()) {
            const std::size_t index = m_queue.begin()->second;
            m_queue.erase(m_queue.begin());
            startLongest(index);
            if (!m_jobs[index].works.empty())
                m_queue.emplace(m_jobs[index].unstarted, index);
        }
    }

    void startLongest(std::size_t index)
    {
        ReferenceJob &job = m_jobs[index];
        const Duration work = job.works.back();
        job.works.pop_back();
        job.unstarted -= work;
        const std::size_t fastest = *m_free.begin();
        ReferenceExecutor &executor = m_executors[fastest];
        if (--executor.freeSlots == 0)
            m_free.erase(fastest);
        m_ends.push({m_now + runTime(work, executor.speed), index, fastest});
    }

    const Workload &m_workload;
    std::vector<Duration> m_responses;
    /// In descending order of speed.
    std::vector<ReferenceExecutor> m_executors;
    std::set<std::size_t> m_free;
    std::vector<ReferenceJob> m_jobs;
    std::set<std::pair<Duration, std::size_t>> m_queue;
    std::priority_queue<TaskEnd, std::vector<TaskEnd>, std::greater<>> m_ends;
    Duration m_now{};
};

} // namespace

std::vector<Duration> referenceResponses(const Workload &workload)
{
    return ReferenceRun(workload).run();
}

std::vector<Duration> lowerBounds(const Workload &workload)
{
    double fastest = 0.0;
    for (const SimulatedExecutor &executor : workload.executors)
        if (!executor.failsAll)
            fastest = std::max(fastest, executor.speed);
    std::vector<Duration> bounds;
    for (const SimulatedJob &job : workload.jobs)
        bounds.push_back(std::max(runTime(job.longestWork(), fastest),
                                  runTime(job.totalWork(), workload.capacity())));
    return bounds;
}

} // namespace anvilmill::tools
