#include "hostnumbers.h"

#include <mutex>

namespace anvilmill {

namespace {

constexpr std::size_t MaxNameBytes = 255;

bool hasValidNames(const HostIncarnation &host)
{
    return host.dataCentre.size() <= MaxNameBytes && host.host.size() <= MaxNameBytes;
}

} // namespace

HostNumbers::HostNumbers(std::size_t maxUnlisted)
    : m_maxUnlisted(maxUnlisted)
{
}

std::optional<HostNumber> HostNumbers::numberOf(const HostIncarnation &host)
{
    if (const auto known = find(host))
        return known;
    const std::unique_lock<std::shared_mutex> guard(m_lock);
    const auto found = m_numbers.find(host);
    if (found != m_numbers.end())
        return found->second;
    if (m_unlisted >= m_maxUnlisted || !hasValidNames(host))
        return std::nullopt;
    ++m_unlisted;
    return addLocked(host);
}

HostNumber HostNumbers::addMember(const HostIncarnation &host)
{
    if (const auto known = find(host))
        return *known;
    const std::unique_lock<std::shared_mutex> guard(m_lock);
    return addLocked(host);
}

const HostIncarnation &HostNumbers::host(HostNumber number) const
{
    const std::shared_lock<std::shared_mutex> guard(m_lock);
    return m_hosts[number];
}

std::optional<HostNumber> HostNumbers::find(const HostIncarnation &host) const
{
    const std::shared_lock<std::shared_mutex> guard(m_lock);
    const auto found = m_numbers.find(host);
    return found == m_numbers.end() ? std::nullopt : std::make_optional(found->second);
}

HostNumber HostNumbers::addLocked(const HostIncarnation &host)
{
    const auto [entry, isNew] = m_numbers.emplace(host, static_cast<HostNumber>(m_hosts.size()));
    if (isNew)
        m_hosts.push_back(host);
    return entry->second;
}

} // namespace anvilmill
