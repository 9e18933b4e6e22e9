#pragma once

#include "anvilmill/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace anvilmill::daemon {

/// \brief Limits the log lines that each event writes in a second.
///
/// Thread safety: all methods may be called from any thread.
class LogThrottle
{
public:
    /// \brief Admits a line of \p event, or counts it as omitted and returns std::nullopt.
    ///
    /// Returns how many lines of the event were omitted since its last admitted line.
    /// Precondition: the number of different events is bounded; \p linesPerSecond is positive.
    [[nodiscard]] std::optional<std::uint64_t> admit(const std::string &event, MonotonicTime now,
                                                     std::size_t linesPerSecond);

    /// \brief Lines of all events that were omitted.
    [[nodiscard]] std::uint64_t omitted() const;

private:
    struct Event
    {
        MonotonicTime second;
        std::size_t lines = 0;
        std::uint64_t omitted = 0;
    };

    mutable std::mutex m_lock;
    std::unordered_map<std::string, Event> m_events;
    std::uint64_t m_omitted = 0;
};

} // namespace anvilmill::daemon
