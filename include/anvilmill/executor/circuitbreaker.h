#pragma once

#include "anvilmill/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace anvilmill {

/// \brief Thresholds and backoff of the circuit breaker of one executor.
struct CircuitBreakerSettings
{
    /// Number of consecutive failures from which only one run at a time is started.
    int failuresToLimit = 1;
    /// Consecutive failures, of different jobs, at which the circuit breaker opens, so that only
    /// probes are started. Jobs that fail on every executor rarely follow each other on the same
    /// one.
    int failuresToOpen = 2;
    /// First delay before a probe; about the run time of a short task.
    Duration firstBackoff = std::chrono::milliseconds(150);
    /// Longest delay before a probe. It limits both the runs wasted on an executor that keeps
    /// failing and the time for which a recovered one stays idle.
    Duration longestBackoff = std::chrono::milliseconds(1500);
};

/// \brief Circuit breaker that limits the runs on one executor, by failed runs or by lost starts.
///
/// Load pattern: an executor that fails its runs immediately is always idle and so gets most
/// starts. After one failure it gets one run at a time. After several failures the circuit breaker
/// opens and allows only single probes, with exponential backoff. A success closes it.
///
/// Thread safety: one thread at a time.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const CircuitBreakerSettings &settings) noexcept;

    /// \brief Records a success, which closes the circuit breaker.
    void succeeded() noexcept;

    /// \brief Records a failed run of \p job; consecutive failures of the same job count once.
    void failed(const std::string &job, MonotonicTime now);

    /// \brief True if another run may start in addition to \p running active ones.
    [[nodiscard]] bool mayStart(std::size_t running, MonotonicTime now) const noexcept;

    /// \brief The time from which the next probe is allowed; std::nullopt unless the circuit
    /// breaker is open.
    [[nodiscard]] std::optional<MonotonicTime> nextProbe() const noexcept;

    /// \brief True if the circuit breaker is open: only probes may start.
    [[nodiscard]] bool isOpen() const noexcept;

private:
    CircuitBreakerSettings m_settings;
    std::string m_lastFailed;
    int m_failures = 0;
    Duration m_backoff{};
    MonotonicTime m_probeAt;
};

} // namespace anvilmill
