#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Parameters of a load run's schedule.
struct LoadSettings
{
    std::uint64_t seed = 1;
    /// Scheduled length of the run.
    Duration length = std::chrono::seconds(10);
    /// Mean arrival rate outside of bursts.
    double jobsPerSecond = 20;
    /// Factor of the arrival rate during a burst.
    double burstFactor = 1;
    Duration burstPeriod = std::chrono::seconds(5);
    Duration burstLength = std::chrono::seconds(1);
    /// Upper bound of a job's number of tasks, which has a heavy-tailed distribution from 1.
    int tasksLimit = 20;
    Duration shortestTask = std::chrono::milliseconds(50);
    Duration longestTask = std::chrono::milliseconds(200);
    /// Share of tasks that are stragglers, and the factor of their run time.
    double stragglerShare = 0.01;
    int stragglerFactor = 20;
    /// Share of jobs that are resubmitted to the next target.
    double resubmitShare = 0;
    /// Share of the jobs in every second burst period that are cancelled together at its end.
    double cancelShare = 0;
    double notRepeatableShare = 0;
    std::size_t targets = 1;
};

/// \brief One job of the schedule.
struct PlannedJob
{
    /// All times are relative to the start of the run.
    Duration arrival{};
    std::optional<Duration> resubmission;
    std::optional<Duration> cancellation;
    std::size_t target = 0;
    bool isNotRepeatable = false;
    std::vector<Duration> tasks;

    [[nodiscard]] Duration longestTask() const;
    [[nodiscard]] Duration work() const;

    /// \brief Response time on an idle system: the longest task or the total work divided by
    /// \p slots, whichever is larger.
    ///
    /// Precondition: \p slots is positive.
    [[nodiscard]] Duration ideal(int slots) const;
};

/// \brief The schedule for \p settings: the same for the same settings, in the order of arrival.
///
/// Preconditions: times and limits are positive, shares lie in [0, 1], shortestTask is not above
/// longestTask, and crestFactor is at least 1.
[[nodiscard]] std::vector<PlannedJob> makeLoadPlan(const LoadSettings &settings);

/// \brief A task payload for the stand-in executor, which runs for \p runTime and returns \p echo.
[[nodiscard]] std::string loadPayload(Duration runTime, const std::string &echo);

} // namespace anvilmill::tools
