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

// This host goes on sending to a silent holder until it notices the silence and closes the connection.
// From then on the holder doesn't hear from this host. If all stops get lost, the lease ends the runs.
// The silence of a holder is looked for with each heartbeat, and counts from the first one after it was
// sent a request.
Duration LivenessTimeouts::runsEndedAfter() const noexcept
{
    const Duration noticedHere = HeartbeatInterval + m_silentAfter + HeartbeatInterval + LoopDelay;
    const Duration noticedThere = m_silentAfter + CheckInterval + LoopDelay;
    const auto lease = std::chrono::duration_cast<Duration>(m_hold.longestLease
                                                            * (1.0 + m_hold.largestClockDrift));
    return noticedHere + RoundTrip + noticedThere + m_hold.stopGrace + lease + m_hold.maxTransit;
}

} // namespace anvilmill
