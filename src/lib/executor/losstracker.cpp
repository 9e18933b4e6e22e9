#include "anvilmill/executor/losstracker.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// Older losses are discarded.
constexpr Duration LossWindow = std::chrono::seconds(3);
/// Enough to distinguish losses at several executors from losses at one.
constexpr std::size_t MaxRecordedLosses = 64;
/// With these, a holder of 20 executors sends 400 holds per second, which take 40 ms of processor
/// time.
constexpr HoldIntervals IntervalsUnderLosses{std::chrono::milliseconds(100),
                                             std::chrono::milliseconds(100),
                                             std::chrono::milliseconds(10), true};

} // namespace

LossTracker::LossTracker(const Clock &clock, const HoldIntervals &normal)
    : m_clock(clock)
    , m_normal(normal)
{
}

void LossTracker::lost(const std::string &executor)
{
    m_losses.emplace_back(m_clock.now(), executor);
    if (m_losses.size() > MaxRecordedLosses)
        m_losses.pop_front();
}

const HoldIntervals &LossTracker::intervals()
{
    const MonotonicTime oldest = m_clock.now() - LossWindow;
    while (!m_losses.empty() && m_losses.front().first < oldest)
        m_losses.pop_front();
    const bool hasSeveralExecutors =
            std::any_of(m_losses.begin(), m_losses.end(), [this](const auto &loss) {
                return loss.second != m_losses.front().second;
            });
    return hasSeveralExecutors ? IntervalsUnderLosses : m_normal;
}

} // namespace anvilmill
