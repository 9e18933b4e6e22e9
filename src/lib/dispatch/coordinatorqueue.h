#pragma once

#include "anvilmill/dispatch/adaptivedispatcher.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief A slot granted to a task of one of the hosts.
struct QueueGrant
{
    std::uint64_t id = 0;
    std::string host;
    TaskRef task;
    std::string executor;
};

/// \brief One adaptive dispatcher for the jobs of several hosts.
///
/// Thread safety: one thread at a time.
class CoordinatorQueue
{
public:
    CoordinatorQueue(const Clock &clock, RandomSource &random, const DispatchSettings &settings);

    void setExecutors(const std::vector<ExecutorInfo> &executors);

    /// \brief Uses one of \p hosts equal shares of each executor's slots.
    void setSharingHosts(std::size_t hosts);

    /// \brief Sets the slots of \p executor that \p host uses without a grant of this queue.
    void setHeldSlots(const std::string &host, const std::string &executor, int count);

    /// \brief Returns why a job must be refused now, or std::nullopt if it is accepted.
    [[nodiscard]] std::optional<Refusal> admit(const JobSpec &spec)
    {
        return m_dispatcher->admit(spec);
    }

    /// \brief Queues the tasks \p indexes of a job of \p host; \p spec contains only these tasks.
    ///
    /// Replaces a queued job with the same number and host.
    void add(const std::string &host, JobNumber job, const JobSpec &spec,
             std::vector<std::uint32_t> indexes, Duration waited);

    void cancel(const std::string &host, JobNumber job);

    /// \brief Removes the jobs, grants and held slots of \p host.
    ///
    /// With \p keepsGrants, grants stay in flight until they are reported with endGrant().
    void evict(const std::string &host, bool keepsGrants);

    [[nodiscard]] std::optional<QueueGrant> nextGrant();
    void endGrant(std::uint64_t grant, StartOutcome end);

    [[nodiscard]] std::optional<MonotonicTime> nextWakeTime() const
    {
        return m_dispatcher->nextWakeTime();
    }
    [[nodiscard]] Duration queueTime() const { return m_dispatcher->queueTime(); }

private:
    struct QueueJob
    {
        std::string host;
        JobNumber job = 0;
        std::vector<std::uint32_t> indexes;
        std::size_t unfinished = 0;
    };
    struct OpenGrant
    {
        Start start;
        std::string host;
    };

    void updateSlots();

    std::unique_ptr<AdaptiveDispatcher> m_dispatcher;
    std::vector<ExecutorInfo> m_executors;
    std::size_t m_sharingHosts = 1;
    std::map<std::string, std::map<std::string, int>> m_heldSlots;
    JobNumber m_nextJob = 1;
    std::uint64_t m_nextGrant = 1;
    std::unordered_map<JobNumber, QueueJob> m_jobs;
    std::map<std::pair<std::string, JobNumber>, JobNumber> m_numbers;
    std::map<std::uint64_t, OpenGrant> m_grants;
};

} // namespace anvilmill
