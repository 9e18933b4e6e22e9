#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/heldexecutor.h"

namespace anvilmill {

/// \brief Limits of the platform that decide how soon the runs of a lost host must have ended.
struct LivenessSettings
{
    /// Time between a caller's loss of its host and its next submission of the job, to another host.
    Duration resubmissionDelay = std::chrono::milliseconds(1300);
    /// Longest time that an executor takes to stop a run.
    Duration stopTime = std::chrono::milliseconds(50);
};

/// \brief Timeouts after which entry hosts conclude that a peer, its requests or its runs are gone.
///
/// Nothing but the passing of time tells a host of the end of a peer that is frozen or cut off, so
/// these timeouts are what keeps a task from running twice. All of them are derived here, as sums of
/// the longest time that each step takes; docs/design/liveness.md shows the sums.
///
/// Thread safety: immutable.
class LivenessTimeouts
{
public:
    /// Interval of the heartbeats that each host sends to the hosts with which it shares runs or jobs.
    static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(250);
    /// Interval of the heartbeats to the other connected hosts.
    static constexpr Duration RareHeartbeatInterval = 4 * HeartbeatInterval;
    /// Silence after which a host that sends these is connected again. It shares nothing with this host,
    /// so nothing ends.
    static constexpr Duration RareSilentAfter = RareHeartbeatInterval * 5 / 2;
    /// Interval at which a host looks for silent peers whose runs and jobs it has.
    static constexpr Duration CheckInterval = std::chrono::milliseconds(50);
    /// Longest iteration of a busy host's loop, by which it acts later than it should.
    static constexpr Duration LoopDelay = std::chrono::milliseconds(50);
    /// Longest round trip between two hosts, or between a host and an executor.
    static constexpr Duration RoundTrip = std::chrono::milliseconds(5);
    /// Interval at which a stop is repeated until the executor lists the run's end.
    static constexpr Duration StopRepeatInterval = std::chrono::milliseconds(100);
    /// Stops of one run that may get lost in a row. If more do, only the lease ends the run.
    static constexpr int MaxLostStops = 2;

    LivenessTimeouts(const LivenessSettings &settings, const HoldSettings &hold) noexcept;

    /// \brief True if the resubmission delay is long enough for the sums below.
    [[nodiscard]] bool areSufficient() const noexcept;

    /// \brief Time from the last message of a host, by the time at which it was sent, to the stop of
    /// what it shares with this host.
    [[nodiscard]] Duration silentAfter() const noexcept { return m_silentAfter; }

    /// \brief Longest age at which a request of another host is still carried out.
    ///
    /// Half of silentAfter(): the other half is left to read the cancellation that may follow the
    /// request.
    [[nodiscard]] Duration maxRequestAge() const noexcept { return m_silentAfter / 2; }

    /// \brief Time from the last message of a host, by the time at which it was sent, to the latest end of a
    /// lease that is requested for its runs.
    ///
    /// Its runs end within the resubmission delay whether or not a stop arrives, if areSufficient().
    [[nodiscard]] Duration leaseAfterLastMessage() const noexcept
    {
        return m_leaseAfterLastMessage;
    }

private:
    /// From the detection of a silent host to the end of its runs, if no more stops get lost than
    /// MaxLostStops.
    [[nodiscard]] Duration detectionToEnd() const noexcept;
    /// By how much a run may outlive the time until which its lease was requested.
    [[nodiscard]] Duration leaseToEnd() const noexcept;

    LivenessSettings m_settings;
    HoldSettings m_hold;
    Duration m_silentAfter;
    Duration m_leaseAfterLastMessage;
};

} // namespace anvilmill
