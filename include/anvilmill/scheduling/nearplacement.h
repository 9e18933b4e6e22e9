#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/scheduling/capacityview.h"
#include "anvilmill/scheduling/placewait.h"
#include "anvilmill/scheduling/unfitdemands.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace anvilmill {

/// \brief The wait of one job for the rack of its data. At its end, the tasks start elsewhere or another
/// wait begins, until the job's answer would be of no use.
struct NearWait
{
    std::optional<MonotonicTime> started;
    std::optional<MonotonicTime> end;
    /// A task was started elsewhere and makes the job late: the rack is left to jobs that can be in time.
    bool isGivenUp = false;

    [[nodiscard]] bool isActive(MonotonicTime now) const { return end && now < *end; }
};

/// \brief What NearPlacement needs to know of a task, beside its query.
struct NearTask
{
    const std::string &rack;
    Duration runTime{};
    /// Thousandths of a core of all unstarted tasks of the job: it is answered with its last task.
    std::int64_t jobMilliCores = 0;
    MonotonicTime target;
    /// When the answer is of no use, at the latest at the deadline.
    MonotonicTime useless;
};

/// \brief Chooses between an executor on the rack of a task's data, another one, and a wait.
///
/// Load pattern: as PlaceWait. Called for each waiting task in the order of the queue, so that a task
/// knows what waits for its rack before it.
///
/// Thread safety: one thread at a time.
class NearPlacement
{
public:
    /// How long a task waits at the most; zero if it starts elsewhere now.
    using Rule = std::function<Duration(const PlaceChoice &)>;

    /// Precondition: the references outlive the object.
    NearPlacement(const Clock &clock, const CapacityView &view);

    /// \brief Sets how many times as long a task takes on other racks. Precondition: at least 1.
    void setSlowdown(double slowdown) noexcept { m_slowdown = slowdown; }

    /// \brief Sets this host's share of the capacity: the other hosts have as much work for their share.
    /// Precondition: above 0.
    void setShare(double share) noexcept { m_share = share; }

    /// \brief Replaces PlaceWait::longestWait, to compare it with other rules.
    void setRule(Rule rule) { m_rule = std::move(rule); }

    /// \brief The multiple of the run time on racks other than \p rack; 1 if no executor ever had it.
    [[nodiscard]] double slowdownOf(const std::string &rack) const;

    /// \brief The multiple of the run time on \p executor for a task whose data is on \p rack.
    [[nodiscard]] double slowdownOn(std::size_t executor, const std::string &rack) const;

    /// \brief Call before the first waiting task is placed.
    void startPass() { m_racks.clear(); }

    /// \brief Call for tasks of \p service that stay in the queue.
    void addWaiting(const std::string &service, const std::string &rack, std::int64_t milliCores);

    /// \brief The executor to start the task on; std::nullopt if none is free or if the job waits.
    ///
    /// \p query is for the rack of the data; on others the executor needs \p elsewhereMinSpeed.
    [[nodiscard]] std::optional<std::size_t> executorFor(PlacementQuery query,
                                                         double elsewhereMinSpeed,
                                                         const NearTask &task, NearWait &wait);

    /// \brief Forgets the waits that have ended.
    void expire();

    /// \brief When the next wait ends. The tasks must be placed then, even if no capacity was reported.
    [[nodiscard]] std::optional<MonotonicTime> nextWaitEnd() const;

private:
    /// A rack in the current pass.
    struct Rack
    {
        std::optional<bool> isServed;
        std::int64_t waitingMilliCores = 0;
        /// Without and with capacity left to other hosts.
        std::array<UnfitDemands, 2> unfit;
    };

    [[nodiscard]] Rack &rackOf(const std::string &service, const std::string &rack);
    [[nodiscard]] std::optional<std::size_t>
    nearExecutor(PlacementQuery query, const std::string &name, Rack &rack) const;
    [[nodiscard]] bool startsElsewhere(const PlacementQuery &query, const NearTask &task,
                                       const Rack &rack, std::size_t elsewhere, NearWait &wait);

    const Clock &m_clock;
    const CapacityView &m_view;
    Rule m_rule = &PlaceWait::longestWait;
    double m_slowdown = 1.0;
    double m_share = 1.0;
    /// By service and rack.
    std::map<std::pair<std::string, std::string>, Rack> m_racks;
    std::set<MonotonicTime> m_ends;
};

} // namespace anvilmill
