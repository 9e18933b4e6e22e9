#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <vector>

namespace anvilmill {

/// \brief Numbers of good and bad requests.
struct RequestCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

/// \brief Ring buffer of request counts per time step, for a fixed number of most recent steps.
///
/// Steps are aligned to the wall clock.
///
/// Thread safety: one thread at a time.
class CountRing
{
public:
    /// \brief Preconditions: \p step and \p steps are positive.
    CountRing(Duration step, std::size_t steps);

    void add(WallTime now, bool isGood);

    /// \brief The counts of the last \p length before \p now, including all of its first step.
    [[nodiscard]] RequestCounts sum(WallTime now, Duration length) const;

    /// \brief The counts of the step \p index, which is its number since 1970.
    [[nodiscard]] RequestCounts at(std::int64_t index) const;

    [[nodiscard]] std::int64_t indexOf(WallTime time) const;
    [[nodiscard]] Duration step() const noexcept { return m_step; }
    [[nodiscard]] Duration span() const noexcept;

private:
    struct Slot
    {
        std::int64_t index = -1;
        RequestCounts counts;
    };

    Duration m_step;
    std::vector<Slot> m_slots;
};

} // namespace anvilmill
