#include "peerclocks.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// The clocks of two machines drift apart by less than a millisecond in this time.
constexpr Duration EstimateLifetime = std::chrono::seconds(10);

std::int64_t asMicroseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

void PeerClocks::stamp(wire::meshframe::MeshFrame &frame, const std::string &host,
                       Duration now) const
{
    stampForAll(frame, now);
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end())
        frame.echoUs = asMicroseconds(now - peer->second.behind);
}

void PeerClocks::stampForAll(wire::meshframe::MeshFrame &frame, Duration now)
{
    frame.sentUs = asMicroseconds(now);
}

void PeerClocks::received(const wire::meshframe::MeshFrame &frame, Duration now)
{
    if (!frame.sentUs)
        return;
    const Duration sent = std::chrono::microseconds(*frame.sentUs);
    const auto entry = m_peers.emplace(frame.host, Peer{now - sent, now, {}, {}}).first;
    Peer &peer = entry->second;
    // A frame that has waited here tells less of the peer's clock than an earlier one.
    if (now - sent <= peer.behind || now - peer.behindFound >= EstimateLifetime) {
        peer.behind = now - sent;
        peer.behindFound = now;
    }
    const Duration echo = std::chrono::microseconds(frame.echoUs.value_or(0));
    // No peer has seen a later time than now: it has seen that of an earlier boot of this machine.
    if (!frame.echoUs || echo > now)
        return;
    const Duration ahead = echo - sent;
    if (peer.ahead && *peer.ahead >= ahead && now - peer.aheadFound < EstimateLifetime)
        return;
    peer.ahead = ahead;
    peer.aheadFound = now;
}

std::optional<Duration> PeerClocks::ageOf(const wire::meshframe::MeshFrame &frame,
                                          Duration now) const
{
    const auto peer = m_peers.find(frame.host);
    if (!frame.sentUs || peer == m_peers.end() || !peer->second.ahead)
        return std::nullopt;
    const Duration sent = std::chrono::microseconds(*frame.sentUs) + *peer->second.ahead;
    return std::max(Duration{}, now - sent);
}

} // namespace anvilmill::daemon
