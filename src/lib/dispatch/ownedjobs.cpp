#include "ownedjobs.h"

namespace anvilmill {

std::vector<std::uint32_t> OwnedJob::unstartedTasks() const
{
    std::vector<std::uint32_t> tasks;
    for (std::uint32_t i = 0; i < started.size(); ++i)
        if (!started[i])
            tasks.push_back(i);
    return tasks;
}

void OwnedJobs::add(JobNumber job, const JobSpec &spec, MonotonicTime now)
{
    OwnedJob &entry = m_jobs[job];
    entry.spec = spec;
    for (TaskSpec &task : entry.spec.tasks)
        task.payload.clear();
    entry.submitted = now;
    entry.started.assign(spec.tasks.size(), false);
    entry.unstarted = spec.tasks.size();
    m_unstarted += entry.unstarted;
}

const OwnedJob *OwnedJobs::find(JobNumber job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool OwnedJobs::beginStart(const TaskRef &task)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end() || task.index >= found->second.started.size()
        || found->second.started[task.index])
        return false;
    found->second.started[task.index] = true;
    --found->second.unstarted;
    ++found->second.inFlight;
    --m_unstarted;
    return true;
}

void OwnedJobs::endStart(const TaskRef &task, bool wasStarted)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return;
    OwnedJob &job = found->second;
    --job.inFlight;
    if (!wasStarted) {
        job.started[task.index] = false;
        ++job.unstarted;
        ++m_unstarted;
    }
    if (job.unstarted == 0 && job.inFlight == 0)
        m_jobs.erase(found);
}

bool OwnedJobs::remove(JobNumber job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return false;
    m_unstarted -= found->second.unstarted;
    m_jobs.erase(found);
    return true;
}

} // namespace anvilmill
