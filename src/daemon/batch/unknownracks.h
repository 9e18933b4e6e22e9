#pragma once

#include "anvilmill/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief Logs jobs that name a rack which no executor has, at most once a second.
///
/// Thread safety: used by the loop's thread alone.
class UnknownRacks
{
public:
    /// Precondition: \p clock outlives the object.
    explicit UnknownRacks(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// \brief Call for each job that names such a rack.
    void named(const std::string &rack);

private:
    const Clock &m_clock;
    std::optional<MonotonicTime> m_logged;
    std::size_t m_jobs = 0;
};

} // namespace anvilmill::daemon
