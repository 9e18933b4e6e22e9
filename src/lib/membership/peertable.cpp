#include "anvilmill/membership/peertable.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr std::size_t MaxRecordedHeartbeats = 256;

} // namespace

PeerTable::PeerTable(const MembershipOptions &options)
    : m_options(options)
{
}

PeerStatus &PeerTable::recordHeartbeat(const HostIncarnation &host, const std::string &address,
                                       std::int64_t sequence, MonotonicTime now)
{
    PeerStatus &peer = m_peers[host];
    peer.host = host;
    peer.address = address;
    peer.lastReceived = now;
    peer.sequence = std::max(peer.sequence, sequence);
    return peer;
}

const PeerStatus *PeerTable::find(const HostIncarnation &host) const
{
    const auto entry = m_peers.find(host);
    return entry == m_peers.end() ? nullptr : &entry->second;
}

bool PeerTable::isAlive(const HostIncarnation &host, MonotonicTime now) const
{
    const PeerStatus *peer = find(host);
    return peer && now - peer->lastReceived < m_options.suspectAfter;
}

std::vector<PeerStatus> PeerTable::alive(MonotonicTime now) const
{
    std::vector<PeerStatus> peers;
    for (const auto &entry : m_peers) {
        if (now - entry.second.lastReceived < m_options.suspectAfter)
            peers.push_back(entry.second);
    }
    return peers;
}

std::optional<MonotonicTime> PeerTable::lastReceived(const HostIncarnation &host) const
{
    const PeerStatus *peer = find(host);
    return peer ? std::optional(peer->lastReceived) : std::nullopt;
}

void PeerTable::removeSilent(MonotonicTime now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        const bool isSilent = now - entry->second.lastReceived > m_options.removeSilentAfter;
        entry = isSilent ? m_peers.erase(entry) : std::next(entry);
    }
}

std::int64_t PeerTable::beginHeartbeat(MonotonicTime now)
{
    m_sent.push_back(now);
    if (m_sent.size() > MaxRecordedHeartbeats)
        m_sent.pop_front();
    return ++m_lastSequence;
}

std::optional<MonotonicTime> PeerTable::sentAt(std::int64_t sequence) const
{
    const auto oldest = m_lastSequence - static_cast<std::int64_t>(m_sent.size()) + 1;
    if (sequence < oldest || sequence > m_lastSequence || sequence <= 0)
        return std::nullopt;
    return m_sent[static_cast<std::size_t>(sequence - oldest)];
}

} // namespace anvilmill
