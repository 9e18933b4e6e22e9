#pragma once

#include "peercontext.h"
#include "peeroutbox.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief Accepts connections of other entry hosts and dispatches their messages to the handlers.
///
/// Thread safety: reply() may be called from any thread, all other methods only on the transport's
/// thread or before it has started.
class PeerListener
{
public:
    /// \brief \p context must outlive the listener.
    explicit PeerListener(PeerContext &context);

    /// \brief Starts to listen and returns `address:port`. Throws std::exception on failure.
    [[nodiscard]] std::string listen();

    /// \brief Queues the reply to a request. Has no effect if the request's connection is closed.
    /// The reply is dropped if too many wait for peers to read them.
    void reply(const PeerMessage &request, nlohmann::json body);

    /// \brief Closes connections of peers that are silent or don't read, and flushes the outboxes of the
    /// others.
    void tick();

    void close();

private:
    struct Incoming;
    using Handle = websocketpp::connection_hdl;

    void onAccepted(const Handle &handle);
    void onOpen(const Handle &handle);
    void onClose(const Handle &handle);
    [[nodiscard]] bool onPing(const Handle &handle);
    /// Closes the oldest connection whose host is not known; false if none may be closed.
    [[nodiscard]] bool closeUnknown();
    void closeSocket(const Handle &handle);
    void onFrame(const Handle &handle, const std::string &payload);
    void onHello(Incoming &incoming, const wire::peer::Hello &hello);
    void deliver(const Incoming &incoming, wire::peer::Message &message);
    void flush(std::uint64_t id);
    void scheduleFlush(std::uint64_t id);
    void drop(const std::shared_ptr<Incoming> &incoming);
    [[nodiscard]] bool isUnread(Incoming &incoming, MonotonicTime now) const;
    [[nodiscard]] std::shared_ptr<Incoming> find(const Handle &handle) const;
    [[nodiscard]] std::shared_ptr<Incoming> find(std::uint64_t id) const;

    PeerContext &m_context;
    WebSocketServer m_server;
    std::uint64_t m_lastId = 0;
    std::map<Handle, std::uint64_t, std::owner_less<Handle>> m_ids;
    /// When each connection was accepted that has not named a known host.
    std::map<Handle, MonotonicTime, std::owner_less<Handle>> m_unknown;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<Incoming>> m_incoming;
    /// Replies queued or being sent, as of the last tick, and those queued since then.
    std::atomic<std::size_t> m_replyBytes{0};
};

} // namespace anvilmill::daemon
