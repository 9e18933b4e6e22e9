#include "sentstarts.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

/// Several times the 420 tasks that a host has in flight at the target size.
constexpr std::size_t MaxStartsOfHost = 2000;

} // namespace

SentStarts::Number SentStarts::add(const OpenRun &start)
{
    const Number number = ++m_last;
    m_numbers[{start.executor, start.run}] = number;
    m_starts.emplace(number, start);
    return number;
}

void SentStarts::settle(const RunId &run, const std::string &executor)
{
    const auto found = m_numbers.find({executor, run});
    if (found == m_numbers.end())
        return;
    m_settled.push_back(found->second);
    m_starts.erase(found->second);
    m_numbers.erase(found);
}

std::vector<SentStarts::Number> SentStarts::takeSettled()
{
    return std::exchange(m_settled, {});
}

std::vector<OpenRun> SentStarts::onExecutor(const std::string &executor) const
{
    std::vector<OpenRun> starts;
    for (auto entry = m_numbers.lower_bound({executor, RunId()});
         entry != m_numbers.end() && entry->first.first == executor; ++entry)
        starts.push_back(m_starts.at(entry->second));
    return starts;
}

void WitnessedStarts::add(const std::string &host, Number number, const OpenRun &start)
{
    auto &starts = m_starts[host];
    if (starts.size() >= MaxStartsOfHost)
        starts.erase(starts.begin());
    starts.insert_or_assign(number, start);
}

void WitnessedStarts::settle(const std::string &host, Number number)
{
    const auto found = m_starts.find(host);
    if (found == m_starts.end())
        return;
    found->second.erase(number);
    if (found->second.empty())
        m_starts.erase(found);
}

std::vector<OpenRun> WitnessedStarts::take(const std::string &host)
{
    std::vector<OpenRun> starts;
    const auto node = m_starts.extract(host);
    if (node.empty())
        return starts;
    for (const auto &[number, start] : node.mapped())
        starts.push_back(start);
    return starts;
}

std::set<std::string> WitnessedStarts::hosts() const
{
    std::set<std::string> hosts;
    for (const auto &[host, starts] : m_starts)
        hosts.insert(host);
    return hosts;
}

} // namespace anvilmill::daemon
