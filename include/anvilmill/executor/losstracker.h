#pragma once

#include "anvilmill/clock.h"

#include <deque>
#include <string>
#include <utility>

namespace anvilmill {

/// \brief How long a hold waits for an end, and how long its answer may take after that.
struct HoldPace
{
    Duration wait{};
    Duration patience{};
    /// Pause before the next hold after one that was not answered.
    Duration retryDelay{};
    /// Two holds are under way together while the executor runs anything: both are rarely lost.
    bool sendsPairs = false;
};

/// \brief Decides how closely executors are asked, by the orders that got no answer lately.
///
/// Load pattern: for some seconds one order in sixteen gets no answer, at any executor. A hold that
/// waits long finds out late, and the ends that it would have told are known as much later. So while
/// orders to several executors are lost, holds wait less, are given up sooner and go out in pairs. The
/// loss of one executor alone changes nothing for the others.
///
/// Thread safety: one thread at a time.
class LossTracker
{
public:
    /// Precondition: \p clock outlives the object. \p calm is the pace without losses.
    LossTracker(const Clock &clock, const HoldPace &calm);

    /// \brief An order to \p executor has got no answer.
    void lost(const std::string &executor);

    [[nodiscard]] const HoldPace &pace();

private:
    const Clock &m_clock;
    HoldPace m_calm;
    /// Losses of the last seconds, the oldest first.
    std::deque<std::pair<MonotonicTime, std::string>> m_lost;
};

} // namespace anvilmill
