#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace anvilmill::daemon {

/// \brief Counts and logs the connections of one port that a limit has ended.
///
/// Writes at most one log line a second for each cause.
///
/// Thread safety: all methods may be called from any thread.
class LimitReport
{
public:
    /// Called for each connection with the port and the cause.
    using Counter = std::function<void(const std::string &port, const std::string &cause)>;

    /// Precondition: \p clock outlives the report.
    LimitReport(const Clock &clock, std::string port, Counter counter);

    void reached(const std::string &cause);

    [[nodiscard]] const std::string &port() const noexcept { return m_port; }
    [[nodiscard]] std::uint64_t countOf(const std::string &cause) const;
    /// \brief The number of connections for each cause.
    [[nodiscard]] std::map<std::string, std::uint64_t> counts() const;
    [[nodiscard]] std::uint64_t lines() const;

private:
    struct Cause
    {
        std::uint64_t count = 0;
        std::uint64_t logged = 0;
        MonotonicTime nextLine = MonotonicTime::min();
    };

    const Clock &m_clock;
    std::string m_port;
    Counter m_counter;
    mutable std::mutex m_lock;
    std::map<std::string, Cause> m_causes;
    std::uint64_t m_lines = 0;
};

/// \brief The causes for which a server refuses a request or closes a connection.
namespace limitcause {
inline constexpr const char *Header = "header";
inline constexpr const char *Framing = "framing";
inline constexpr const char *Body = "body";
inline constexpr const char *SlowRequest = "slowRequest";
inline constexpr const char *UnreadAnswer = "unreadAnswer";
inline constexpr const char *NoRequest = "noRequest";
inline constexpr const char *Connections = "connections";
inline constexpr const char *Memory = "memory";
inline constexpr const char *HostName = "hostName";
inline constexpr const char *OpenJobs = "openJobs";
inline constexpr const char *Waiters = "waiters";
} // namespace limitcause

} // namespace anvilmill::daemon
