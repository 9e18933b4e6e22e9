#include "runregistry.h"

namespace anvilmill::daemon {

namespace {

/// A connection between hosts is re-established within a second; callers wait little longer.
constexpr Duration EndRetention = std::chrono::seconds(3);
/// Twice a host's starts in 3 s at the target size: 390,000 a second over 135 hosts.
constexpr std::size_t MaxRetainedEnds = 20000;

} // namespace

RunRegistry::RunRegistry(const Clock &clock)
    : m_clock(clock)
{
}

void RunRegistry::setOwner(const RunId &run, const RunOwner &owner, const std::string &executor)
{
    m_owners[{run, executor}] = owner;
    m_ends.erase({run, executor});
}

std::vector<std::pair<RunId, std::string>> RunRegistry::runsOf(const std::string &host) const
{
    std::vector<std::pair<RunId, std::string>> runs;
    for (const auto &[key, owner] : m_owners) {
        if (owner.host == host)
            runs.push_back(key);
    }
    return runs;
}

std::set<std::string> RunRegistry::owners() const
{
    std::set<std::string> hosts;
    for (const auto &[key, owner] : m_owners)
        hosts.insert(owner.host);
    return hosts;
}

RunOwner RunRegistry::ownerOf(const RunId &run, const std::string &executor) const
{
    const auto found = m_owners.find({run, executor});
    return found == m_owners.end() ? RunOwner() : found->second;
}

void RunRegistry::ended(const RunEnd &end, const std::string &executor)
{
    const Key key(end.run, executor);
    m_ends[key] = {end, ownerOf(end.run, executor)};
    m_owners.erase(key);
    const MonotonicTime now = m_clock.now();
    m_order.emplace_back(now, key);
    while (m_order.front().first + EndRetention < now || m_order.size() > MaxRetainedEnds) {
        m_ends.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::optional<RunEnd> RunRegistry::endOf(const RunId &run, const RunOwner &owner,
                                         const std::string &executor) const
{
    const auto found = m_ends.find({run, executor});
    if (found == m_ends.end() || !(found->second.owner == owner))
        return std::nullopt;
    return found->second.end;
}

} // namespace anvilmill::daemon
