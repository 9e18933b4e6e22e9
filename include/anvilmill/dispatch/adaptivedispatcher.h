#pragma once

#include "anvilmill/dispatch/dispatcher.h"
#include "anvilmill/dispatch/executorhealth.h"
#include "anvilmill/dispatch/teamusage.h"

#include <memory>
#include <vector>

namespace anvilmill {

class RandomSource;

/// \brief Settings of the adaptive dispatcher.
struct DispatchSettings
{
    HealthSettings health;
    /// Teams that are not listed have no quota.
    std::vector<TeamQuota> quotas;
    /// Time constant of a team's decayed usage, which is compared with its quota.
    Duration quotaWindow = std::chrono::seconds(20);
    /// Aging against starvation: a second of waiting lowers a job's sort key by this many seconds
    /// of work.
    double agingRate = 1.0;
    /// Jobs with at least this expected work per task, on average, count as long.
    Duration longWorkThreshold = std::chrono::milliseconds(1500);
    /// Maximum number of tasks per job.
    std::size_t maxTasksPerJob = 10'000;
    /// Jobs are refused while the queued work needs more than this time at full capacity.
    Duration maxQueueTime = std::chrono::seconds(60);
    /// Jobs of a team over its quota are refused while the team's queued work needs more than this
    /// time at the team's share of the capacity.
    Duration maxTeamQueueTime = std::chrono::seconds(10);
    /// Maximum number of retries of refused starts, as a share of all starts.
    double retriesPerStart = 0.1;
    /// Share of all slots that must stay free when jobs over their team's quota start.
    double overQuotaHeadroom = 0.1;
};

/// \brief A dispatcher with one queue, ordered by the expected remaining work of each job.
///
/// Urgent jobs start first, jobs of teams over their quota last. Within a rank, the job with the
/// least expected remaining work, corrected by aging, starts on the fastest free slot; jobs over
/// their quota use the slowest. Run times and executor speeds are learned, and failing executors
/// are ejected.
///
/// \code
/// SystemClock clock;
/// SeededRandom random(seed);
/// auto dispatcher = makeAdaptiveDispatcher(clock, random, DispatchSettings{});
/// dispatcher->setExecutors(executors);
/// \endcode
///
/// submit() calls admit() and, if that accepts the job, enqueue().
class AdaptiveDispatcher : public Dispatcher
{
public:
    /// \brief Returns why a job must be refused now, or std::nullopt if it is accepted.
    [[nodiscard]] virtual std::optional<Refusal> admit(const JobSpec &spec) = 0;

    /// \brief Queues a job without admission control.
    ///
    /// \p waited is the time since the job was submitted.
    virtual void enqueue(JobNumber job, const JobSpec &spec, Duration waited) = 0;

    /// \brief Returns the time that all usable slots together need for the queued work.
    [[nodiscard]] virtual Duration queueTime() const = 0;
};

/// Precondition: \p clock and \p random outlive the dispatcher.
[[nodiscard]] std::unique_ptr<AdaptiveDispatcher>
makeAdaptiveDispatcher(const Clock &clock, RandomSource &random, const DispatchSettings &settings);

} // namespace anvilmill
