#include "anvilmill/executor/livenesstimeouts.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// A host that sends heartbeats isn't taken for silent because one of them was lost or late.
constexpr Duration MinSilentAfter =
        2 * LivenessTimeouts::HeartbeatInterval + LivenessTimeouts::LoopDelay;

} // namespace

LivenessTimeouts::LivenessTimeouts(const LivenessSettings &settings,
                                   const HoldSettings &hold) noexcept
    : m_settings(settings)
    , m_hold(hold)
    , m_silentAfter(std::max(MinSilentAfter, settings.resubmissionDelay - detectionToEnd()))
{
}

bool LivenessTimeouts::areSufficient() const noexcept
{
    return m_silentAfter + detectionToEnd() <= m_settings.resubmissionDelay;
}

// The silence is noticed by the dispatcher of a transferred job, which tells the holder, which sends
// the stop.
Duration LivenessTimeouts::detectionToEnd() const noexcept
{
    return CheckInterval + 2 * LoopDelay + 2 * RoundTrip + MaxLostStops * StopRepeatInterval
           + m_settings.stopTime;
}

Duration LivenessTimeouts::leaseAfterLastMessage() const noexcept
{
    const auto drift =
            std::chrono::duration_cast<Duration>(m_hold.longestLease * m_hold.largestClockDrift);
    return m_settings.resubmissionDelay - drift - RoundTrip - m_settings.stopTime;
}

} // namespace anvilmill
