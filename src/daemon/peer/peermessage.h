#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/view.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmill::daemon {

/// \brief Component of an entry host that handles a message.
enum class PeerChannel {
    Membership = 1,
    Admission = 2,
    Configuration = 3,
    Dispatch = 4,
    Answers = 5,
};

/// \brief Destination of a message.
struct PeerTarget
{
    /// `address:port` of the peer.
    std::string address;
    /// If set, the message is dropped unless the peer at the address has this incarnation.
    std::optional<HostIncarnation> incarnation;
};

/// \brief A message received from another entry host.
struct PeerMessage
{
    HostIncarnation from;
    /// `address:port` at which the sender accepts connections.
    std::string fromAddress;
    PeerChannel channel = PeerChannel::Membership;
    nlohmann::json body;
    /// Request number; set if the sender expects a reply.
    std::optional<std::int64_t> request;
    /// Number of the connection that received the message.
    std::uint64_t connection = 0;
};

/// \brief Result of a request to a peer.
struct PeerReply
{
    enum class Outcome {
        Answered,
        /// The request was not sent and will not be.
        NotSent,
        /// The request was sent, but no reply was received before the timeout or the loss of the
        /// connection. The peer may have processed it.
        Lost,
    };

    Outcome outcome = Outcome::Lost;
    nlohmann::json body;
    HostIncarnation from;
    std::string reason;
};

using PeerHandler = std::function<void(const PeerMessage &)>;
using PeerReplyHandler = std::function<void(const PeerReply &)>;

/// \brief Limits and intervals of the peer transport.
struct PeerOptions
{
    /// `address:port` to listen at; port 0 selects a free port.
    std::string listenAddress = "127.0.0.1:0";
    std::size_t maxFrameBytes = 4U << 20U;
    /// Limit of the queue of one connection; further messages are dropped.
    std::size_t maxQueuedMessages = 20'000;
    std::size_t maxIncomingConnections = 1'024;
    /// Limit of the replies that wait for all peers to read them; further replies are dropped.
    std::size_t maxReplyBytes = 128U << 20U;
    /// Time without received data before a ping is sent.
    Duration pingInterval = std::chrono::seconds(1);
    /// Time without received data before a connection is replaced.
    Duration silenceTimeout = std::chrono::seconds(3);
    Duration connectTimeout = std::chrono::seconds(1);
    /// Bounds of the exponential backoff between connection attempts, before jitter.
    Duration minReconnectDelay = std::chrono::milliseconds(50);
    Duration maxReconnectDelay = std::chrono::seconds(2);
    /// Messages that are not requests are dropped after this time in the queue.
    Duration maxQueueAge = std::chrono::seconds(2);
    /// A connection that has sent no messages for this time is closed.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// \brief Counters of the peer transport since its start.
struct PeerStatistics
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesDropped = 0;
    std::uint64_t malformed = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsSilent = 0;
    /// Connections that others opened beyond maxIncomingConnections.
    std::uint64_t connectionsRefused = 0;
    /// Connections closed because the peer did not read its replies.
    std::uint64_t connectionsUnread = 0;
};

} // namespace anvilmill::daemon
