#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <optional>

namespace anvilmill {

/// \brief The smallest processor demand of recent tasks.
///
/// Load pattern: under overload each executor keeps a remainder that no task fits into, and its size
/// changes with each start and end. Reported to all hosts, these changes took most of a dispatcher's
/// processor time, and each host searched the remainders for room. Capacity below the floor counts
/// as none.
///
/// Thread safety: one thread at a time.
class DemandFloor
{
public:
    /// How long a demand counts: at least one period, at most two.
    static constexpr Duration Period = std::chrono::seconds(2);

    /// Precondition: \p clock outlives the floor.
    explicit DemandFloor(const Clock &clock)
        : m_clock(clock)
    {
    }

    void record(std::int64_t milliCores);

    /// \brief True if a recent task would fit into \p milliCores, or if there was none.
    [[nodiscard]] bool isUsable(std::int64_t milliCores) const;

private:
    void startPeriod(MonotonicTime now);

    const Clock &m_clock;
    MonotonicTime m_started;
    std::optional<std::int64_t> m_current;
    std::optional<std::int64_t> m_previous;
};

} // namespace anvilmill
