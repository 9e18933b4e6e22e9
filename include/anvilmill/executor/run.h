#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace anvilmill {

/// \brief Identifies a run, one attempt to execute a task: the task's name and the attempt's
/// number.
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
    /// The task ran and failed, because of the task itself or of the executor.
    Failed,
    /// Ended by a stop order.
    Stopped,
    /// Ended because the executor's lease expired.
    Lapsed,
    /// Ended because another member of its gang did.
    Broken,
    /// The executor has no record of the run any more; it isn't running.
    Lost,
    /// The run never began and never will, for example because the executor refused the start.
    NotStarted,
    /// As NotStarted, because the executor has already seen this or a later run of the task.
    Superseded,
};

/// \brief Returns the spelling used in logs and between entry hosts: `done`, `failed`, `stopped`,
/// ...
[[nodiscard]] const char *asString(RunOutcome outcome) noexcept;

/// \brief A run together with how it ended.
struct RunEnd
{
    RunId run;
    RunOutcome outcome = RunOutcome::Done;
    /// Time from the answer to the start until the end was read, if both were received.
    std::optional<Duration> ran;
    /// The executor crashed while it had the run, perhaps because of it.
    bool hasExecutorCrashed = false;
    /// Concluded by a holder from the time since it last requested a lease, not reported by the
    /// executor.
    bool isInferred = false;
};

} // namespace anvilmill
