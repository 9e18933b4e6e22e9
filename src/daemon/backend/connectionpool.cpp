#include "connectionpool.h"

#include <Poco/Net/NetException.h>

namespace anvilmill::daemon {

namespace {

Poco::Timespan asTimespan(Duration duration)
{
    return {std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

/// An idle connection that is readable was closed by the executor or received unexpected data.
bool isUsable(ConnectionPool::Session &session)
{
    return session.connected()
           && !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

} // namespace

ConnectionPool::PooledConnection::PooledConnection(ConnectionPool &pool, std::string executor,
                                                   std::unique_ptr<Session> session)
    : m_pool(pool)
    , m_executor(std::move(executor))
    , m_session(std::move(session))
{
}

ConnectionPool::PooledConnection::PooledConnection(PooledConnection &&other) noexcept
    : m_pool(other.m_pool)
    , m_executor(std::move(other.m_executor))
    , m_session(std::move(other.m_session))
    , m_isReusable(other.m_isReusable)
{
}

ConnectionPool::PooledConnection::~PooledConnection()
{
    if (m_session)
        m_pool.release(m_executor, std::move(m_session), m_isReusable);
}

ConnectionPool::ConnectionPool(const BackendLimits &limits)
    : m_limits(limits)
{
}

std::optional<ConnectionPool::PooledConnection> ConnectionPool::acquire(const std::string &executor)
{
    if (auto session = acquireIdle(executor))
        return PooledConnection(*this, executor, std::move(session));
    return acquireNew(executor);
}

std::optional<ConnectionPool::PooledConnection>
ConnectionPool::acquireNew(const std::string &executor)
{
    if (!reserve(executor))
        return std::nullopt;
    auto session = std::make_unique<Session>();
    try {
        const Poco::Net::SocketAddress address(executor);
        session->setHost(address.host().toString());
        session->setPort(address.port());
        session->setKeepAlive(true);
        session->setTimeout(asTimespan(m_limits.connectTimeout), asTimespan(m_limits.giveUp),
                            asTimespan(m_limits.giveUp));
        // Connects here, so that a failed connect can be distinguished from a failed request.
        session->socket().connect(address, asTimespan(m_limits.connectTimeout));
        session->socket().setNoDelay(true);
    } catch (const Poco::Exception &) {
        release(executor, nullptr, false);
        return std::nullopt;
    }
    return PooledConnection(*this, executor, std::move(session));
}

void ConnectionPool::closeIdle(const std::string &executor)
{
    std::vector<std::unique_ptr<Session>> idle;
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_executors.find(executor);
    if (found == m_executors.end())
        return;
    idle.swap(found->second.idle);
    found->second.open -= idle.size();
}

std::unique_ptr<ConnectionPool::Session> ConnectionPool::acquireIdle(const std::string &executor)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    PerExecutor &entry = m_executors[executor];
    while (!entry.idle.empty()) {
        std::unique_ptr<Session> session = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (isUsable(*session))
            return session;
        --entry.open;
    }
    return nullptr;
}

bool ConnectionPool::reserve(const std::string &executor)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    PerExecutor &entry = m_executors[executor];
    if (entry.open >= m_limits.connections)
        return false;
    ++entry.open;
    return true;
}

void ConnectionPool::release(const std::string &executor, std::unique_ptr<Session> session,
                             bool isReusable)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    PerExecutor &entry = m_executors[executor];
    if (isReusable && session && session->connected())
        entry.idle.push_back(std::move(session));
    else
        --entry.open;
}

} // namespace anvilmill::daemon
