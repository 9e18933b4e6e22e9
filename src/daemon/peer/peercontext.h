#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/randomsource.h"
#include "peermessage.h"
#include "websocket.h"

#include "peer.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Counters of the transport, updated by its thread and by sending threads.
struct PeerCounters
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> framesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> messagesSent{0};
    std::atomic<std::uint64_t> messagesDropped{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> connectionsOpened{0};
    std::atomic<std::uint64_t> connectionsSilent{0};
    std::atomic<std::uint64_t> connectionsRefused{0};
    std::atomic<std::uint64_t> connectionsUnread{0};

    [[nodiscard]] PeerStatistics asStatistics() const;
};

/// \brief State shared by all connections of one transport.
///
/// Thread safety: used only on the transport's thread, except for the counters and the constant
/// members.
struct PeerContext
{
    PeerContext(HostIncarnation selfIncarnation, PeerOptions peerOptions, const Clock &peerClock);

    const HostIncarnation self;
    const PeerOptions options;
    const Clock &clock;
    PeerCounters counters;
    std::string address;
    std::map<PeerChannel, PeerHandler> handlers;
    /// Large frames are accepted only from known hosts. Without a check, all hosts are known.
    std::function<bool(const HostIncarnation &)> hostCheck;
    SeededRandom random;
    boost::asio::io_context io;
    WebSocketClient client;

    /// \brief Calls the handler of the message's channel. An exception thrown by the handler is
    /// reported as a malformed message.
    void dispatch(const PeerMessage &message);

    [[nodiscard]] bool isKnownHost(const HostIncarnation &host) const
    {
        return !hostCheck || hostCheck(host);
    }

    /// \brief Counts and logs a malformed frame or message.
    void reportMalformed(const std::string &from, const std::string &reason);
};

/// \brief Packs messages into frames of at most \p maxBytes.
///
/// A message that does not fit into a frame by itself is omitted and its index is appended to
/// \p tooLarge.
[[nodiscard]] std::vector<std::string> packFrames(const std::vector<wire::peer::Message> &messages,
                                                  std::size_t maxBytes,
                                                  std::vector<std::size_t> &tooLarge);

} // namespace anvilmill::daemon
