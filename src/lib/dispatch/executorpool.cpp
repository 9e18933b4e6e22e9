#include "anvilmill/dispatch/executorpool.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

constexpr Duration CapacityRefreshInterval = std::chrono::milliseconds(500);
constexpr Duration SlowStartCapacityRefreshInterval = std::chrono::milliseconds(20);
constexpr Duration InitialBackoff = std::chrono::milliseconds(2);
constexpr int MaxPauseDoublings = 8;
constexpr int FailuresToExcludeService = 3;
constexpr Duration ServiceExclusionTime = std::chrono::seconds(5);
/// An executor with starts in flight, none of which ended for this long, receives no new ones.
constexpr Duration MinStallTime = std::chrono::seconds(5);
/// The stall time is at least this multiple of the mean work.
constexpr double StallTimeFactor = 50.0;
/// Relative change of the speed that moves an executor in its free list.
constexpr double SpeedTolerance = 0.02;
/// The placement of a further service is looked up for each of its jobs.
constexpr std::size_t MaxServicePlacements = 10000;

} // namespace

ExecutorPool::ExecutorPool(const Clock &clock, RandomSource &random,
                           const RunTimeEstimator &estimator, const HealthSettings &settings)
    : m_clock(clock)
    , m_random(random)
    , m_estimator(estimator)
    , m_settings(settings)
{
}

void ExecutorPool::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    for (Executor &executor : m_executors)
        executor.isInList = false;
    for (const ExecutorInfo &info : executors)
        updateExecutor(info);
    m_listedExecutorCount = executors.size();
    m_servicePlacements.clear();
    m_placementIndexes.clear();
    m_placements.clear();
    m_capacities.clear();
    for (std::size_t i = 0; i < m_executors.size(); ++i)
        updateFreeList(i);
    refreshCapacities();
}

void ExecutorPool::updateExecutor(const ExecutorInfo &info)
{
    const std::size_t index = m_names.indexOf(info.name);
    if (index == m_executors.size()) {
        m_executors.push_back({{},
                               ExecutorHealth(m_settings),
                               0,
                               0,
                               0,
                               {},
                               {},
                               {},
                               false,
                               false,
                               false,
                               std::nullopt,
                               std::nullopt,
                               0});
        m_executors.back().lastEnd = m_clock.now();
    }
    std::vector<std::string> services = info.services;
    std::sort(services.begin(), services.end());
    const auto [group, isNew] = m_groupIndexes.emplace(services, m_groups.size());
    if (isNew)
        m_groups.emplace_back();
    Executor &executor = m_executors[index];
    if (executor.freeListSpeed && executor.group != group->second) {
        m_groups[executor.group].erase({-*executor.freeListSpeed, index});
        executor.freeListSpeed.reset();
        m_freeSlots -= executor.countedSlots;
        executor.countedSlots = 0;
    }
    executor.info = info;
    executor.group = group->second;
    executor.isInList = true;
}

std::size_t ExecutorPool::placementOf(const std::string &service)
{
    const auto known = m_servicePlacements.find(service);
    if (known != m_servicePlacements.end())
        return known->second;
    std::vector<std::size_t> groups;
    for (const auto &[services, group] : m_groupIndexes) {
        const bool runs =
                services.empty() || std::binary_search(services.begin(), services.end(), service);
        const bool isUsed = std::any_of(
                m_executors.begin(), m_executors.end(), [id = group](const Executor &executor) {
                    return executor.isInList && executor.group == id && !executor.info.isLeaving;
                });
        if (runs && isUsed)
            groups.push_back(group);
    }
    const auto [placement, isNew] = m_placementIndexes.emplace(groups, m_placements.size());
    if (isNew) {
        m_placements.push_back(groups);
        m_capacities.push_back(totalCapacityOf(groups));
    }
    if (m_servicePlacements.size() < MaxServicePlacements)
        m_servicePlacements[service] = placement->second;
    return placement->second;
}

bool ExecutorPool::isServed(std::size_t placement) const
{
    return !m_placements[placement].empty();
}

std::optional<FreeSlot> ExecutorPool::fastestFreeSlot(std::size_t placement,
                                                      std::size_t service) const
{
    std::optional<FreeSlot> best;
    for (const std::size_t group : m_placements[placement]) {
        for (const auto &entry : m_groups[group]) {
            const auto slot = freeSlotOf(entry, service);
            if (!slot)
                continue;
            if (!best || slot->speed > best->speed)
                best = slot;
            break;
        }
    }
    return best;
}

