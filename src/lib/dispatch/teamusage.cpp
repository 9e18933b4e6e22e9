#include "anvilmill/dispatch/teamusage.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

/// A team recovers below this share of its quota.
constexpr double RecoveryThreshold = 0.9;

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TeamUsage::TeamUsage(Duration window) noexcept
    : m_window(window)
{
}

void TeamUsage::setQuota(std::size_t team, double share)
{
    teamAt(team).quota = share;
}

bool TeamUsage::add(std::size_t team, Duration work, MonotonicTime now, double capacity)
{
    Team &entry = teamAt(team);
    decay(entry, now);
    entry.work += work;
    if (entry.quota >= 1.0)
        return false;
    const Work bound = entry.quota * capacity * Work(m_window);
    const bool wasOver = entry.recoversAt.has_value();
    if (!wasOver && entry.work <= bound)
        return false;
    scheduleRecovery(team, bound);
    return !wasOver;
}

bool TeamUsage::isOverQuota(std::size_t team) const
{
    return team < m_teams.size() && m_teams[team].recoversAt.has_value();
}

std::optional<std::size_t> TeamUsage::nextRecovered(MonotonicTime now)
{
    if (m_recoveries.empty() || m_recoveries.begin()->first > now)
        return std::nullopt;
    const std::size_t team = m_recoveries.begin()->second;
    m_recoveries.erase(m_recoveries.begin());
    m_teams[team].recoversAt.reset();
    return team;
}

std::optional<MonotonicTime> TeamUsage::nextWakeTime() const
{
    if (m_recoveries.empty())
        return std::nullopt;
    return m_recoveries.begin()->first;
}

double TeamUsage::quotaOf(std::size_t team) const
{
    return team < m_teams.size() ? m_teams[team].quota : 1.0;
}

TeamUsage::Team &TeamUsage::teamAt(std::size_t team)
{
    if (m_teams.size() <= team)
        m_teams.resize(team + 1);
    return m_teams[team];
}

void TeamUsage::decay(Team &team, MonotonicTime now) const
{
    team.work *= std::exp(-asSeconds(now - team.updated) / asSeconds(m_window));
    team.updated = now;
}

void TeamUsage::scheduleRecovery(std::size_t index, Work bound)
{
    Team &team = m_teams[index];
    if (team.recoversAt)
        m_recoveries.erase({*team.recoversAt, index});
    const double ratio = std::max(1.0, team.work / (bound * RecoveryThreshold));
    const auto wait = std::chrono::duration_cast<Duration>(m_window * std::log(ratio));
    team.recoversAt = team.updated + wait;
    m_recoveries.emplace(*team.recoversAt, index);
}

} // namespace anvilmill
