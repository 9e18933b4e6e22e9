#pragma once

#include "anvilmill/clock.h"
#include "batch/batchhost.h"
#include "batch/batchmetrics.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

/// \brief State of a batch job as reported to its caller.
enum class BatchState { Queued, Running, Completed, Failed, Cancelled };

/// \brief The jobs of one host by the ids that callers assigned; callers that submit the same id
/// share one job.
///
/// Thread safety: used by the loop's thread alone.
class BatchJobs
{
public:
    using Waiter = std::uint64_t;
    using ResultHandler = BatchHost::ResultHandler;
    /// Returns true if the client has disconnected.
    using DisconnectCheck = std::function<bool()>;

    /// Precondition: the references outlive the object. \p statusRetention: how long final states
    /// are kept.
    BatchJobs(BatchHost &host, const Clock &clock, BatchMetrics &metrics, Duration statusRetention);

    /// \brief Runs a job, or waits for the active job with the same id.
    ///
    /// No task is started once \p isDisconnected returns true for all clients that wait for the job.
    Waiter submit(BatchJob job, ResultHandler handler, DisconnectCheck isDisconnected);

    /// \brief Removes a waiter whose client has disconnected; a job without waiters is cancelled.
    void abandon(Waiter waiter);

    /// \brief Cancels a job by id; false if this host has no record of it.
    bool cancel(const std::string &id);

    [[nodiscard]] std::optional<BatchState> stateOf(const std::string &id) const;
    [[nodiscard]] std::size_t active() const noexcept { return m_active.size(); }

private:
    struct Client
    {
        ResultHandler handler;
        DisconnectCheck isDisconnected;
    };
    struct Active
    {
        std::optional<JobNumber> number;
        std::string route;
        std::string service;
        std::size_t tasks = 0;
        MonotonicTime arrived;
        MonotonicTime deadline;
        std::map<Waiter, Client> waiters;
    };

    /// Lines about ended jobs in the current second.
    struct LineCount
    {
        std::size_t written = 0;
        std::size_t omitted = 0;
    };

    [[nodiscard]] bool isAbandoned(const std::string &id) const;
    void ended(const std::string &id, const BatchResult &result);
    [[nodiscard]] bool isLogged(const BatchResult &result);
    void logEnd(const std::string &id, const Active &job, const BatchResult &result) const;
    void recordState(const std::string &id, BatchEnd end);

    BatchHost &m_host;
    const Clock &m_clock;
    BatchMetrics &m_metrics;
    Duration m_statusRetention;
    std::map<std::string, Active> m_active;
    std::map<Waiter, std::string> m_waiters;
    std::map<std::string, BatchState> m_ended;
    std::deque<std::pair<MonotonicTime, std::string>> m_endOrder;
    Waiter m_lastWaiter = 0;
    MonotonicTime m_logSecond;
    LineCount m_completedLines;
    LineCount m_otherLines;
};

} // namespace anvilmill::daemon
