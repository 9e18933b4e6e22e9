#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Bounds the slots that long work may hold, by what short work has been needing.
///
/// The share of the capacity that short work starts is averaged over the last seconds; long work
/// gets what that leaves, and never less than a small share. Until the first short work it gets all.
///
/// Thread safety: one thread at a time.
class LongWorkLimit
{
public:
    explicit LongWorkLimit(Duration window) noexcept;

    /// \brief Adds short work that starts at \p now.
    void addShort(Duration work, MonotonicTime now) noexcept;

    /// \brief How many of \p totalSlots long work may hold, at \p capacity work per second.
    [[nodiscard]] int slotsForLong(MonotonicTime now, int totalSlots, double capacity) const;

private:
    [[nodiscard]] double shortWorkPerSecond(MonotonicTime now) const noexcept;

    Duration m_window;
    double m_workSeconds = 0.0;
    MonotonicTime m_updated;
};

} // namespace anvilmill
