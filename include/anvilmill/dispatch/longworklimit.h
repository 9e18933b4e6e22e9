#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Limits the slots that long tasks may use by the recent demand of short tasks.
///
/// The share of the capacity that short tasks use is averaged over a time window. Long tasks get
/// the rest, within a minimum and a maximum share, or all slots before the first short task.
///
/// Thread safety: one thread at a time.
class LongWorkLimit
{
public:
    explicit LongWorkLimit(Duration window) noexcept;

    /// \brief Records short work that starts at \p now.
    void recordShortWork(Duration work, MonotonicTime now) noexcept;

    /// \brief Returns how many of \p totalSlots long tasks may use.
    ///
    /// \p capacity is in work per second.
    [[nodiscard]] int maxLongSlots(MonotonicTime now, int totalSlots, double capacity) const;

private:
    [[nodiscard]] double shortWorkPerSecond(MonotonicTime now) const noexcept;

    Duration m_window;
    double m_workSeconds = 0.0;
    MonotonicTime m_updated;
};

} // namespace anvilmill
