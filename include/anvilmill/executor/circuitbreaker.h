#pragma once

#include "anvilmill/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace anvilmill {

/// \brief When an executor that fails what it runs is tried again.
struct CircuitBreakerSettings
{
    /// Failures in a row from which on one run at a time is started.
    int failuresToLimit = 1;
    /// Failures in a row, of different jobs, after which nothing but probes is started. Jobs that
    /// fail wherever they run rarely follow each other on one executor.
    int failuresToDistrust = 2;
    /// First pause before a probe; about the run time of a short task.
    Duration firstPause = std::chrono::milliseconds(150);
    /// Bounds both the waste on an executor that stays bad and the time that one which has
    /// recovered is left idle.
    Duration longestPause = std::chrono::milliseconds(1500);
};

/// \brief How much may run on one executor, judged by how its runs end, or by which starts get there.
///
/// Load pattern: an executor that fails at once is always idle and draws every start. After one
/// failure it gets one run at a time, after several only single probes, at growing intervals; a
/// success restores it.
///
/// Thread safety: one thread at a time.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const CircuitBreakerSettings &settings) noexcept;

    void succeeded() noexcept;

    /// \brief A run of \p job failed on the executor; of each job only the first in a row counts.
    void failed(const std::string &job, MonotonicTime now);

    /// \brief True if another run may start beside \p running ones.
    [[nodiscard]] bool mayStart(std::size_t running, MonotonicTime now) const noexcept;

    /// \brief When mayStart() may change with time alone.
    [[nodiscard]] std::optional<MonotonicTime> nextProbe() const noexcept;

    [[nodiscard]] bool isDistrusted() const noexcept;

private:
    CircuitBreakerSettings m_settings;
    std::string m_lastFailed;
    int m_failures = 0;
    Duration m_pause{};
    MonotonicTime m_probeAt;
};

} // namespace anvilmill
