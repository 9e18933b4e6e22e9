#pragma once

#include "anvilmill/clock.h"
#include "loop/bytebudget.h"
#include "standinstate.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>
#include <string>

namespace anvilmill::daemon {

/// \brief Faults injected by the stand-in. May be changed at any time.
struct StandInFaults
{
    /// Every call is rejected with 503 and has no effect.
    std::atomic<bool> isDown{false};
    /// Delay of each response, in ticks of Duration.
    std::atomic<Duration::rep> answerDelay{0};
    /// Number of subsequent calls that take effect but get no response.
    std::atomic<int> repliesToLose{0};
};

/// \brief Small HTTP server that simulates the platform, for tests and the demo.
///
/// Implements the interface of docs/PLATFORM.md in memory, on threads of this process.
///
/// Thread safety: all methods may be called from any thread.
class PlatformStandIn
{
public:
    /// \brief Listens at \p address (`address:port`; port 0 selects a free port).
    ///
    /// Throws Poco::Exception if it can't listen. \p clock must outlive the server.
    PlatformStandIn(const std::string &address, const Clock &clock);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] StandInState &state() noexcept { return m_state; }
    [[nodiscard]] StandInFaults &faults() noexcept { return m_faults; }

    /// \brief Calls received since the start, including rejected ones.
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    class Factory;
    class Handler;

    StandInState m_state;
    StandInFaults m_faults;
    std::atomic<std::uint64_t> m_calls{0};
    std::shared_ptr<ByteBudget> m_bodies;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace anvilmill::daemon
