#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/randomsource.h"

#include <mutex>
#include <optional>

namespace anvilmill::daemon {

/// \brief Decides when a caller should return whose job was refused because open jobs use up the memory.
///
/// The longer there has been no room, the later. At the next deadline of an open job, its memory is released.
///
/// Load pattern: open jobs that end slowly, or not before their deadlines.
///
/// Thread safety: all methods may be called from any thread.
class RoomForecast
{
public:
    explicit RoomForecast(std::uint64_t seed);

    /// \brief There was room for a job at \p now.
    void roomFound(MonotonicTime now);

    /// \brief Returns one second to one minute.
    [[nodiscard]] Duration retryAfter(MonotonicTime now, std::optional<MonotonicTime> nextDeadline);

private:
    std::mutex m_lock;
    SeededRandom m_random;
    MonotonicTime m_lastRoom = MonotonicTime::min();
};

} // namespace anvilmill::daemon
