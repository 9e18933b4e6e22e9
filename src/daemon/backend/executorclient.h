#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/dispatcher.h"
#include "anvilmill/verdict.h"

#include <memory>
#include <string>

namespace anvilmill::daemon {

/// \brief Limits for the communication with one executor.
struct BackendLimits
{
    std::size_t connections = 64;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time without data on the connection after which the task is queried on a new connection.
    Duration silence = std::chrono::seconds(2);
    /// Time without any reply about a started task after which it is reported lost.
    Duration giveUp = std::chrono::seconds(10);
};

/// \brief Result of one start.
struct StartReport
{
    StartOutcome end = StartOutcome::Lost;
    Verdict verdict = Verdict::MayHaveRun;
    std::string output;
    std::string reason;
};

/// \brief Counters of messages exchanged with executors, from which the overhead (messages that
/// started no task) is computed.
struct BackendCounters
{
    std::uint64_t starts = 0;
    std::uint64_t refusedStarts = 0;
    std::uint64_t queries = 0;
    std::uint64_t silentConnections = 0;
};

/// \brief Starts tasks on executors over pooled HTTP connections.
///
/// A task is sent once. Only a failed connect, or "not run" from the executor itself, is reported
/// as NotStarted. If no data arrives on a connection, the task is queried by its id on a new one,
/// and the silent connection is dropped once the result is known. The task is never sent again.
///
/// Thread safety: all methods may be called from any thread; run() blocks.
class ExecutorClient
{
public:
    explicit ExecutorClient(const BackendLimits &limits);
    ~ExecutorClient();

    /// \brief Starts task \p taskId on \p executor (`address:port`) and blocks until it ends.
    [[nodiscard]] StartReport run(const std::string &executor, const std::string &taskId,
                                  const std::string &service, const std::string &payload);

    /// \brief Closes the idle connections to \p executor, for example because it is leaving.
    void closeIdle(const std::string &executor);

    [[nodiscard]] BackendCounters counters() const;

private:
    class TaskExchange;
    struct Shared;
    std::unique_ptr<Shared> m_shared;
};

} // namespace anvilmill::daemon
