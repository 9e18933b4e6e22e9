// The parts of BatchScheduler for tasks whose data is on a rack.
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityview.h"

#include <algorithm>

namespace anvilmill {

const std::string &BatchScheduler::rackOf(const Job &job)
{
    return job.job.tasks.front().preferredRack;
}

/// The lower of the speeds that the task needs on the rack of its data and on others.
double BatchScheduler::leastSpeedFor(const Job &job, std::uint32_t task, double fastestSpeed) const
{
    const double near = minSpeedFor(job, task, fastestSpeed, 1.0);
    if (rackOf(job).empty())
        return near;
    return std::min(near, minSpeedFor(job, task, fastestSpeed, m_near.slowdownOf(rackOf(job))));
}

void BatchScheduler::countWaiting(const Job &job)
{
    if (!rackOf(job).empty())
        m_near.addWaiting(job.job.route->service, rackOf(job), unstartedMilliCores(job));
}

// Jobs have one step, so their tasks are equal.
std::int64_t BatchScheduler::unstartedMilliCores(const Job &job)
{
    return static_cast<std::int64_t>(job.unstarted.size())
           * job.job.tasks.front().resources.milliCores;
}

std::optional<std::size_t> BatchScheduler::executorFor(Job &job, std::uint32_t index,
                                                       double fastestSpeed,
                                                       const PlacementQuery &query)
{
    const std::string &rack = rackOf(job);
    if (rack.empty())
        return m_view.bestFor(query);
    const Duration target = targetOf(job.job, job.longestRunTime);
    const MonotonicTime useless = job.job.arrived + target * UsefulResponseFactor;
    const NearTask task{rack, job.tasks[index].runTime, unstartedMilliCores(job),
                        job.job.arrived + target, std::min(useless, job.job.deadline)};
    const double elsewhereMinSpeed = minSpeedFor(job, index, fastestSpeed, m_near.slowdownOf(rack));
    return m_near.executorFor(query, elsewhereMinSpeed, task, job.nearWait);
}

TaskPlace BatchScheduler::recordPlace(Job &job, std::size_t executor) const
{
    if (rackOf(job).empty())
        return TaskPlace::Any;
    const bool isNear = m_view.rackOf(executor) == rackOf(job);
    ++(isNear ? job.nearRuns : job.remoteRuns);
    return isNear ? TaskPlace::Near : TaskPlace::Remote;
}

} // namespace anvilmill
