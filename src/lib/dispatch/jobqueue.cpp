#include "anvilmill/dispatch/jobqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace anvilmill {

namespace {

/// Upper bound of the smallest size class; each further class is twice as large.
constexpr Duration SmallestSizeClass = std::chrono::milliseconds(25);

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool JobQueue::Position::operator<(const Position &other) const noexcept
{
    return std::tie(rank, key, job) < std::tie(other.rank, other.key, other.job);
}

JobQueue::JobQueue(double agingRate) noexcept
    : m_agingRate(agingRate)
{
}

void JobQueue::add(JobNumber job, QueuedJob entry)
{
    Entry &stored = m_jobs[job];
    stored.job = std::move(entry);
    if (m_teamJobs.size() <= stored.job.team) {
        m_teamJobs.resize(stored.job.team + 1);
        m_teamWork.resize(stored.job.team + 1);
    }
    m_teamJobs[stored.job.team].insert(job);
    updateTotals(stored.job, 1);
    insertIntoOrder(job, stored);
}

const QueuedJob *JobQueue::find(JobNumber job) const
{
    const auto entry = m_jobs.find(job);
    return entry == m_jobs.end() ? nullptr : &entry->second.job;
}

std::optional<JobNumber> JobQueue::first(std::size_t placement, bool isLong) const
{
    const Order *order = findOrder(placement, isLong);
    if (!order || order->empty())
        return std::nullopt;
    return order->begin()->job;
}

bool JobQueue::precedes(JobNumber left, JobNumber right) const
{
    return *m_jobs.at(left).position < *m_jobs.at(right).position;
}

std::uint32_t JobQueue::popTask(JobNumber job)
{
    Entry &entry = m_jobs.at(job);
    const std::uint32_t task = entry.job.unstarted.back();
    if (entry.job.unstarted.size() == 1) {
        remove(job);
        return task;
    }
    orderOf(entry.job).erase(entry.position);
    updateTotals(entry.job, -1);
    entry.job.unstarted.pop_back();
    entry.job.remaining -= entry.job.taskWork[task];
    updateTotals(entry.job, 1);
    insertIntoOrder(job, entry);
    return task;
}

void JobQueue::requeue(const TaskRef &task, Duration work, const QueuedJob &attributes)
{
    QueuedJob job = attributes;
    const auto found = m_jobs.find(task.job);
    if (found != m_jobs.end()) {
        job = found->second.job;
        remove(task.job);
    }
    if (job.taskWork.size() <= task.index)
        job.taskWork.resize(task.index + 1);
    job.taskWork[task.index] = work;
    job.unstarted.push_back(task.index);
    job.remaining += work;
    add(task.job, std::move(job));
}

std::size_t JobQueue::remove(JobNumber job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return 0;
    const QueuedJob &entry = found->second.job;
    const std::size_t dropped = entry.unstarted.size();
    orderOf(entry).erase(found->second.position);
    m_teamJobs[entry.team].erase(job);
    updateTotals(entry, -1);
    m_jobs.erase(found);
    return dropped;
}

void JobQueue::setOverQuota(std::size_t team, bool isOver)
{
    if (team >= m_teamJobs.size())
        return;
    for (const JobNumber number : m_teamJobs[team]) {
        Entry &entry = m_jobs.at(number);
        orderOf(entry.job).erase(entry.position);
        updateTotals(entry.job, -1);
        const QueueRank within = entry.job.isUrgent ? QueueRank::Urgent : QueueRank::Normal;
        entry.job.rank = isOver ? QueueRank::OverQuota : within;
        updateTotals(entry.job, 1);
        insertIntoOrder(number, entry);
    }
}

std::unordered_map<JobNumber, QueuedJob> JobQueue::extractAll()
{
    std::unordered_map<JobNumber, QueuedJob> all;
    for (auto &[number, entry] : m_jobs) {
        updateTotals(entry.job, -1);
        all.emplace(number, std::move(entry.job));
    }
    m_jobs.clear();
    m_orders.clear();
    m_teamJobs.clear();
    return all;
}

Duration JobQueue::workOf(QueueRank rank) const noexcept
{
    Duration sum{};
    for (const Duration work : m_workByClass[static_cast<std::size_t>(rank)])
        sum += work;
    return sum;
}

Duration JobQueue::teamWork(std::size_t team) const
{
    return team < m_teamWork.size() ? m_teamWork[team] : Duration{};
}

Duration JobQueue::workBefore(QueueRank rank, Duration remaining) const
{
    Duration sum{};
    for (std::size_t before = 0; before < static_cast<std::size_t>(rank); ++before)
        sum += workOf(static_cast<QueueRank>(before));
    const auto &classes = m_workByClass[static_cast<std::size_t>(rank)];
    for (std::size_t size = 0; size <= sizeClassOf(remaining); ++size)
        sum += classes[size];
    return sum;
}

JobQueue::Order &JobQueue::orderOf(const QueuedJob &job)
{
    const std::size_t index = job.placement * 2 + (job.isLong ? 1 : 0);
    if (m_orders.size() <= index)
        m_orders.resize(index + 1);
    return m_orders[index];
}

const JobQueue::Order *JobQueue::findOrder(std::size_t placement, bool isLong) const
{
    const std::size_t index = placement * 2 + (isLong ? 1 : 0);
    return index < m_orders.size() ? &m_orders[index] : nullptr;
}

JobQueue::Position JobQueue::positionOf(JobNumber number, const QueuedJob &job) const
{
    // All jobs age at the same rate, which keeps the order of waiting jobs: keys are constant.
    const double key =
            asSeconds(job.remaining) + m_agingRate * asSeconds(job.submitted.time_since_epoch());
    return {job.rank, key, number};
}

std::size_t JobQueue::sizeClassOf(Duration remaining)
{
    const double ratio = asSeconds(remaining) / asSeconds(SmallestSizeClass);
    if (ratio <= 1.0)
        return 0;
    return std::min(static_cast<std::size_t>(std::log2(ratio)) + 1, SizeClasses - 1);
}

void JobQueue::updateTotals(const QueuedJob &job, int sign)
{
    const Duration work = job.remaining * sign;
    const auto tasks = job.unstarted.size() * static_cast<std::size_t>(sign);
    m_tasks += tasks;
    m_longTasks += job.isLong ? tasks : 0;
    m_work += work;
    m_teamWork[job.team] += work;
    m_workByClass[static_cast<std::size_t>(job.rank)][sizeClassOf(job.remaining)] += work;
}

void JobQueue::insertIntoOrder(JobNumber number, Entry &entry)
{
    entry.position = orderOf(entry.job).insert(positionOf(number, entry.job)).first;
}

} // namespace anvilmill
