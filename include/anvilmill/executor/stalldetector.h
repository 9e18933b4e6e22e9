#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Notices that this process stood still, and asks for quiet after it.
///
/// Load pattern: a host is frozen for seconds and wakes up with requests and orders in its sockets
/// whose senders have given them up meanwhile and made them elsewhere. Their word of it lies behind
/// them, in the same sockets: so nothing is started until what has come meanwhile is read.
///
/// Thread safety: one thread at a time.
class StallDetector
{
public:
    /// \brief \p longestTurn: longer times between two turns are pauses. \p quiet: how long what came
    /// meanwhile takes to be read.
    StallDetector(Duration longestTurn, Duration quiet) noexcept;

    /// \brief Call in each turn and before each start. \p sinceBoot also counts suspensions.
    void turn(Duration sinceBoot) noexcept;

    /// \brief True while nothing is to be started.
    [[nodiscard]] bool isQuiet() const noexcept { return m_last < m_quietUntil; }

private:
    Duration m_longestTurn;
    Duration m_quiet;
    Duration m_last{};
    Duration m_quietUntil{};
    bool m_isFirst = true;
};

} // namespace anvilmill
