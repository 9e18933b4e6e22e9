#pragma once

#include "anvilmill/clock.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief How a stand-in executor behaves. Every field may be changed while it runs.
struct ExecutorBehaviour
{
    /// The run time of a task is its nominal run time divided by this.
    std::atomic<double> speed{1.0};
    std::atomic<int> slots{8};
    /// Every task fails immediately.
    std::atomic<bool> failsAll{false};
    /// Every start is refused as not run.
    std::atomic<bool> refusesAll{false};
    /// Tasks are started and run, but no response is sent on the connection of the start.
    std::atomic<bool> isSilent{false};
};

/// \brief One start that a stand-in executor performed.
struct PerformedStart
{
    std::string task;
    std::string payload;
};

/// \brief Called for each start, with the executor's lock held.
using StartObserver = std::function<void(const PerformedStart &)>;

/// \brief Simulated executor for demonstrations, load tests and tests: an HTTP server that sleeps
/// instead of running tasks.
///
/// A task with the payload `sleep:MS[:TEXT]` runs for MS milliseconds divided by the speed; any
/// other task ends immediately. The output is the payload itself.
///
/// Thread safety: all methods may be called from any thread.
class StandInExecutor
{
public:
    /// \brief Listens at \p address and \p port; port 0 selects a free one.
    explicit StandInExecutor(const std::string &address = "127.0.0.1", int port = 0,
                             int threads = 80);
    ~StandInExecutor();
    StandInExecutor(const StandInExecutor &) = delete;
    StandInExecutor &operator=(const StandInExecutor &) = delete;

    /// \brief `address:port`.
    [[nodiscard]] std::string name() const;
    [[nodiscard]] ExecutorBehaviour &behaviour() noexcept;

    /// \brief All starts performed so far, in order.
    [[nodiscard]] std::vector<PerformedStart> starts() const;

    /// \brief Sets the observer. Precondition: no request has been received yet.
    void observeStarts(StartObserver observer);

    /// \brief Number of requests received: starts, queries and health checks.
    [[nodiscard]] std::uint64_t messages() const noexcept;

    /// \brief Stops immediately and drops all connections, like a killed process.
    void kill();

private:
    struct State;
    class Handler;
    class Factory;
    std::unique_ptr<State> m_state;
};

} // namespace anvilmill::daemon