std::optional<FreeSlot> ExecutorPool::slowestFreeSlot(std::size_t placement,
                                                      std::size_t service) const
{
    std::optional<FreeSlot> best;
    for (const std::size_t group : m_placements[placement]) {
        const FreeExecutors &free = m_groups[group];
        for (auto entry = free.rbegin(); entry != free.rend(); ++entry) {
            const auto slot = freeSlotOf(*entry, service);
            if (!slot)
                continue;
            if (!best || slot->speed < best->speed)
                best = slot;
            break;
        }
    }
    return best;
}

std::optional<FreeSlot> ExecutorPool::freeSlotOf(const std::pair<double, std::size_t> &entry,
                                                 std::size_t service) const
{
    const Executor &executor = m_executors[entry.second];
    if (!accepts(executor, service))
        return std::nullopt;
    return FreeSlot{entry.second, -entry.first, executor.health.isInSlowStart(executor.info.slots)};
}

bool ExecutorPool::accepts(const Executor &executor, std::size_t service) const
{
    if (executor.failingServices.empty())
        return true;
    const auto failing = executor.failingServices.find(service);
    return failing == executor.failingServices.end() || failing->second.second <= m_clock.now();
}

void ExecutorPool::acquireSlot(std::size_t executor)
{
    Executor &entry = m_executors[executor];
    if (entry.inFlight++ == 0)
        entry.lastEnd = m_clock.now();
    beginSlowStartStep(executor);
    updateFreeList(executor);
}

void ExecutorPool::releaseSlot(std::size_t executor, std::size_t service, StartOutcome end)
{
    Executor &entry = m_executors[executor];
    --entry.inFlight;
    entry.lastEnd = m_clock.now();
    entry.isStalled = false;
    if (end == StartOutcome::Done)
        recordSuccess(executor, service);
    else if (end == StartOutcome::NotStarted)
        pause(executor);
    else
        recordFailure(executor, service);
    updateFreeList(executor);
}

void ExecutorPool::recordSuccess(std::size_t index, std::size_t service)
{
    Executor &executor = m_executors[index];
    if (executor.health.isEjected())
        --m_ejected;
    executor.health.recordSuccess();
    executor.pauses = 0;
    if (!executor.failingServices.empty())
        executor.failingServices.erase(service);
}

void ExecutorPool::recordFailure(std::size_t index, std::size_t service)
{
    Executor &executor = m_executors[index];
    auto &[failures, excludedUntil] = executor.failingServices[service];
    if (++failures >= FailuresToExcludeService)
        excludedUntil = m_clock.now() + ServiceExclusionTime;
    if (!executor.health.recordFailure())
        return;
    const auto allowed =
            std::max(1.0, m_settings.maxEjectedShare * static_cast<double>(m_listedExecutorCount));
    const bool isNew = !executor.health.isEjected();
    if (isNew && static_cast<double>(m_ejected + 1) > allowed)
        return;
    m_ejected += isNew ? 1 : 0;
    executor.health.eject(m_clock.now(), m_random);
    scheduleWake(executor.health.probeAt(), index);
}

void ExecutorPool::pause(std::size_t index)
{
    Executor &executor = m_executors[index];
    const int doublings = std::min(executor.pauses++, MaxPauseDoublings);
    const double factor = (1.0 + m_random.nextUnit()) * std::pow(2.0, doublings);
    executor.pausedUntil =
            m_clock.now() + std::chrono::duration_cast<Duration>(InitialBackoff * factor);
    scheduleWake(executor.pausedUntil, index);
}

void ExecutorPool::beginSlowStartStep(std::size_t index)
{
    Executor &executor = m_executors[index];
    if (executor.slowStartStepEnd || executor.health.isEjected()
        || !executor.health.isInSlowStart(executor.info.slots))
        return;
    executor.slowStartStepEnd = m_clock.now() + m_settings.slowStartStep;
    scheduleWake(*executor.slowStartStepEnd, index);
}

void ExecutorPool::finishSlowStartStep(std::size_t index)
{
    Executor &executor = m_executors[index];
    if (!executor.slowStartStepEnd || *executor.slowStartStepEnd > m_clock.now())
        return;
    const MonotonicTime began = *executor.slowStartStepEnd - m_settings.slowStartStep;
    executor.slowStartStepEnd.reset();
    if (executor.inFlight == 0)
        return;
    if (executor.lastEnd <= began)
        executor.health.recordSlowStartStep();
    beginSlowStartStep(index);
}

