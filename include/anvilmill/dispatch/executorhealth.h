#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

class RandomSource;

/// \brief When executors are ejected and probed.
struct HealthSettings
{
    /// Failures in a row that eject an executor that has succeeded before.
    int failuresToEject = 3;
    Duration firstProbeAfter = std::chrono::seconds(1);
    Duration longestProbeInterval = std::chrono::seconds(60);
    /// Largest share of the executors that may be ejected at once.
    double largestEjectedShare = 0.3;
    /// A new executor whose starts have not failed for this long may hold twice as many. An
    /// executor that fails what it starts does so within a few milliseconds.
    Duration trialStep = std::chrono::milliseconds(10);
};

/// \brief Decides how many starts one executor may hold, from how its starts ended.
///
/// A new executor gets one start at a time and twice as many after each success, or after each
/// trial step in which its starts ran without a failure. An ejected one gets a single probe after an interval that doubles with each failed probe.
///
/// Thread safety: one thread at a time.
class ExecutorHealth
{
public:
    explicit ExecutorHealth(const HealthSettings &settings) noexcept;

    void succeeded() noexcept;

    /// \brief Records that starts in flight ran for a trial step without a failure.
    void outlastedTrialStep() noexcept;

    /// \brief Records a failure; returns true if the executor should be ejected.
    [[nodiscard]] bool failed() noexcept;

    /// \brief No starts until the probe interval has passed; it is jittered by \p random.
    void eject(MonotonicTime now, RandomSource &random);

    [[nodiscard]] bool isEjected() const noexcept { return m_isEjected; }
    [[nodiscard]] MonotonicTime probeAt() const noexcept { return m_probeAt; }

    /// \brief True until the executor has shown that it can run all its slots.
    [[nodiscard]] bool isOnTrial(int slots) const noexcept { return m_limit < slots; }

    /// \brief How many starts may be in flight at \p now on an executor of that many slots.
    [[nodiscard]] int startLimit(MonotonicTime now, int slots) const noexcept;

private:
    HealthSettings m_settings;
    int m_limit = 1;
    int m_failuresInARow = 0;
    bool m_hasSucceeded = false;
    bool m_isEjected = false;
    Duration m_probeInterval{};
    MonotonicTime m_probeAt;
};

} // namespace anvilmill
