#include "countring.h"

#include <algorithm>

namespace anvilmill {

CountRing::CountRing(Duration step, std::size_t steps)
    : m_step(step)
    , m_slots(steps)
{
}

void CountRing::add(WallTime now, bool isGood)
{
    const std::int64_t index = indexOf(now);
    Slot &slot = m_slots[static_cast<std::size_t>(index) % m_slots.size()];
    // Keeps newer counts if the wall clock was set back.
    if (slot.index < index)
        slot = Slot{index, {}};
    ++(isGood ? slot.counts.good : slot.counts.bad);
}

RequestCounts CountRing::sum(WallTime now, Duration length) const
{
    RequestCounts total;
    const std::int64_t first = std::max<std::int64_t>(0, indexOf(now - length));
    const std::int64_t last = indexOf(now);
    for (const Slot &slot : m_slots) {
        if (slot.index < first || slot.index > last)
            continue;
        total.good += slot.counts.good;
        total.bad += slot.counts.bad;
    }
    return total;
}

RequestCounts CountRing::at(std::int64_t index) const
{
    if (index < 0)
        return {};
    const Slot &slot = m_slots[static_cast<std::size_t>(index) % m_slots.size()];
    return slot.index == index ? slot.counts : RequestCounts{};
}

std::int64_t CountRing::indexOf(WallTime time) const
{
    return time.time_since_epoch() / m_step;
}

Duration CountRing::span() const noexcept
{
    return m_step * static_cast<Duration::rep>(m_slots.size() - 1);
}

} // namespace anvilmill
