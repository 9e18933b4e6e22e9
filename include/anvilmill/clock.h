#pragma once

#include <chrono>

namespace anvilmill {

using Duration = std::chrono::nanoseconds;

/// \brief Monotonic time; values are comparable only within one process.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Wall-clock time; may be off by the clock error that the data centre allows.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// \brief Source of time for all code that makes decisions based on time.
///
/// Implementations are safe to call from any thread.
class Clock
{
public:
    virtual ~Clock() = default;

    [[nodiscard]] virtual MonotonicTime now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;

    /// \brief Time since the machine was started, including the time for which it was suspended.
    ///
    /// The same as now() for clocks that are never suspended.
    [[nodiscard]] virtual Duration sinceBoot() const { return now().time_since_epoch(); }
};

/// \brief The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] MonotonicTime now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    [[nodiscard]] Duration sinceBoot() const override;
};

} // namespace anvilmill
