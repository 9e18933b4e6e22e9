#include "coordinatorqueue.h"

#include <algorithm>

namespace anvilmill {

CoordinatorQueue::CoordinatorQueue(const Clock &clock, RandomSource &random,
                                   const DispatchSettings &settings)
    : m_dispatcher(makeAdaptiveDispatcher(clock, random, settings))
{
}

void CoordinatorQueue::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    m_executors = executors;
    updateSlots();
}

void CoordinatorQueue::setSharingHosts(std::size_t hosts)
{
    const std::size_t share = std::max<std::size_t>(1, hosts);
    if (share == m_sharingHosts)
        return;
    m_sharingHosts = share;
    updateSlots();
}

void CoordinatorQueue::setHeldSlots(const std::string &host, const std::string &executor, int count)
{
    std::map<std::string, int> &held = m_heldSlots[host];
    if (count > 0)
        held[executor] = count;
    else
        held.erase(executor);
    updateSlots();
}

void CoordinatorQueue::updateSlots()
{
    std::vector<ExecutorInfo> usable = m_executors;
    for (ExecutorInfo &executor : usable) {
        if (m_sharingHosts > 1)
            executor.slots = std::max(1, executor.slots / static_cast<int>(m_sharingHosts));
        for (const auto &[host, held] : m_heldSlots) {
            const auto count = held.find(executor.name);
            if (count != held.end())
                executor.slots = std::max(0, executor.slots - count->second);
        }
    }
    m_dispatcher->setExecutors(usable);
}

void CoordinatorQueue::add(const std::string &host, JobNumber job, const JobSpec &spec,
                           std::vector<std::uint32_t> indexes, Duration waited)
{
    cancel(host, job);
    const JobNumber number = m_nextJob++;
    m_dispatcher->enqueue(number, spec, waited);
    const std::size_t tasks = indexes.size();
    m_jobs[number] = {host, job, std::move(indexes), tasks};
    m_numbers[{host, job}] = number;
}

void CoordinatorQueue::cancel(const std::string &host, JobNumber job)
{
    const auto found = m_numbers.find({host, job});
    if (found == m_numbers.end())
        return;
    m_dispatcher->cancel(found->second);
    m_jobs.erase(found->second);
    m_numbers.erase(found);
}

void CoordinatorQueue::evict(const std::string &host, bool keepsGrants)
{
    const auto first = m_numbers.lower_bound({host, 0});
    auto last = first;
    for (; last != m_numbers.end() && last->first.first == host; ++last) {
        m_dispatcher->cancel(last->second);
        m_jobs.erase(last->second);
    }
    m_numbers.erase(first, last);
    if (m_heldSlots.erase(host) > 0)
        updateSlots();
    if (keepsGrants)
        return;
    std::vector<std::uint64_t> open;
    for (const auto &[id, grant] : m_grants)
        if (grant.host == host)
            open.push_back(id);
    for (const std::uint64_t id : open)
        endGrant(id, StartOutcome::NotStarted);
}

std::optional<QueueGrant> CoordinatorQueue::nextGrant()
{
    const auto start = m_dispatcher->nextStart();
    if (!start)
        return std::nullopt;
    const QueueJob &job = m_jobs.at(start->task.job);
    const std::uint64_t id = m_nextGrant++;
    m_grants[id] = {*start, job.host};
    return QueueGrant{id, job.host, {job.job, job.indexes[start->task.index]}, start->executor};
}

void CoordinatorQueue::endGrant(std::uint64_t grant, StartOutcome end)
{
    const auto found = m_grants.find(grant);
    if (found == m_grants.end())
        return;
    const Start start = found->second.start;
    m_grants.erase(found);
    m_dispatcher->recordOutcome(start, end);
    const auto job = m_jobs.find(start.task.job);
    if (job == m_jobs.end() || end == StartOutcome::NotStarted || --job->second.unfinished > 0)
        return;
    m_numbers.erase({job->second.host, job->second.job});
    m_jobs.erase(job);
}

} // namespace anvilmill
