#pragma once

#include "anvilmill/clock.h"

#include <atomic>

namespace anvilmill {

/// \brief A clock for tests and experiments that changes only by advance(), suspend() and shiftWall().
///
/// \code
/// ManualClock clock;
/// clock.advance(std::chrono::seconds(3));
/// \endcode
///
/// Thread safety: all methods may be called from any thread.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] MonotonicTime now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    [[nodiscard]] Duration sinceBoot() const override;

    /// \brief Moves all clocks forward. Precondition: \p step is not negative.
    void advance(Duration step);

    /// \brief Moves all clocks but now() forward, as while a machine is suspended. Precondition: \p step
    /// is not negative.
    void suspend(Duration step);

    /// \brief Shifts only the wall clock, by \p step, which may be negative.
    void shiftWall(Duration step);

private:
    std::atomic<Duration::rep> m_monotonic{0};
    std::atomic<Duration::rep> m_wallOffset{0};
    std::atomic<Duration::rep> m_suspended{0};
};

} // namespace anvilmill
