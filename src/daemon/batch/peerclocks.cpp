#include "peerclocks.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// No machine runs for a hundred years; a later time in a frame is malformed.
constexpr std::int64_t MaxMicroseconds = 100LL * 365 * 24 * 3600 * 1000 * 1000;

/// The clocks of two machines drift apart by less than a millisecond in this time.
constexpr Duration EstimateLifetime = std::chrono::seconds(10);

std::int64_t asMicroseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

/// The time in a frame; std::nullopt if it is absent or malformed.
std::optional<Duration> timeOf(std::optional<std::int64_t> microseconds)
{
    if (!microseconds || *microseconds < 0 || *microseconds > MaxMicroseconds)
        return std::nullopt;
    return std::chrono::microseconds(*microseconds);
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
    const auto sent = timeOf(frame.sentUs);
    if (!sent)
        return;
    const auto entry = m_peers.emplace(frame.host, Peer{now - *sent, now, {}, {}}).first;
    Peer &peer = entry->second;
    // A frame that has waited here tells less of the peer's clock than an earlier one.
    if (now - *sent <= peer.behind || now - peer.behindFound >= EstimateLifetime) {
        peer.behind = now - *sent;
        peer.behindFound = now;
    }
    const auto echo = timeOf(frame.echoUs);
    // No peer has seen a later time than now: it has seen that of an earlier boot of this machine.
    if (!echo || *echo > now)
        return;
    const Duration ahead = *echo - *sent;
    if (peer.ahead && *peer.ahead >= ahead && now - peer.aheadFound < EstimateLifetime)
        return;
    peer.ahead = ahead;
    peer.aheadFound = now;
}

std::optional<Duration> PeerClocks::ageOf(const wire::meshframe::MeshFrame &frame,
                                          Duration now) const
{
    const auto peer = m_peers.find(frame.host);
    const auto sent = timeOf(frame.sentUs);
    if (!sent || peer == m_peers.end() || !peer->second.ahead)
        return std::nullopt;
    return std::max(Duration{}, now - (*sent + *peer->second.ahead));
}

} // namespace anvilmill::daemon
