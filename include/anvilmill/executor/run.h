#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace anvilmill {

/// \brief One start of a task: the task's name and the number of the start.
struct RunId
{
    std::string task;
    std::uint64_t number = 0;

    [[nodiscard]] friend bool operator<(const RunId &left, const RunId &right) noexcept
    {
        return std::tie(left.task, left.number) < std::tie(right.task, right.number);
    }
    [[nodiscard]] friend bool operator==(const RunId &left, const RunId &right) noexcept
    {
        return left.number == right.number && left.task == right.task;
    }
};

/// \brief How a run ended.
enum class RunOutcome {
    Done,
    /// The task ran and failed, through its own fault or the executor's.
    Failed,
    /// Ended by a stop.
    Stopped,
    /// Ended since the executor's lease ran out.
    Lapsed,
    /// Ended since another member of its gang did.
    Broken,
    /// The executor no longer knows the run; it isn't running.
    Lost,
    /// The executor refused the start: the run never began and never will.
    NotStarted,
    /// As NotStarted, since the executor has already seen this or a later run of the task.
    Superseded,
};

/// \brief The spelling used in logs and between entry hosts: `done`, `failed`, `stopped`, ...
[[nodiscard]] const char *asString(RunOutcome outcome) noexcept;

/// \brief A run together with how it ended.
struct RunEnd
{
    RunId run;
    RunOutcome outcome = RunOutcome::Done;
    /// From the answer to the start until the end was read, if both were seen.
    std::optional<Duration> ran;
};

} // namespace anvilmill
