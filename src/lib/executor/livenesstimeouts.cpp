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
    , m_leaseAfterLastMessage(std::max(MinSilentAfter + hold.longestLease / 2,
                                       settings.resubmissionDelay - leaseToEnd()))
{
}

bool LivenessTimeouts::areSufficient() const noexcept
{
    return m_silentAfter + detectionToEnd() <= m_settings.resubmissionDelay
           && m_leaseAfterLastMessage + leaseToEnd() <= m_settings.resubmissionDelay;
}

// The silence is noticed by the dispatcher of a transferred job, which tells the holder, which sends
// the stop.
Duration LivenessTimeouts::detectionToEnd() const noexcept
{
    return CheckInterval + 2 * LoopDelay + 2 * RoundTrip + MaxLostStops * StopRepeatInterval
           + m_settings.stopTime;
}

Duration LivenessTimeouts::leaseToEnd() const noexcept
{
    const auto drift =
            std::chrono::duration_cast<Duration>(m_hold.longestLease * m_hold.largestClockDrift);
    return drift + RoundTrip + m_settings.stopTime;
}

} // namespace anvilmill
