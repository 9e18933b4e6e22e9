#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Detects that this process was stalled, and inhibits starts for a period after it.
///
/// Load pattern: a host is suspended for seconds. When it resumes, its sockets contain requests and
/// orders whose senders have meanwhile timed out and sent them to other hosts. The cancellations
/// are queued behind them in the same sockets, so no run is started until the backlog is read.
///
/// Thread safety: one thread at a time.
class StallDetector
{
public:
    /// \brief A longer time than \p longestIteration between two calls of update() is a stall.
    /// \p quietPeriod: the time needed to read the messages that arrived during the stall.
    StallDetector(Duration longestIteration, Duration quietPeriod) noexcept;

    /// \brief Call in each iteration of the loop and before each start. \p sinceBoot includes the
    /// time for which the machine was suspended.
    void update(Duration sinceBoot) noexcept;

    /// \brief True while no run may be started.
    [[nodiscard]] bool isInQuietPeriod() const noexcept { return m_last < m_quietPeriodEnd; }

private:
    Duration m_longestIteration;
    Duration m_quietPeriod;
    Duration m_last{};
    Duration m_quietPeriodEnd{};
    bool m_isFirst = true;
};

} // namespace anvilmill
