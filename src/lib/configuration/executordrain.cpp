#include "anvilmill/configuration/executordrain.h"

#include <algorithm>
#include <utility>

namespace anvilmill {

ExecutorDrain::ExecutorDrain(const Clock &clock, const ExecutorDrainOptions &options)
    : m_clock(clock)
    , m_options(options)
{
}

void ExecutorDrain::setListed(const std::vector<ListedHost> &hosts)
{
    for (auto &[name, state] : m_executors)
        state.isListed = false;
    for (const ListedHost &host : hosts) {
        if (host.role != ListedHost::Role::Executor)
            continue;
        State &state = m_executors[host.name];
        state.isListed = true;
        state.info.name = host.name;
        state.info.slots = host.slots;
        state.info.services = host.services;
        if (host.state == ListedHost::State::Leaving)
            state.leavingAt = m_clock.now();
    }
    // A leaving executor that is absent from the list has not returned.
    for (auto &[name, state] : m_executors) {
        if (!state.isListed && state.leavingAt)
            state.leavingAt = m_clock.now();
    }
    evictGone();
}

void ExecutorDrain::setPlannedStops(std::set<std::string> executors)
{
    m_plannedStops = std::move(executors);
}

void ExecutorDrain::leaveAnnounced(const std::string &executor)
{
    const auto found = m_executors.find(executor);
    if (found != m_executors.end())
        found->second.leavingAt = m_clock.now();
}

void ExecutorDrain::connectFailed(const std::string &executor)
{
    const auto found = m_executors.find(executor);
    if (found == m_executors.end())
        return;
    State &state = found->second;
    ++state.failures;
    if (!isUnreachable(state))
        return;
    const int doublings = std::min(state.failures - m_options.failedConnects, 10);
    const Duration delay = m_options.probeDelay * (1 << doublings);
    state.probeAt = m_clock.now() + std::min(delay, m_options.maxProbeDelay);
}

void ExecutorDrain::connectSucceeded(const std::string &executor)
{
    const auto found = m_executors.find(executor);
    if (found == m_executors.end())
        return;
    found->second.failures = 0;
    found->second.probeAt.reset();
}

bool ExecutorDrain::isUnreachable(const State &state) const noexcept
{
    return state.failures >= m_options.failedConnects;
}

bool ExecutorDrain::isLeaving(const State &state) const
{
    const bool hasRecentIndication =
            state.leavingAt && m_clock.now() < *state.leavingAt + m_options.returnDelay;
    return m_plannedStops.count(state.info.name) > 0 || hasRecentIndication || isUnreachable(state);
}

bool ExecutorDrain::isLeaving(const std::string &executor) const
{
    const auto found = m_executors.find(executor);
    return found != m_executors.end() && isLeaving(found->second);
}

std::vector<std::string> ExecutorDrain::probesDue() const
{
    std::vector<std::string> due;
    for (const auto &[name, state] : m_executors) {
        if (state.probeAt && *state.probeAt <= m_clock.now())
            due.push_back(name);
    }
    return due;
}

std::vector<ExecutorInfo> ExecutorDrain::executors() const
{
    std::vector<ExecutorInfo> all;
    for (const auto &[name, state] : m_executors) {
        all.push_back(state.info);
        all.back().isLeaving = isLeaving(state);
    }
    return all;
}

void ExecutorDrain::evictGone()
{
    for (auto each = m_executors.begin(); each != m_executors.end();) {
        const bool isGone = !each->second.isListed && isUnreachable(each->second);
        each = isGone ? m_executors.erase(each) : std::next(each);
    }
}

} // namespace anvilmill
