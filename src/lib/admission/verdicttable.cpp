#include "anvilmill/admission/verdicttable.h"

#include <cstddef>

namespace anvilmill {

namespace {

constexpr std::array<FailureRow, 13> Table = {{
        {FailurePoint::BeforeConnect, "beforeConnect", Verdict::NotRun, true},
        {FailurePoint::Connecting, "connecting", Verdict::NotRun, true},
        {FailurePoint::Sending, "sending", Verdict::MayHaveRun, false},
        {FailurePoint::Waiting, "waiting", Verdict::MayHaveRun, false},
        {FailurePoint::Reading, "reading", Verdict::MayHaveRun, false},
        {FailurePoint::ExecutorRefusal, "executorRefusal", Verdict::NotRun, true},
        {FailurePoint::ExecutorFailure, "executorFailure", Verdict::Ran, false},
        {FailurePoint::ClaimLost, "claimLost", Verdict::NotRun, false},
        {FailurePoint::LeaseLost, "leaseLost", Verdict::NotRun, false},
        {FailurePoint::ShutdownQueued, "shutdownQueued", Verdict::NotRun, false},
        {FailurePoint::ShutdownSent, "shutdownSent", Verdict::MayHaveRun, false},
        {FailurePoint::CancelledQueued, "cancelledQueued", Verdict::NotRun, false},
        {FailurePoint::CancelledSent, "cancelledSent", Verdict::MayHaveRun, false},
}};

} // namespace

const std::array<FailureRow, 13> &failureTable() noexcept
{
    return Table;
}

const FailureRow &failureRow(FailurePoint point) noexcept
{
    return Table[static_cast<std::size_t>(point)];
}

Verdict submissionVerdict(Verdict tasks, bool isClosed) noexcept
{
    if (tasks == Verdict::NotRun && !isClosed)
        return Verdict::MayHaveRun;
    return tasks;
}

} // namespace anvilmill
