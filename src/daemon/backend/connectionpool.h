#pragma once

#include "executorclient.h"

#include <Poco/Net/HTTPClientSession.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace anvilmill::daemon {

/// \brief Pool of keep-alive connections to executors, with a limit on the open connections per
/// executor.
///
/// Thread safety: all methods may be called from any thread.
class ConnectionPool
{
public:
    using Session = Poco::Net::HTTPClientSession;

    /// \brief A connection acquired from the pool. Returned to the pool, or closed, on destruction.
    ///
    /// Counts against the limit of its executor.
    class PooledConnection
    {
    public:
        PooledConnection(ConnectionPool &pool, std::string executor,
                         std::unique_ptr<Session> session);
        ~PooledConnection();
        PooledConnection(PooledConnection &&other) noexcept;
        PooledConnection(const PooledConnection &) = delete;
        PooledConnection &operator=(const PooledConnection &) = delete;
        PooledConnection &operator=(PooledConnection &&) = delete;

        [[nodiscard]] Session &session() noexcept { return *m_session; }

        /// \brief Marks the connection as reusable; otherwise it is closed on destruction.
        void markReusable() noexcept { m_isReusable = true; }

    private:
        ConnectionPool &m_pool;
        std::string m_executor;
        std::unique_ptr<Session> m_session;
        bool m_isReusable = false;
    };

    explicit ConnectionPool(const BackendLimits &limits);

    /// \brief Returns an idle connection that is still open, or else a new one.
    ///
    /// Returns std::nullopt, without having sent any byte, if connecting failed or the limit of the
    /// executor is reached.
    [[nodiscard]] std::optional<PooledConnection> acquire(const std::string &executor);

    /// \brief Returns a new connection, never an idle one. Fails as acquire() does.
    [[nodiscard]] std::optional<PooledConnection> acquireNew(const std::string &executor);

    void closeIdle(const std::string &executor);

private:
    struct PerExecutor
    {
        std::vector<std::unique_ptr<Session>> idle;
        std::size_t open = 0;
    };

    [[nodiscard]] std::unique_ptr<Session> acquireIdle(const std::string &executor);
    [[nodiscard]] bool reserve(const std::string &executor);
    void release(const std::string &executor, std::unique_ptr<Session> session, bool isReusable);

    BackendLimits m_limits;
    std::mutex m_lock;
    std::map<std::string, PerExecutor> m_executors;
};

} // namespace anvilmill::daemon
