#pragma once

#include "anvilmill/verdict.h"

#include <array>
#include <string_view>

namespace anvilmill {

/// \brief Stage at which the processing of one task failed.
enum class FailurePoint {
    /// The task was still queued.
    BeforeConnect,
    /// The connection to the executor could not be established.
    Connecting,
    /// The connection broke or stalled while the request was being written.
    Sending,
    /// The request was written, and no byte of the answer was received.
    Waiting,
    /// The answer was received in part only.
    Reading,
    /// The executor reported that it did not start the task.
    ExecutorRefusal,
    /// The executor reported that the task failed.
    ExecutorFailure,
    /// This host may no longer start the task; see Admission::mayStart().
    ClaimLost,
    /// This host's lease in the platform ended before the task was sent.
    LeaseLost,
    /// This process shut down with the task still queued.
    ShutdownQueued,
    /// This process shut down with the task sent and not answered.
    ShutdownSent,
    /// The caller cancelled with the task still queued.
    CancelledQueued,
    /// The caller cancelled with the task sent and not answered.
    CancelledSent,
};

/// \brief Consequences of a failure point for one task.
struct FailureRow
{
    FailurePoint point;
    std::string_view name;
    /// Whether this start of the task may have run.
    Verdict verdict;
    /// True if the same task may be sent to another executor.
    bool mayTryElsewhere;
};

/// \brief All rows, in the order of FailurePoint.
[[nodiscard]] const std::array<FailureRow, 13> &failureTable() noexcept;

/// \brief The row of \p point.
[[nodiscard]] const FailureRow &failureRow(FailurePoint point) noexcept;

/// \brief The verdict on a submission that may be reported to its caller.
///
/// \p tasks is the combined verdict of all task starts on the host that answers. "Not run" also
/// requires \p isClosed: the directory host of the claim has closed the attempt permanently.
[[nodiscard]] Verdict submissionVerdict(Verdict tasks, bool isClosed) noexcept;

} // namespace anvilmill
