#include "runbook.h"

namespace anvilmill::daemon {

namespace {

/// A connection between hosts is made anew within a second; callers wait little longer.
constexpr Duration EndsKept = std::chrono::seconds(3);
/// 3 s of a host's starts at the target size of 390,000 a second over 135 hosts, doubled.
constexpr std::size_t MostEnds = 20000;

} // namespace

RunBook::RunBook(const Clock &clock)
    : m_clock(clock)
{
}

void RunBook::setOwner(const RunId &run, const std::string &host, const std::string &executor)
{
    m_owners[run] = {host, executor};
}

std::vector<std::pair<RunId, std::string>> RunBook::runsOf(const std::string &host) const
{
    std::vector<std::pair<RunId, std::string>> runs;
    for (const auto &[run, owner] : m_owners) {
        if (owner.host == host)
            runs.emplace_back(run, owner.executor);
    }
    return runs;
}

std::set<std::string> RunBook::owners() const
{
    std::set<std::string> hosts;
    for (const auto &[run, owner] : m_owners)
        hosts.insert(owner.host);
    return hosts;
}

std::string RunBook::ownerOf(const RunId &run) const
{
    const auto found = m_owners.find(run);
    return found == m_owners.end() ? std::string() : found->second.host;
}

void RunBook::ended(const RunEnd &end)
{
    m_owners.erase(end.run);
    m_ends[end.run] = end;
    const MonotonicTime now = m_clock.now();
    m_order.emplace_back(now, end.run);
    while (m_order.front().first + EndsKept < now || m_order.size() > MostEnds) {
        m_ends.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::optional<RunEnd> RunBook::endOf(const RunId &run) const
{
    const auto found = m_ends.find(run);
    return found == m_ends.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace anvilmill::daemon
