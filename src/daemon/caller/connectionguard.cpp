#include "connectionguard.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <iterator>

#include <linux/sockios.h>

namespace anvilmill::daemon {

namespace {

constexpr Duration SweepInterval = std::chrono::milliseconds(50);
/// A client sends its request sooner than this after connecting, even over a slow link.
constexpr Duration SilenceGrace = std::chrono::seconds(1);
/// Tolerates short coverage gaps of mobile clients.
constexpr Duration StallGrace = std::chrono::seconds(3);

} // namespace

ConnectionGuard::ConnectionGuard(const Clock &clock, std::size_t threads,
                                 const ConnectionTimes &times, LimitReport &report)
    : m_clock(clock)
    , m_threads(threads)
    , m_times(times)
    , m_report(report)
    , m_sweeper([this] { sweepLoop(); })
{
}

ConnectionGuard::~ConnectionGuard()
{
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_isStopping = true;
    }
    m_stop.notify_all();
    m_sweeper.join();
}

bool ConnectionGuard::accept(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const MonotonicTime now = m_clock.now();
    m_connections.push_back({socket, Phase::Silent, now, 0, now});
    m_bySocket[socket.impl()] = std::prev(m_connections.end());
    return true;
}

ConnectionGuard::Request::Request(ConnectionGuard &guard, const Poco::Net::StreamSocket &socket)
    : m_guard(guard)
    , m_socket(socket)
{
    m_guard.enter(m_socket.impl(), Phase::Handling);
}

ConnectionGuard::Request::~Request()
{
    m_guard.enter(m_socket.impl(), Phase::Idle);
}

void ConnectionGuard::Request::receiving()
{
    m_guard.enter(m_socket.impl(), Phase::Receiving);
}

void ConnectionGuard::Request::received()
{
    m_guard.enter(m_socket.impl(), Phase::Handling);
}

bool ConnectionGuard::Request::isShutDown() const
{
    return m_guard.isShutDown(m_socket.impl());
}

bool ConnectionGuard::Request::isClientDisconnected() const
{
    try {
        return m_socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ)
               && m_socket.available() == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

bool ConnectionGuard::isShutDown(const Poco::Net::SocketImpl *socket)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_bySocket.find(socket);
    return found != m_bySocket.end() && found->second->phase == Phase::Closed;
}

void ConnectionGuard::enter(const Poco::Net::SocketImpl *socket, Phase phase)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_bySocket.find(socket);
    if (found == m_bySocket.end() || found->second->phase == Phase::Closed)
        return;
    found->second->phase = phase;
    found->second->since = m_clock.now();
    m_connections.splice(m_connections.end(), m_connections, found->second);
}

void ConnectionGuard::sweep()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    removeClosed();
    const MonotonicTime now = m_clock.now();
    std::size_t waiting = m_connections.size() - std::min(m_connections.size(), m_threads);
    for (Connection &connection : m_connections) {
        measureProgress(connection, now);
        if (hasExpired(connection, now)) {
            m_report.reached(expiryCause(connection));
            shutDown(connection);
        } else if (waiting > 0 && mayGiveWay(connection, now)) {
            m_report.reached(limitcause::Connections);
            shutDown(connection);
            --waiting;
        }
    }
}

void ConnectionGuard::removeClosed()
{
    for (auto each = m_connections.begin(); each != m_connections.end();) {
        // The server has dropped a connection for which there was no place in its queue.
        const bool isDropped = each->socket.impl()->referenceCount() == 1;
        if (each->socket.impl()->initialized() && !isDropped) {
            ++each;
            continue;
        }
        m_bySocket.erase(each->socket.impl());
        each = m_connections.erase(each);
    }
}

// The functions of the HTTP library that send ignore errors, so a timeout of the socket doesn't end the
// connection of a client that reads nothing.
void ConnectionGuard::measureProgress(Connection &connection, MonotonicTime now)
{
    int unacknowledged = 0;
    if (connection.phase == Phase::Handling || connection.phase == Phase::Idle) {
        try {
            connection.socket.impl()->ioctl(SIOCOUTQ, unacknowledged);
        } catch (const Poco::Exception &) {
            unacknowledged = 0; // Closed meanwhile.
        }
    }
    if (unacknowledged == 0 || unacknowledged != connection.unacknowledged)
        connection.stalledSince = now;
    connection.unacknowledged = unacknowledged;
    if (connection.phase == Phase::Idle && unacknowledged > 0)
        connection.since = now;
}

// The HTTP library sends the end of an answer after the request has been handled.
bool ConnectionGuard::isAnswering(const Connection &connection)
{
    return connection.phase == Phase::Handling
           || (connection.phase == Phase::Idle && connection.unacknowledged > 0);
}

bool ConnectionGuard::hasExpired(const Connection &connection, MonotonicTime now) const
{
    if (isAnswering(connection))
        return now - connection.stalledSince > m_times.unread;
    const Duration waited = now - connection.since;
    switch (connection.phase) {
    case Phase::Silent:
        return waited > m_times.header && !hasUnreadBytes(connection);
    case Phase::Idle:
        return waited > m_times.idle && !hasUnreadBytes(connection);
    case Phase::Receiving:
        return waited > m_times.body;
    case Phase::Handling:
    case Phase::Closed:
        return false;
    }
    return false;
}

const char *ConnectionGuard::expiryCause(const Connection &connection)
{
    if (isAnswering(connection))
        return limitcause::UnreadAnswer;
    return connection.phase == Phase::Receiving ? limitcause::SlowRequest : limitcause::NoRequest;
}

bool ConnectionGuard::mayGiveWay(const Connection &connection, MonotonicTime now) const
{
    const Duration waited = now - connection.since;
    if (connection.phase == Phase::Closed)
        return false;
    if (isAnswering(connection))
        return now - connection.stalledSince >= StallGrace;
    if (connection.phase == Phase::Receiving)
        return waited >= m_times.slowBody;
    return waited >= SilenceGrace && !hasUnreadBytes(connection);
}

// Bytes that nobody reads belong to a request whose connection waits for a thread.
bool ConnectionGuard::hasUnreadBytes(const Connection &connection)
{
    try {
        return connection.socket.available() > 0;
    } catch (const Poco::Exception &) {
        return false; // Closed meanwhile.
    }
}

// The thread that serves the connection then reads its end.
void ConnectionGuard::shutDown(Connection &connection)
{
    connection.phase = Phase::Closed;
    try {
        connection.socket.shutdown();
    } catch (const Poco::Exception &) {
        // The client has closed it meanwhile.
    }
}

void ConnectionGuard::sweepLoop()
{
    std::unique_lock<std::mutex> guard(m_lock);
    while (!m_stop.wait_for(guard, SweepInterval, [this] { return m_isStopping; })) {
        guard.unlock();
        sweep();
        guard.lock();
    }
}

} // namespace anvilmill::daemon
