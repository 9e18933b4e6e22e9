#include "expiryqueue.h"

#include <algorithm>

namespace anvilmill::daemon {

void ExpiryQueue::push(MonotonicTime due, std::string id)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_entries.emplace(due, std::move(id));
}

void ExpiryQueue::remove(MonotonicTime due, const std::string &id)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto [first, last] = m_entries.equal_range(due);
    const auto found =
            std::find_if(first, last, [&](const auto &entry) { return entry.second == id; });
    if (found != last)
        m_entries.erase(found);
}

std::size_t ExpiryQueue::size() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_entries.size();
}

std::optional<MonotonicTime> ExpiryQueue::nextDue() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_entries.empty() ? std::nullopt : std::make_optional(m_entries.begin()->first);
}

std::vector<std::string> ExpiryQueue::takeDue(MonotonicTime now)
{
    std::vector<std::string> due;
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto last = m_entries.upper_bound(now);
    for (auto it = m_entries.begin(); it != last; ++it)
        due.push_back(std::move(it->second));
    m_entries.erase(m_entries.begin(), last);
    return due;
}

} // namespace anvilmill::daemon
