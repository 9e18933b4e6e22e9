#pragma once

#include "anvilmill/clock.h"

#include <deque>
#include <string>
#include <utility>

namespace anvilmill {

/// \brief Intervals of holds, the calls that renew the lease on an executor.
struct HoldIntervals
{
    /// How long the executor waits for a run to end before it answers.
    Duration wait{};
    /// Timeout of the answer, in addition to the wait.
    Duration answerTimeout{};
    /// Retry delay after a hold that was not answered.
    Duration retryDelay{};
    /// Two holds are in flight at a time while the executor has runs, since rarely both are lost.
    bool sendsPairs = false;
};

/// \brief Selects the intervals of holds by the orders that recently got no answer.
///
/// Load pattern: for some seconds one order in sixteen gets no answer, at any executor. The loss of
/// a hold with a long wait is detected late, which delays the ended runs that it would have
/// reported. So while orders to several executors are lost, holds wait less, time out sooner and
/// are sent in pairs. Losses at a single executor don't affect the others.
///
/// Thread safety: one thread at a time.
class LossTracker
{
public:
    /// Precondition: \p clock outlives the object. \p normal applies while there are no losses.
    LossTracker(const Clock &clock, const HoldIntervals &normal);

    /// \brief Records that an order to \p executor got no answer.
    void lost(const std::string &executor);

    /// \brief The intervals to use now.
    [[nodiscard]] const HoldIntervals &intervals();

private:
    const Clock &m_clock;
    HoldIntervals m_normal;
    /// Losses of the last seconds, oldest first.
    std::deque<std::pair<MonotonicTime, std::string>> m_losses;
};

} // namespace anvilmill
