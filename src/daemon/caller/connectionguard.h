#pragma once

#include "loop/limitreport.h"

#include "anvilmill/clock.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace anvilmill::daemon {

/// \brief Times after which the connections of a server are closed.
struct ConnectionTimes
{
    /// For the header of the first request.
    Duration header;
    /// For the body of a request.
    Duration body;
    /// Between requests, with the header of the next.
    Duration idle;
    /// Without progress in sending an answer.
    Duration unread;
    /// A body that takes longer makes room for connections that wait for a thread.
    Duration slowBody;
};

/// \brief Decides which connections of a server with one thread for each are closed, so that those of
/// clients that send nothing, or slowly, don't keep others waiting.
///
/// A connection is closed when it exceeds its times. While connections wait for a thread, those that have
/// sent nothing for a second, or whose bodies or clients are slow, make room, the longest waiting first.
///
/// Load pattern: more open connections than threads.
///
/// Thread safety: all methods may be called from any thread.
class ConnectionGuard final : public Poco::Net::TCPServerConnectionFilter
{
public:
    enum class Phase {
        /// No request has been received.
        Silent,
        /// Between requests. The end of the last answer may not have been sent yet.
        Idle,
        /// A body is being received.
        Receiving,
        /// A request is being handled or answered.
        Handling,
        /// Shut down by the guard.
        Closed,
    };

    /// Precondition: the references outlive the guard. \p threads: connections served at once.
    ConnectionGuard(const Clock &clock, std::size_t threads, const ConnectionTimes &times,
                    LimitReport &report);
    ~ConnectionGuard() override;

    bool accept(const Poco::Net::StreamSocket &socket) override;

    /// \brief Marks the connection during the lifetime of the object as one that has sent a request.
    class Request
    {
    public:
        Request(ConnectionGuard &guard, const Poco::Net::StreamSocket &socket);
        ~Request();
        Request(const Request &) = delete;
        Request &operator=(const Request &) = delete;

        /// \brief The body is being received from now on.
        void receiving();
        /// \brief The body has been received.
        void received();

        /// \brief True if the guard has shut the connection down.
        [[nodiscard]] bool isShutDown() const;

        /// \brief True if the client has closed the connection.
        [[nodiscard]] bool isClientDisconnected() const;

    private:
        ConnectionGuard &m_guard;
        Poco::Net::StreamSocket m_socket;
    };

    /// \brief Closes the connections that are due. Called by a thread of the guard.
    void sweep();

private:
    struct Connection
    {
        Poco::Net::StreamSocket socket;
        Phase phase = Phase::Silent;
        MonotonicTime since;
        /// Bytes that the client has not acknowledged, and since when their number is the same.
        int unacknowledged = 0;
        MonotonicTime stalledSince;
    };

    [[nodiscard]] bool isShutDown(const Poco::Net::SocketImpl *socket);
    void enter(const Poco::Net::SocketImpl *socket, Phase phase);
    void removeClosed();
    static void measureProgress(Connection &connection, MonotonicTime now);
    [[nodiscard]] static bool isAnswering(const Connection &connection);
    [[nodiscard]] bool hasExpired(const Connection &connection, MonotonicTime now) const;
    [[nodiscard]] static const char *expiryCause(const Connection &connection);
    [[nodiscard]] bool mayGiveWay(const Connection &connection, MonotonicTime now) const;
    [[nodiscard]] static bool hasUnreadBytes(const Connection &connection);
    static void shutDown(Connection &connection);
    void sweepLoop();

    const Clock &m_clock;
    std::size_t m_threads;
    ConnectionTimes m_times;
    LimitReport &m_report;
    std::mutex m_lock;
    /// In the order in which they were accepted, or finished a request.
    std::list<Connection> m_connections;
    std::unordered_map<const Poco::Net::SocketImpl *, std::list<Connection>::iterator> m_bySocket;
    std::condition_variable m_stop;
    bool m_isStopping = false;
    std::thread m_sweeper;
};

} // namespace anvilmill::daemon
