#pragma once

#include "anvilmill/clock.h"

#include <optional>

namespace anvilmill {

/// \brief A task that could start now on an executor outside the rack of its data.
struct PlaceChoice
{
    /// Run time on the rack of its data.
    Duration nearRunTime{};
    /// Run time on the other executor, as a multiple of nearRunTime.
    double slowdown = 1.0;
    /// Expected time until the rack has room for the job's tasks; std::nullopt if it isn't known.
    std::optional<Duration> expectedWait;
    /// Time left until the job's target; negative once it has passed.
    Duration untilTarget{};
    /// Time left until the answer is of no use.
    Duration untilUseless{};
    /// Since the job began to wait for the rack.
    Duration waited{};
    /// Share of the capacity of all executors that is free.
    double freeShare = 1.0;
    /// Share of that capacity that the unstarted tasks of the job take; it is answered with the last.
    double jobShare = 0.0;

    /// \brief Run time on the other executor.
    [[nodiscard]] Duration remoteRunTime() const;

    /// \brief True if a start on the other executor ends after the job's target.
    [[nodiscard]] bool isLateElsewhere() const { return remoteRunTime() > untilTarget; }

    /// \brief True if all tasks of the job can start elsewhere now, and end within its target.
    [[nodiscard]] bool isInTimeElsewhere() const
    {
        return !isLateElsewhere() && jobShare <= freeShare;
    }
};

/// \brief Decides how long a task waits for an executor near its data while others are free.
///
/// Load pattern: many jobs read data of one rack. A start elsewhere takes several times the run time,
/// which is late for most jobs and takes capacity from those whose data is there. A wait for the rack
/// is late as well once more tasks wait for it than it completes in time.
///
/// Thread safety: no state; may be called from any thread.
class PlaceWait
{
public:
    /// Starts elsewhere leave free this share of all capacity for each multiple of the run time that
    /// they add. Without it, a replay at 0.8 times the capacity and a slowdown of 3 had 0.66 of the
    /// answers in time instead of 0.82.
    static constexpr double ReservedShare = 0.2;

    /// \brief The longest wait that pays; zero if the task should start elsewhere now.
    ///
    /// - Only a start elsewhere is expected to be in time: no wait.
    /// - Little capacity is free: as long as an answer from the rack is of use.
    /// - Only a start on the rack is expected to be in time: until a start there would be late.
    /// - Both are: while the wait is shorter than the run time that it saves and a start elsewhere
    ///   after it is still in time.
    /// - None is: while the answer is expected sooner than from elsewhere, and is of use.
    ///
    /// An unknown wait counts as too long, unless a start elsewhere would be late.
    [[nodiscard]] static Duration longestWait(const PlaceChoice &choice);
};

} // namespace anvilmill
