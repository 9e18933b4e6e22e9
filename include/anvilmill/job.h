#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Number of a job within one entry host incarnation.
using JobNumber = std::uint64_t;

/// \brief One task of a job that this entry host runs.
struct TaskRef
{
    JobNumber job = 0;
    std::uint32_t index = 0;

    [[nodiscard]] bool operator==(const TaskRef &other) const noexcept;
    [[nodiscard]] bool operator<(const TaskRef &other) const noexcept;
};

/// \brief One task as the caller described it.
struct TaskSpec
{
    std::string payload;
    /// The caller's estimate of the run time; used only as a hint.
    std::optional<Duration> declaredRunTime;
};

/// \brief A job as the caller described it.
struct JobSpec
{
    /// The submission's identity, the same for every resubmission.
    std::string submission;
    std::string service;
    std::string team;
    std::vector<TaskSpec> tasks;
    std::optional<MonotonicTime> deadline;
    bool isRepeatable = true;
    bool isUrgent = false;
};

} // namespace anvilmill
