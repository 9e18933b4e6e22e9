#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::fakes {

/// \brief In-memory key-value store with configurable faults. Thread safety: one thread at a time.
class ScriptedStore final : public KeyValueStore
{
public:
    using Entries = std::map<std::string, StoreEntry>;

    /// Calls fail with Unreachable while true.
    bool isDown = false;
    /// Number of subsequent puts that take effect but end as Unknown.
    int repliesToLose = 0;
    /// Number of subsequent puts that end as Unknown without taking effect.
    int putsToLose = 0;
    /// Number of calls after which the store goes down; negative for never.
    int callsUntilDown = -1;
    /// Called before each put takes effect.
    std::function<void(const StorePut &)> beforePut;

    [[nodiscard]] const Entries &entries() const noexcept { return m_entries; }
    /// How often a put with \p changeId took effect.
    [[nodiscard]] int writesOf(const std::string &changeId) const;
    [[nodiscard]] int calls() const noexcept { return m_calls; }
    [[nodiscard]] std::size_t largestValue() const;

    /// \brief Replaces the contents with an earlier result of entries().
    void restore(const Entries &entries) { m_entries = entries; }

    [[nodiscard]] StoreReply get(const std::string &key, Duration timeout) override;
    [[nodiscard]] StoreReply put(const StorePut &change, Duration timeout) override;
    [[nodiscard]] StoreReply watch(const std::string &key, StoreVersion known,
                                   Duration wait) override;
    [[nodiscard]] LeaseReply grantLease(const std::string &holder, Duration length,
                                        Duration timeout) override;
    [[nodiscard]] LeaseReply renewLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply queryLeases(const std::vector<LeaseId> &leases,
                                         Duration timeout) override;
    [[nodiscard]] LeaseReply releaseLease(LeaseId lease, Duration timeout) override;

private:
    [[nodiscard]] bool countCall();

    Entries m_entries;
    std::map<std::string, int> m_writes;
    int m_calls = 0;
};

inline StoreReply unreachable()
{
    return {CallOutcome::Unreachable, std::nullopt, "store is down"};
}

inline int ScriptedStore::writesOf(const std::string &changeId) const
{
    const auto found = m_writes.find(changeId);
    return found == m_writes.end() ? 0 : found->second;
}

inline std::size_t ScriptedStore::largestValue() const
{
    std::size_t largest = 0;
    for (const auto &[key, entry] : m_entries)
        largest = std::max(largest, entry.value.size());
    return largest;
}

inline bool ScriptedStore::countCall()
{
    ++m_calls;
    if (callsUntilDown == 0)
        isDown = true;
    if (callsUntilDown >= 0)
        --callsUntilDown;
    return !isDown;
}

inline StoreReply ScriptedStore::get(const std::string &key, Duration /*timeout*/)
{
    if (!countCall())
        return unreachable();
    StoreReply reply;
    reply.outcome = CallOutcome::Done;
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        reply.entry = found->second;
    return reply;
}

inline StoreReply ScriptedStore::put(const StorePut &change, Duration /*timeout*/)
{
    if (!countCall())
        return unreachable();
    // Calls a copy, because the hook may replace itself.
    if (const auto hook = beforePut)
        hook(change);
    if (putsToLose > 0) {
        --putsToLose;
        return {CallOutcome::Unknown, std::nullopt, "reply lost"};
    }
    const auto found = m_entries.find(change.key);
    const StoreVersion version = found == m_entries.end() ? NoVersion : found->second.version;
    if (version != change.expected) {
        StoreReply conflict;
        conflict.outcome = CallOutcome::Conflict;
        if (found != m_entries.end())
            conflict.entry = found->second;
        return conflict;
    }
    const StoreEntry entry = {change.key, change.value, version + 1, change.changeId};
    m_entries[change.key] = entry;
    ++m_writes[change.changeId];
    if (repliesToLose > 0) {
        --repliesToLose;
        return {CallOutcome::Unknown, std::nullopt, "reply lost"};
    }
    return {CallOutcome::Done, entry, ""};
}

inline StoreReply ScriptedStore::watch(const std::string &key, StoreVersion known, Duration wait)
{
    StoreReply reply = get(key, wait);
    const StoreVersion version = reply.entry ? reply.entry->version : NoVersion;
    if (reply.isDone() && version == known)
        reply.outcome = CallOutcome::Unchanged;
    return reply;
}

inline LeaseReply ScriptedStore::grantLease(const std::string & /*holder*/, Duration /*length*/,
                                            Duration /*timeout*/)
{
    return {};
}

inline LeaseReply ScriptedStore::renewLeases(const std::vector<LeaseId> & /*leases*/,
                                             Duration /*timeout*/)
{
    return {};
}

inline LeaseReply ScriptedStore::queryLeases(const std::vector<LeaseId> & /*leases*/,
                                             Duration /*timeout*/)
{
    return {};
}

inline LeaseReply ScriptedStore::releaseLease(LeaseId /*lease*/, Duration /*timeout*/)
{
    return {};
}

} // namespace anvilmill::fakes
