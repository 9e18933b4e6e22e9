#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Notices that the machine was suspended: its steady clock stood, its boot clock did not.
///
/// Thread safety: one thread at a time.
class SuspensionDetector
{
public:
    /// \brief \p tolerance: differences below are reading jitter.
    explicit SuspensionDetector(Duration tolerance) noexcept;

    /// \brief True if the machine was suspended since the last call.
    [[nodiscard]] bool wasSuspended(MonotonicTime steady, Duration sinceBoot) noexcept;

private:
    Duration m_tolerance;
    Duration m_offset{};
    bool m_isFirst = true;
};

} // namespace anvilmill
