#include "hostnames.h"

namespace anvilmill::daemon {

HostNames::HostNames(std::size_t maxUnlisted)
    : m_maxUnlisted(maxUnlisted)
{
}

bool HostNames::admit(const std::string &name)
{
    if (name.empty() || name.size() > MaxLength)
        return false;
    if (m_listed.count(name) > 0 || m_unlisted.count(name) > 0)
        return true;
    if (m_unlisted.size() >= m_maxUnlisted)
        return false;
    m_unlisted.insert(name);
    return true;
}

void HostNames::setListed(const std::vector<PeerHost> &hosts)
{
    for (const PeerHost &host : hosts) {
        m_listed.insert(host.name);
        m_unlisted.erase(host.name);
    }
}

} // namespace anvilmill::daemon
