#pragma once

#include "anvilmill/clock.h"
#include "loop/httpclient.h"
#include "loop/timerqueue.h"
#include "record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

using anvilmill::Clock;
using anvilmill::Duration;
using anvilmill::MonotonicTime;
using anvilmill::daemon::HttpCallResult;

/// \brief One entry host as the platform's balancer knows it.
struct Host
{
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
};

/// \brief The job that a client hands in.
struct JobRequest
{
    std::string id;
    std::string kind;
    std::vector<int> workMillis;
    int milliCores = 14000;
    int estimateMillis = 0;
    Duration wait{};
};

/// \brief Stand-in of the platform's balancer and of its clients' connections.
///
/// Each request uses a connection of its own, which is closed when the client stops waiting.
///
/// Thread safety: used by the loop's thread alone.
class Clients
{
public:
    using Handler = std::function<void(const HttpCallResult &)>;

    /// Precondition: the references outlive the object.
    Clients(boost::asio::io_context &loop, anvilmill::daemon::TimerQueue &timers, Record &record,
            std::vector<Host> hosts);
    ~Clients();

    /// \brief Asks the hosts once a second whether they are ready.
    void checkReadiness();

    /// \brief The host to which the balancer forwards a connection of client \p client from \p zone;
    /// not \p excluded, if another one is ready.
    [[nodiscard]] std::size_t hostFor(const std::string &zone, std::size_t client,
                                      std::optional<std::size_t> excluded = std::nullopt) const;

    [[nodiscard]] std::size_t readyHosts() const;
    [[nodiscard]] const Host &host(std::size_t index) const { return m_hosts[index]; }

    /// \brief Submits \p job at \p host; \p handler is called with the response, or with the reason
    /// for which there is none.
    void submit(const JobRequest &job, std::size_t host, Handler handler);

    /// \brief Cancels a job at \p host, or at \p address if it is not empty.
    void cancel(const JobRequest &job, std::size_t host, const std::string &address,
                Handler handler);

private:
    void send(const std::string &address, anvilmill::daemon::HttpCall call, Handler handler);
    void checkHost(std::size_t host);

    boost::asio::io_context &m_loop;
    anvilmill::daemon::TimerQueue &m_timers;
    Record &m_record;
    std::vector<Host> m_hosts;
    std::vector<int> m_misses;
    std::map<std::uint64_t, std::unique_ptr<anvilmill::daemon::HttpClient>> m_open;
    std::uint64_t m_last = 0;
};

/// The name under which the clients reach the routes.
extern const char *const RouteHost;

} // namespace review
