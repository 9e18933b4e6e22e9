#include "localplatform.h"

namespace anvilmill::daemon {

StoreReply LocalPlatform::get(const std::string &key, Duration)
{
    return m_state.get(key);
}

StoreReply LocalPlatform::put(const StorePut &change, Duration)
{
    return m_state.put(change);
}

StoreReply LocalPlatform::watch(const std::string &key, StoreVersion known, Duration wait)
{
    return m_state.watch(key, known, wait);
}

LeaseReply LocalPlatform::grantLease(const std::string &holder, Duration length, Duration)
{
    return m_state.grantLease(holder, length);
}

LeaseReply LocalPlatform::renewLeases(const std::vector<LeaseId> &leases, Duration)
{
    return m_state.renewLeases(leases);
}

LeaseReply LocalPlatform::queryLeases(const std::vector<LeaseId> &leases, Duration)
{
    return m_state.queryLeases(leases);
}

LeaseReply LocalPlatform::releaseLease(LeaseId lease, Duration)
{
    return m_state.releaseLease(lease);
}

HostListReply LocalPlatform::hosts(const std::string &dataCentre, Duration)
{
    return m_state.hosts(dataCentre);
}

} // namespace anvilmill::daemon