void ExecutorPool::scheduleWake(MonotonicTime time, std::size_t index)
{
    m_wakeTimes.emplace(time, index);
}

int ExecutorPool::usableSlots(const Executor &executor) const
{
    const MonotonicTime now = m_clock.now();
    if (!executor.isInList || executor.info.isLeaving || executor.isStalled
        || executor.pausedUntil > now)
        return 0;
    const int limit = executor.health.startLimit(now, executor.info.slots);
    return std::max(0, limit - executor.inFlight);
}

void ExecutorPool::updateFreeList(std::size_t index)
{
    Executor &executor = m_executors[index];
    const int usable = usableSlots(executor);
    m_freeSlots += usable - executor.countedSlots;
    executor.countedSlots = usable;
    const double speed = m_estimator.speed(index);
    if (executor.freeListSpeed && usable > 0
        && std::abs(speed - *executor.freeListSpeed) < SpeedTolerance * speed)
        return;
    FreeExecutors &free = m_groups[executor.group];
    if (executor.freeListSpeed)
        free.erase({-*executor.freeListSpeed, index});
    executor.freeListSpeed.reset();
    if (usable == 0)
        return;
    free.emplace(-speed, index);
    executor.freeListSpeed = speed;
}

void ExecutorPool::refresh()
{
    const MonotonicTime now = m_clock.now();
    while (!m_wakeTimes.empty() && m_wakeTimes.begin()->first <= now) {
        const std::size_t index = m_wakeTimes.begin()->second;
        m_wakeTimes.erase(m_wakeTimes.begin());
        finishSlowStartStep(index);
        updateFreeList(index);
    }
    if (now >= m_nextCapacityRefresh)
        refreshCapacities();
}

void ExecutorPool::refreshCapacities()
{
    m_totalSlots = 0;
    m_capacity = 0.0;
    bool hasSlowStart = false;
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        const Executor &executor = m_executors[i];
        if (!isUsable(executor))
            continue;
        hasSlowStart = hasSlowStart || executor.health.isInSlowStart(executor.info.slots);
        m_totalSlots += executor.info.slots;
        m_capacity += executor.info.slots * m_estimator.speed(i);
    }
    for (std::size_t i = 0; i < m_placements.size(); ++i)
        m_capacities[i] = totalCapacityOf(m_placements[i]);
    markStalled();
    m_nextCapacityRefresh =
            m_clock.now()
            + (hasSlowStart ? SlowStartCapacityRefreshInterval : CapacityRefreshInterval);
}

bool ExecutorPool::isUsable(const Executor &executor) const
{
    return executor.isInList && !executor.info.isLeaving && !executor.isStalled
           && !executor.health.isEjected();
}

ExecutorPool::Capacity ExecutorPool::totalCapacityOf(const std::vector<std::size_t> &groups) const
{
    Capacity sum;
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        const Executor &executor = m_executors[i];
        if (!isUsable(executor)
            || std::find(groups.begin(), groups.end(), executor.group) == groups.end())
            continue;
        const double speed = m_estimator.speed(i);
        sum.fastestSpeed = sum.workPerSecond > 0.0 ? std::max(sum.fastestSpeed, speed) : speed;
        sum.workPerSecond += executor.info.slots * speed;
    }
    return sum;
}

void ExecutorPool::markStalled()
{
    const Duration expected =
            std::chrono::duration_cast<Duration>(m_estimator.meanWork() * StallTimeFactor);
    const Duration limit = std::max(MinStallTime, expected);
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        Executor &executor = m_executors[i];
        if (executor.inFlight == 0 || executor.isStalled
            || m_clock.now() - executor.lastEnd < limit)
            continue;
        executor.isStalled = true;
        updateFreeList(i);
    }
}

double ExecutorPool::capacityOf(std::size_t placement) const
{
    return m_capacities[placement].workPerSecond;
}

double ExecutorPool::fastestSpeed(std::size_t placement) const
{
    return m_capacities[placement].fastestSpeed;
}

const std::string &ExecutorPool::nameOf(std::size_t executor) const
{
    return m_names.nameOf(executor);
}

std::optional<std::size_t> ExecutorPool::find(const std::string &name) const
{
    return m_names.find(name);
}

std::optional<MonotonicTime> ExecutorPool::nextWakeTime() const
{
    if (m_wakeTimes.empty())
        return std::nullopt;
    return m_wakeTimes.begin()->first;
}

} // namespace anvilmill
