#include "standinstate.h"

#include <iterator>

namespace anvilmill::daemon {

namespace {

constexpr std::size_t MaxEntryBytes = 64U << 20U;
constexpr std::size_t MaxLeases = 10000;
constexpr std::size_t MaxHolderBytes = 1000;

std::size_t bytesOf(const StoreEntry &entry)
{
    return 2 * entry.key.size() + entry.value.size() + entry.changeId.size();
}

} // namespace

StandInState::StandInState(const Clock &clock)
    : m_clock(clock)
{
}

std::optional<StoreEntry> StandInState::find(const std::string &key) const
{
    const auto entry = m_contents.entries.find(key);
    if (entry == m_contents.entries.end())
        return std::nullopt;
    return entry->second;
}

StoreReply StandInState::get(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    return {CallOutcome::Done, find(key), {}};
}

StoreReply StandInState::put(const StorePut &change)
{
    if (change.value.size() > MaxStoreValueSize)
        return {CallOutcome::Unreachable, {}, "value too large"};
    const std::lock_guard lock(m_mutex);
    const std::optional<StoreEntry> current = find(change.key);
    const std::size_t others = m_entryBytes - (current ? bytesOf(*current) : 0);
    if (others + bytesOf({change.key, change.value, 0, change.changeId}) > MaxEntryBytes)
        return {CallOutcome::Unreachable, {}, "the store is full"};
    const StoreVersion version = current ? current->version : NoVersion;
    if (version != change.expected)
        return {CallOutcome::Conflict, current, "version differs from the expected one"};
    StoreEntry &entry = m_contents.entries[change.key];
    entry = {change.key, change.value, version + 1, change.changeId};
    m_entryBytes = others + bytesOf(entry);
    m_changed.notify_all();
    return {CallOutcome::Done, entry, {}};
}

StoreReply StandInState::watch(const std::string &key, StoreVersion known, Duration wait)
{
    std::unique_lock lock(m_mutex);
    const auto isChanged = [&] {
        const auto current = find(key);
        return (current ? current->version : NoVersion) != known;
    };
    if (!m_changed.wait_for(lock, wait, isChanged))
        return {CallOutcome::Unchanged, {}, {}};
    return {CallOutcome::Done, find(key), {}};
}

LeaseReply StandInState::grantLease(const std::string &holder, Duration length)
{
    if (holder.size() > MaxHolderBytes)
        return {};
    const std::lock_guard lock(m_mutex);
    if (m_contents.leases.size() >= MaxLeases)
        removeLapsedLeases();
    if (m_contents.leases.size() >= MaxLeases)
        return {};
    const LeaseId id = ++m_lastLease;
    m_contents.leases[id] = {holder, length, m_clock.now() + length};
    return {CallOutcome::Done, {id}, {}, {}};
}

LeaseReply StandInState::renewLeases(const std::vector<LeaseId> &leases)
{
    const std::lock_guard lock(m_mutex);
    LeaseReply reply = classifyLeases(leases);
    for (const LeaseId id : reply.held) {
        Lease &lease = m_contents.leases[id];
        lease.end = m_clock.now() + lease.length;
    }
    for (const LeaseId id : reply.lapsed)
        m_contents.leases.erase(id);
    return reply;
}

LeaseReply StandInState::queryLeases(const std::vector<LeaseId> &leases) const
{
    const std::lock_guard lock(m_mutex);
    return classifyLeases(leases);
}

LeaseReply StandInState::releaseLease(LeaseId lease)
{
    const std::lock_guard lock(m_mutex);
    m_contents.leases.erase(lease);
    return {CallOutcome::Done, {}, {lease}, {}};
}

void StandInState::removeLapsedLeases()
{
    for (auto lease = m_contents.leases.begin(); lease != m_contents.leases.end();)
        lease = isHeld(lease->first) ? std::next(lease) : m_contents.leases.erase(lease);
}

bool StandInState::isHeld(LeaseId id) const
{
    const auto lease = m_contents.leases.find(id);
    return lease != m_contents.leases.end() && m_clock.now() < lease->second.end;
}

LeaseReply StandInState::classifyLeases(const std::vector<LeaseId> &leases) const
{
    LeaseReply reply;
    reply.outcome = CallOutcome::Done;
    for (const LeaseId id : leases)
        (isHeld(id) ? reply.held : reply.lapsed).push_back(id);
    return reply;
}

HostListReply StandInState::hosts(const std::string &dataCentre) const
{
    const std::lock_guard lock(m_mutex);
    HostListReply reply;
    reply.outcome = CallOutcome::Done;
    for (const ListedHost &host : m_contents.hosts) {
        if (dataCentre.empty() || host.dataCentre == dataCentre)
            reply.hosts.push_back(host);
    }
    return reply;
}

void StandInState::setHosts(std::vector<ListedHost> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_contents.hosts = std::move(hosts);
}

void StandInState::saveSnapshot()
{
    const std::lock_guard lock(m_mutex);
    m_snapshot = m_contents;
}

void StandInState::restoreSnapshot()
{
    const std::lock_guard lock(m_mutex);
    m_contents = m_snapshot;
    m_entryBytes = 0;
    for (const auto &entry : m_contents.entries)
        m_entryBytes += bytesOf(entry.second);
    m_changed.notify_all();
}

} // namespace anvilmill::daemon
