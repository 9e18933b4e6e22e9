#include "anvilmill/executor/losstracker.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// Losses from before count no more.
constexpr Duration LossesKept = std::chrono::seconds(3);
/// As many are enough to tell two executors from one.
constexpr std::size_t MostLossesKept = 64;
/// A holder of 20 executors sends 400 holds a second so, 40 ms of processor time.
constexpr HoldPace LossyPace{std::chrono::milliseconds(100), std::chrono::milliseconds(100),
                             std::chrono::milliseconds(10), true};

} // namespace

LossTracker::LossTracker(const Clock &clock, const HoldPace &calm)
    : m_clock(clock)
    , m_calm(calm)
{
}

void LossTracker::lost(const std::string &executor)
{
    m_lost.emplace_back(m_clock.now(), executor);
    if (m_lost.size() > MostLossesKept)
        m_lost.pop_front();
}

const HoldPace &LossTracker::pace()
{
    const MonotonicTime oldest = m_clock.now() - LossesKept;
    while (!m_lost.empty() && m_lost.front().first < oldest)
        m_lost.pop_front();
    const bool areSeveral = std::any_of(m_lost.begin(), m_lost.end(), [this](const auto &loss) {
        return loss.second != m_lost.front().second;
    });
    return areSeveral ? LossyPace : m_calm;
}

} // namespace anvilmill
