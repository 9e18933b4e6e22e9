#include "runregistry.h"

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
    m_owners[{run, executor}] = host;
    m_ends.erase({run, executor});
}

std::vector<std::pair<RunId, std::string>> RunBook::runsOf(const std::string &host) const
{
    std::vector<std::pair<RunId, std::string>> runs;
    for (const auto &[key, owner] : m_owners) {
        if (owner == host)
            runs.push_back(key);
    }
    return runs;
}

std::set<std::string> RunBook::owners() const
{
    std::set<std::string> hosts;
    for (const auto &[key, owner] : m_owners)
        hosts.insert(owner);
    return hosts;
}

std::string RunBook::ownerOf(const RunId &run, const std::string &executor) const
{
    const auto found = m_owners.find({run, executor});
    return found == m_owners.end() ? std::string() : found->second;
}

void RunBook::ended(const RunEnd &end, const std::string &executor)
{
    const Key key(end.run, executor);
    m_ends[key] = {end, ownerOf(end.run, executor)};
    m_owners.erase(key);
    const MonotonicTime now = m_clock.now();
    m_order.emplace_back(now, key);
    while (m_order.front().first + EndsKept < now || m_order.size() > MostEnds) {
        m_ends.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::optional<RunEnd> RunBook::endOf(const RunId &run, const std::string &host,
                                     const std::string &executor) const
{
    const auto found = m_ends.find({run, executor});
    if (found == m_ends.end() || found->second.host != host)
        return std::nullopt;
    return found->second.end;
}

} // namespace anvilmill::daemon
