#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Detects that this process was stalled, and holds back starts for a period after it.
///
/// Load pattern: a host is frozen for seconds and resumes with requests and orders in its sockets
/// whose senders have meanwhile timed out and sent them elsewhere. The messages that report this are
/// queued behind them in the same sockets, so no run is started until the backlog is read.
///
/// Thread safety: one thread at a time.
class StallDetector
{
public:
    /// \brief A longer time than \p longestIteration between two calls of turn() is a stall.
    /// \p quietPeriod: the time needed to read the messages that arrived during the stall.
    StallDetector(Duration longestIteration, Duration quietPeriod) noexcept;

    /// \brief Call in each iteration of the loop and before each start. \p sinceBoot includes the time
    /// for which the machine was suspended.
    void turn(Duration sinceBoot) noexcept;

    /// \brief True while no run may be started.
    [[nodiscard]] bool isQuiet() const noexcept { return m_last < m_quietPeriodEnd; }

private:
    Duration m_longestIteration;
    Duration m_quietPeriod;
    Duration m_last{};
    Duration m_quietPeriodEnd{};
    bool m_isFirst = true;
};

} // namespace anvilmill
