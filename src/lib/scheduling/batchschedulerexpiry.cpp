// When BatchScheduler gives up jobs.
#include "anvilmill/scheduling/batchscheduler.h"

#include <algorithm>
#include <chrono>

namespace anvilmill {

void BatchScheduler::expire()
{
    const MonotonicTime now = m_clock.now();
    m_near.expire();
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const JobNumber number = m_expiries.begin()->second;
        expireJob(number, m_jobs.at(number));
    }
}

// The response time, from arrival, within which an answer is in time.
Duration BatchScheduler::targetOf(const BatchJob &job, Duration longestRunTime)
{
    const auto stretched = std::chrono::duration<double>(longestRunTime) * job.route->stretch;
    return std::chrono::duration_cast<Duration>(stretched) + job.route->target;
}

MonotonicTime BatchScheduler::latestUsefulStart(const BatchJob &job, Duration longestRunTime)
{
    const Duration allowed = targetOf(job, longestRunTime) * UsefulResponseFactor;
    const MonotonicTime latest = job.arrived + allowed - longestRunTime;
    return std::min(job.deadline, std::max(latest, job.arrived));
}

MonotonicTime BatchScheduler::latestUsefulStart(const BatchJob &job)
{
    return latestUsefulStart(job, longestRunTime(job, m_routes.indexOf(job.route->route)));
}

/// When the job is checked next: a started job at its deadline; a waiting job when it can no longer
/// be in time, and after that when its answer would be useless.
MonotonicTime BatchScheduler::nextExpiryOf(const Job &job) const
{
    if (job.runs > 0)
        return job.job.deadline;
    if (job.isLate)
        return latestUsefulStart(job.job, job.longestRunTime);
    const MonotonicTime latestStart =
            job.job.arrived + targetOf(job.job, job.longestRunTime) - job.longestRunTime;
    return std::min(job.job.deadline, std::max(latestStart, job.job.arrived));
}

std::optional<MonotonicTime> BatchScheduler::nextExpiry() const
{
    const auto waitEnd = m_near.nextWaitEnd();
    if (m_expiries.empty())
        return waitEnd;
    return std::min(m_expiries.begin()->first, waitEnd.value_or(MonotonicTime::max()));
}

} // namespace anvilmill
