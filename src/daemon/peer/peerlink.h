#pragma once

#include "peercontext.h"
#include "peeroutbox.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief Outgoing connection to one peer; reconnects when it breaks or the peer stops responding.
///
/// Thread safety: push() and incarnation() may be called from any thread, all other methods only
/// on the transport's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /// \brief \p context must outlive the link.
    PeerLink(PeerContext &context, std::string address);

    /// \brief Queues a message; false if the queue is full.
    [[nodiscard]] bool push(PeerOutgoing &outgoing);

    /// \brief The incarnation in the last hello received, if any.
    [[nodiscard]] std::optional<HostIncarnation> incarnation() const;

    /// \brief Handles timeouts, sends pings and replaces silent connections.
    void tick();

    /// \brief Closes the connection and fails every outstanding request.
    void close();

private:
    enum class State { Idle, Connecting, AwaitingHello, Ready, Backoff };

    struct Pending
    {
        PeerReplyHandler onReply;
        MonotonicTime deadline;
    };

    void scheduleFlush();
    void flush();
    void connect();
    void onOpen(std::uint64_t generation);
    void onFrame(const std::string &payload);
    void onHello(const wire::peer::Hello &hello);
    void onReplyReceived(wire::peer::Message &message);
    void disconnect(const std::string &reason);
    void scheduleReconnect(const std::string &reason);
    void dropExpired();
    void expireRequests();
    void checkConnection();
    void sendAll(std::vector<PeerOutgoing> outgoing);
    void sendFrame(const std::string &bytes);
    void registerRequest(PeerOutgoing &outgoing);
    void discard(PeerOutgoing &outgoing, const std::string &reason);
    [[nodiscard]] bool isForOtherIncarnation(const PeerOutgoing &outgoing) const;

    PeerContext &m_context;
    const std::string m_address;
    PeerOutbox m_outbox;
    State m_state = State::Idle;
    // Identifies the current connection; handlers of abandoned connections carry an older number.
    std::uint64_t m_generation = 0;
    WebSocketClient::connection_ptr m_connection;
    std::map<std::int64_t, Pending> m_pending;
    std::int64_t m_lastRequest = 0;
    int m_failedAttempts = 0;
    MonotonicTime m_stateSince;
    MonotonicTime m_nextAttempt;
    MonotonicTime m_lastReceived;
    MonotonicTime m_lastPing;
    MonotonicTime m_lastUse;
    mutable std::mutex m_peerMutex;
    std::optional<HostIncarnation> m_peer;
};

} // namespace anvilmill::daemon
