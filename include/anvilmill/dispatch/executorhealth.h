#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

class RandomSource;

/// \brief Settings for the slow start, ejection and probing of executors.
struct HealthSettings
{
    /// Consecutive failures that eject an executor with an earlier success.
    int failuresToEject = 3;
    Duration initialProbeInterval = std::chrono::seconds(1);
    Duration maxProbeInterval = std::chrono::seconds(60);
    /// Maximum share of the executors that are ejected at the same time.
    double maxEjectedShare = 0.3;
    /// Slow start doubles the limit of a new executor whose starts ran for this long without a
    /// failure. An executor that fails its starts does so within a few milliseconds.
    Duration slowStartStep = std::chrono::milliseconds(10);
};

/// \brief Limits the starts in flight on one executor by the outcomes of earlier starts.
///
/// The limit of a new executor is one start; slow start doubles it after each success and after
/// each step in which starts ran without a failure. An ejected executor receives a single probe
/// after an interval that doubles with each failed probe.
///
/// Thread safety: one thread at a time.
class ExecutorHealth
{
public:
    explicit ExecutorHealth(const HealthSettings &settings) noexcept;

    void recordSuccess() noexcept;

    /// \brief Records that starts in flight ran for a whole slow start step without a failure.
    void recordSlowStartStep() noexcept;

    /// \brief Records a failure; returns true if the executor should be ejected.
    [[nodiscard]] bool recordFailure() noexcept;

    /// \brief Blocks starts until the next probe; \p random adds jitter to the interval.
    void eject(MonotonicTime now, RandomSource &random);

    [[nodiscard]] bool isEjected() const noexcept { return m_isEjected; }
    [[nodiscard]] MonotonicTime probeAt() const noexcept { return m_probeAt; }

    /// \brief True while the limit is below the executor's number of slots.
    [[nodiscard]] bool isInSlowStart(int slots) const noexcept { return m_startLimit < slots; }

    /// \brief Returns the maximum number of starts in flight at \p now on \p slots slots.
    [[nodiscard]] int startLimit(MonotonicTime now, int slots) const noexcept;

private:
    HealthSettings m_settings;
    int m_startLimit = 1;
    int m_consecutiveFailures = 0;
    bool m_hasSucceeded = false;
    bool m_isEjected = false;
    Duration m_probeInterval{};
    MonotonicTime m_probeAt;
};

} // namespace anvilmill
