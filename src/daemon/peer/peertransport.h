#pragma once

#include "anvilmill/clock.h"
#include "peermessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief Exchanges messages between entry hosts as CBOR over WebSocket.
///
/// Messages queued for the same peer are sent in one frame. Connections are opened on first use,
/// and reopened with backoff and jitter when they break or the peer stops responding. Delivery is
/// at most once: a message is lost if its connection breaks; the transport never resends it.
///
/// Handlers run on the transport's thread, one at a time, and must not block. An exception thrown
/// by a handler is logged and counted as a malformed message.
///
/// \code
/// PeerTransport transport(self, options, clock);
/// transport.setHandler(PeerChannel::Admission, [&](const PeerMessage &message) {
///     transport.reply(message, answerTo(message.body));
/// });
/// transport.start();
/// transport.send({"10.0.0.2:7100", {}}, PeerChannel::Admission, body);
/// \endcode
///
/// Thread safety: all methods may be called from any thread, except setHandler(), start() and
/// stop(), which only the owner may call, one at a time.
class PeerTransport
{
public:
    /// \brief \p clock must outlive the transport.
    PeerTransport(HostIncarnation self, PeerOptions options, const Clock &clock);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// \brief Sets the handler of a channel. Precondition: start() has not been called.
    void setHandler(PeerChannel channel, PeerHandler handler);

    /// \brief Accepts large frames only from hosts for which \p check returns true.
    ///
    /// Called on the transport's thread. Precondition: start() has not been called.
    void setHostCheck(std::function<bool(const HostIncarnation &)> check);

    /// \brief Starts to accept connections. Throws std::exception if listening fails.
    void start();

    /// \brief Closes all connections. Outstanding requests fail before it returns. Idempotent.
    void stop();

    /// \brief `address:port` at which this transport accepts connections; valid after start().
    [[nodiscard]] std::string address() const;

    [[nodiscard]] const HostIncarnation &self() const noexcept;

    /// \brief Queues a message. Returns false if it was dropped because the queue is full or the
    /// transport has stopped.
    bool send(const PeerTarget &target, PeerChannel channel, nlohmann::json body);

    /// \brief Queues a request; \p onReply is called once, at the latest after \p timeout.
    ///
    /// \p onReply runs on the transport's thread, or within this call if the request can't be
    /// queued. While no connection to the peer can be opened, requests fail as NotSent at once.
    void request(const PeerTarget &target, PeerChannel channel, nlohmann::json body,
                 Duration timeout, PeerReplyHandler onReply);

    /// \brief Replies to a request on the connection that received it.
    ///
    /// Has no effect if that connection is closed or \p message is not a request.
    void reply(const PeerMessage &message, nlohmann::json body);

    /// \brief The incarnation in the last hello received from \p address, if any.
    [[nodiscard]] std::optional<HostIncarnation> incarnationAt(const std::string &address) const;

    [[nodiscard]] PeerStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace anvilmill::daemon
