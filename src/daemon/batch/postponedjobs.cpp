#include "postponedjobs.h"

#include <utility>

namespace anvilmill::daemon {

PostponedJobs::PostponedJobs(TimerQueue &timers, const Clock &clock)
    : m_clock(clock)
    , m_timers(timers)
{
}

void PostponedJobs::add(JobNumber number, BatchJob job, MonotonicTime latestStart,
                        ResultHandler handler)
{
    const auto expiry = m_timers.at(
            latestStart, [this, number] { finish(number, BatchEnd::Broken, "earlierRunOpen"); });
    m_jobs.emplace(number, Entry{{std::move(job), std::move(handler)}, expiry});
}

void PostponedJobs::cancel(JobNumber number)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end())
        return;
    m_timers.cancel(found->second.expiry);
    finish(number, BatchEnd::Cancelled, "cancelled");
}

void PostponedJobs::finish(JobNumber number, BatchEnd end, const std::string &cause)
{
    const auto node = m_jobs.extract(number);
    const Job &postponed = node.mapped().job;
    BatchResult result;
    result.end = end;
    result.cause = cause;
    result.waited = m_clock.now() - postponed.job.arrived;
    postponed.handler(result);
}

std::map<JobNumber, PostponedJobs::Job>
PostponedJobs::take(const std::function<bool(const std::string &id)> &mayStart)
{
    std::map<JobNumber, Job> taken;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        if (!mayStart(entry->second.job.job.id)) {
            ++entry;
            continue;
        }
        m_timers.cancel(entry->second.expiry);
        taken.emplace(entry->first, std::move(entry->second.job));
        entry = m_jobs.erase(entry);
    }
    return taken;
}

} // namespace anvilmill::daemon
