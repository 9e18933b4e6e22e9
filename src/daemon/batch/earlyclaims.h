#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/resources.h"
#include "anvilmill/executor/run.h"

#include <deque>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief A host's statement that it has a run on an executor which the receiver is assigned to hold.
struct RunClaim
{
    RunId run;
    std::string executor;
    Resources demand;
    std::string host;
};

/// \brief Claims that arrived before this host read the membership by which it holds the executor.
///
/// Hosts read the list of hosts at different times. Without its claim, a run would be stopped as
/// orphaned, and its host would not be notified.
///
/// Thread safety: one thread at a time.
class EarlyClaims
{
public:
    /// Precondition: \p clock outlives the claims.
    explicit EarlyClaims(const Clock &clock);

    void keep(RunClaim claim);

    /// \brief Discards the claims for a run that is being stopped.
    void drop(const RunId &run);

    /// \brief Takes out all claims that are not too old.
    [[nodiscard]] std::vector<RunClaim> takeAll();

    [[nodiscard]] bool isEmpty() const noexcept { return m_claims.empty(); }

private:
    struct Kept
    {
        MonotonicTime since;
        RunClaim claim;
    };

    const Clock &m_clock;
    std::deque<Kept> m_claims;
};

} // namespace anvilmill::daemon
