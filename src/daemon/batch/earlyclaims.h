#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/resources.h"
#include "anvilmill/executor/run.h"
#include "batch/runowner.h"

#include <deque>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief A host's claim of a run that it requested on an executor assigned to the receiver.
struct RunClaim
{
    RunId run;
    std::string executor;
    Resources demand;
    RunOwner owner;
};

/// \brief Claims that arrived before this host read the membership under which it holds the
/// executor.
///
/// Hosts read the membership at different times. Without its claim, a run would be stopped as
/// orphaned, and the host that requested it would not be notified.
///
/// Thread safety: one thread at a time.
class EarlyClaims
{
public:
    /// Precondition: \p clock outlives the claims.
    explicit EarlyClaims(const Clock &clock);

    void add(RunClaim claim);

    /// \brief Discards the claim of \p host for a run on \p executor that is being stopped. Other hosts
    /// may claim runs with the same id, of other submissions of the job.
    void remove(const std::string &host, const RunId &run, const std::string &executor);

    /// \brief Removes all claims and returns those that are recent enough.
    [[nodiscard]] std::vector<RunClaim> takeAll();

    [[nodiscard]] bool isEmpty() const noexcept { return m_claims.empty(); }

private:
    struct TimedClaim
    {
        MonotonicTime added;
        RunClaim claim;
    };

    const Clock &m_clock;
    std::deque<TimedClaim> m_claims;
};

} // namespace anvilmill::daemon
