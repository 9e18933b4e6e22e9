#include "anvilmill/scheduling/nearplacement.h"

namespace anvilmill {

NearPlacement::NearPlacement(const Clock &clock, const CapacityView &view)
    : m_clock(clock)
    , m_view(view)
{
}

double NearPlacement::slowdownOf(const std::string &rack) const
{
    return !rack.empty() && m_view.knowsRack(rack) ? m_slowdown : 1.0;
}

double NearPlacement::slowdownOn(std::size_t executor, const std::string &rack) const
{
    return m_view.rackOf(executor) == rack ? 1.0 : slowdownOf(rack);
}

NearPlacement::Rack &NearPlacement::rackOf(const std::string &service, const std::string &rack)
{
    return m_racks[{service, rack}];
}

void NearPlacement::addWaiting(const std::string &service, const std::string &rack,
                               std::int64_t milliCores)
{
    rackOf(service, rack).waitingMilliCores += milliCores;
}

std::optional<std::size_t> NearPlacement::executorFor(PlacementQuery query,
                                                      double elsewhereMinSpeed,
                                                      const NearTask &task, NearWait &wait)
{
    Rack &rack = rackOf(query.service, task.rack);
    if (!rack.isServed)
        rack.isServed = m_view.isRackServed(query.service, task.rack, Resources());
    if (*rack.isServed && !wait.isGivenUp) {
        const auto near = nearExecutor(query, task.rack, rack);
        if (near || wait.isActive(m_clock.now()))
            return near;
    }
    query.minSpeed = elsewhereMinSpeed;
    if (wait.isGivenUp) {
        query.avoidedRack = &task.rack;
        const auto remote = m_view.bestFor(query);
        query.avoidedRack = nullptr;
        if (remote)
            return remote;
    }
    const auto elsewhere = m_view.bestFor(query);
    if (!elsewhere || !*rack.isServed || wait.isGivenUp)
        return elsewhere;
    return startsElsewhere(query, task, rack, *elsewhere, wait) ? elsewhere : std::nullopt;
}

std::optional<std::size_t> NearPlacement::nearExecutor(PlacementQuery query,
                                                       const std::string &name, Rack &rack) const
{
    UnfitDemands &unfit = rack.unfit.at(query.minFreeFor > Duration{} ? 1 : 0);
    if (unfit.includes(query.demand.milliCores, query.minSpeed))
        return std::nullopt;
    query.requiredRack = &name;
    const auto executor = m_view.bestFor(query);
    // Another task may fit on the executors that this one is not to use.
    const bool isAnyExcluded = query.excluded && !query.excluded->empty();
    if (!executor && !isAnyExcluded)
        unfit.add(query.demand.milliCores, query.minSpeed);
    return executor;
}

bool NearPlacement::startsElsewhere(const PlacementQuery &query, const NearTask &task,
                                    const Rack &rack, std::size_t elsewhere, NearWait &wait)
{
    if (!m_view.isRackServed(query.service, task.rack, query.demand))
        return true;
    const MonotonicTime now = m_clock.now();
    const double waiting = static_cast<double>(rack.waitingMilliCores) / m_share;
    PlaceChoice choice;
    choice.nearRunTime = task.runTime;
    choice.slowdown = slowdownOn(elsewhere, task.rack) / m_view.speedOf(elsewhere);
    choice.expectedWait = m_view.rackTurnover().expectedWait(
            task.rack, static_cast<std::int64_t>(waiting) + task.jobMilliCores);
    choice.untilTarget = task.target - now;
    choice.untilUseless = task.useless - now;
    choice.waited = now - wait.started.value_or(now);
    const CapacityShare capacity = m_view.shareOf(query.service, task.jobMilliCores);
    choice.freeShare = capacity.free;
    choice.jobShare = capacity.demand;
    const Duration longest = m_rule(choice);
    if (longest <= Duration{}) {
        wait.isGivenUp = choice.isLateElsewhere();
        return true;
    }
    wait.started = wait.started.value_or(now);
    wait.end = now + longest;
    m_ends.insert(*wait.end);
    return false;
}

void NearPlacement::expire()
{
    m_ends.erase(m_ends.begin(), m_ends.upper_bound(m_clock.now()));
}

std::optional<MonotonicTime> NearPlacement::nextWaitEnd() const
{
    return m_ends.empty() ? std::nullopt : std::make_optional(*m_ends.begin());
}

} // namespace anvilmill
