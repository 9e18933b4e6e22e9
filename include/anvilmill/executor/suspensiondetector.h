#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Detects that the machine was suspended: its steady clock was stopped while its boot clock
/// advanced.
///
/// Thread safety: one thread at a time.
class SuspensionDetector
{
public:
    /// \brief Differences up to \p tolerance are ignored as jitter of the clock readings.
    explicit SuspensionDetector(Duration tolerance) noexcept;

    /// \brief True if the machine was suspended since the last call.
    [[nodiscard]] bool wasSuspended(MonotonicTime steady, Duration sinceBoot) noexcept;

private:
    Duration m_tolerance;
    Duration m_offset{};
    bool m_isFirst = true;
};

} // namespace anvilmill
