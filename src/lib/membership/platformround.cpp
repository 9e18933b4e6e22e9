#include "anvilmill/membership/platformround.h"

namespace anvilmill {

PlatformAnswer perform(const PlatformCall &call, KeyValueStore &store, Duration timeout)
{
    PlatformAnswer answer;
    switch (call.kind) {
    case PlatformCall::Kind::Renew:
        answer.lease = store.renewLeases(call.leases, timeout);
        break;
    case PlatformCall::Kind::Query:
        answer.lease = store.queryLeases(call.leases, timeout);
        break;
    case PlatformCall::Kind::Read:
        answer.store = store.get(call.key, timeout);
        break;
    case PlatformCall::Kind::Grant:
        answer.lease = store.grantLease(call.holder, call.leaseLength, timeout);
        break;
    case PlatformCall::Kind::Write:
        answer.store = store.put(call.put, timeout);
        break;
    }
    return answer;
}

void LapsedLeases::update(const RoundFindings &findings, MonotonicTime now)
{
    for (const LeaseId lease : findings.lapsed)
        m_since.emplace(lease, now);
    for (const LeaseId lease : findings.held)
        m_since.erase(lease);
}

bool LapsedLeases::isLapsedFor(LeaseId lease, Duration age, MonotonicTime now) const
{
    const auto entry = m_since.find(lease);
    return entry != m_since.end() && now - entry->second >= age;
}

void LapsedLeases::keepOnly(const std::set<LeaseId> &known)
{
    for (auto entry = m_since.begin(); entry != m_since.end();)
        entry = known.count(entry->first) == 0 ? m_since.erase(entry) : std::next(entry);
}

} // namespace anvilmill
