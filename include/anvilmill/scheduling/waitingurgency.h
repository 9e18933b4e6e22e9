#pragma once

#include <limits>

namespace anvilmill {

/// \brief How urgent the jobs are that wait on a host: the place of the first one in the order in
/// which all hosts start tasks.
///
/// Lower values are started first: a route's priority while the job can be in time, Late after that.
class WaitingUrgency
{
public:
    /// Jobs that can no longer be in time.
    static constexpr int Late = std::numeric_limits<int>::max();

    constexpr explicit WaitingUrgency(int priority) noexcept
        : m_priority(priority)
    {
    }

    [[nodiscard]] constexpr int priority() const noexcept { return m_priority; }
    [[nodiscard]] constexpr bool isBefore(WaitingUrgency other) const noexcept
    {
        return m_priority < other.m_priority;
    }
    [[nodiscard]] friend constexpr bool operator==(WaitingUrgency left,
                                                   WaitingUrgency right) noexcept
    {
        return left.m_priority == right.m_priority;
    }
    [[nodiscard]] friend constexpr bool operator!=(WaitingUrgency left,
                                                   WaitingUrgency right) noexcept
    {
        return !(left == right);
    }

private:
    int m_priority;
};

} // namespace anvilmill
