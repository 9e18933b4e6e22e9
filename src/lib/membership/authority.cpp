#include "anvilmill/membership/authority.h"

#include <algorithm>

namespace anvilmill {

Authority::Authority(const MembershipOptions &options)
    : m_options(options)
{
}

void Authority::adopt(std::uint64_t epoch, std::vector<HostIncarnation> others,
                      const std::set<HostIncarnation> &newcomers, MonotonicTime now)
{
    m_epoch = epoch;
    m_others = std::move(others);
    m_missing.clear();
    for (const HostIncarnation &member : m_others) {
        if (newcomers.count(member) == 0)
            m_missing.insert(member);
    }
    m_activationStart = now;
    m_confirmedUntil = MonotonicTime();
    m_promises.clear();
}

void Authority::end()
{
    m_epoch = 0;
    m_others.clear();
    m_missing.clear();
    m_promises.clear();
    m_confirmedUntil = MonotonicTime();
}

void Authority::restartAfterLapse(MonotonicTime now)
{
    const MonotonicTime end = until();
    const bool isFirst = end == MonotonicTime();
    if (now < (isFirst ? m_activationStart + m_options.authorityWait() : end))
        return;
    m_activationStart = now;
    m_missing = {m_others.begin(), m_others.end()};
    m_confirmedUntil = MonotonicTime();
    m_promises.clear();
}

void Authority::confirm(MonotonicTime requestedAt, MonotonicTime now)
{
    restartAfterLapse(now);
    m_confirmedUntil = std::max(m_confirmedUntil, requestedAt + m_options.authorityLength());
}

void Authority::promise(const HostIncarnation &member, MonotonicTime requestedAt, Duration length,
                        MonotonicTime now)
{
    restartAfterLapse(now);
    MonotonicTime &end = m_promises[member];
    end = std::max(end, requestedAt + m_options.promiseValidity(length));
}

void Authority::allowPromises(bool isAllowed)
{
    m_promisesAllowed = isAllowed;
}

void Authority::acknowledge(const HostIncarnation &member, MonotonicTime requestedAt)
{
    if (requestedAt >= m_activationStart)
        m_missing.erase(member);
}

MonotonicTime Authority::promisedUntil() const
{
    // In a view of one host, no other member's promise prevents the host from being replaced.
    if (!m_promisesAllowed || m_others.empty())
        return {};
    MonotonicTime earliest = MonotonicTime::max();
    for (const HostIncarnation &member : m_others) {
        const auto entry = m_promises.find(member);
        if (entry == m_promises.end())
            return {};
        earliest = std::min(earliest, entry->second);
    }
    return earliest;
}

MonotonicTime Authority::until() const
{
    return std::max(m_confirmedUntil, promisedUntil());
}

bool Authority::isActivated(MonotonicTime now) const
{
    return m_missing.empty() || now >= m_activationStart + m_options.authorityWait();
}

bool Authority::mayAct(MonotonicTime now) const
{
    return m_epoch != 0 && now < until() && isActivated(now);
}

bool Authority::isWaitingForMembers(MonotonicTime now) const
{
    return m_epoch != 0 && !isActivated(now);
}

} // namespace anvilmill
