#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/dispatch/teamusage.h"
#include "anvilmill/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief One task of an experiment; \c work is its run time on an executor of speed 1.
struct SimulatedTask
{
    Duration work{};
    std::optional<Duration> declared;
};

/// \brief One job of an experiment, with its true run times.
struct SimulatedJob
{
    Duration arrival{};
    std::size_t host = 0;
    std::string service;
    std::string team;
    bool isUrgent = false;
    bool isLong = false;
    /// Deadline relative to the arrival.
    std::optional<Duration> deadline;
    /// The caller cancels an unanswered job this long after its arrival.
    std::optional<Duration> cancelAfter;
    std::vector<SimulatedTask> tasks;

    [[nodiscard]] Duration totalWork() const;
    [[nodiscard]] Duration longestWork() const;
};

/// \brief A simulated executor.
struct SimulatedExecutor
{
    std::string name;
    int slots = 8;
    double speed = 1.0;
    bool failsAll = false;
};

/// \brief An interval of constant load, which is given as a share of the capacity.
struct LoadPhase
{
    Duration length{};
    double load = 0.8;
};

/// \brief Parameters of a workload. A load is the work of all jobs divided by slots times speed.
struct WorkloadSettings
{
    std::size_t executors = 50;
    std::size_t hosts = 2;
    std::size_t teams = 20;
    std::vector<LoadPhase> phases;
    Duration warmUp = std::chrono::seconds(5);
    double fastestSpeed = 4.0;
    std::uint32_t largestJob = 270;
    double stragglerShare = 0.01;
    double stragglerFactor = 20.0;
    /// Share of jobs whose tasks run for several seconds.
    double longJobShare = 0.005;
    double failingExecutorShare = 0.0;
    /// Declared run times are too long or too short by this factor; 0 omits them.
    double declarationError = 0.0;
    /// Additional load from a single team, as a share of the capacity.
    double extraTeamLoad = 0.0;
    double urgentShare = 0.1;
    std::optional<Duration> urgentDeadline;
    std::optional<Duration> deadline;
    /// Share of the jobs from the first second of the last phase that are cancelled 200 ms after
    /// arrival.
    double cancelledShare = 0.0;
};

/// \brief Arrivals and executors of one run; equal for all policies with the same seed.
struct Workload
{
    std::vector<SimulatedExecutor> executors;
    /// In order of arrival.
    std::vector<SimulatedJob> jobs;
    std::size_t hosts = 2;
    Duration warmUp{};
    Duration length{};
    std::vector<LoadPhase> phases;
    /// An equal share of the capacity for each team, including ExtraLoadTeam.
    std::vector<TeamQuota> quotas;

    /// \brief Work per second of all slots together.
    [[nodiscard]] double capacity() const;
    [[nodiscard]] bool isMeasured(const SimulatedJob &job) const;
};

/// \brief Team that submits the load of WorkloadSettings::extraTeamLoad.
inline constexpr const char *ExtraLoadTeam = "greedy";

[[nodiscard]] Workload makeWorkload(const WorkloadSettings &settings, std::uint64_t seed);

} // namespace anvilmill::tools
