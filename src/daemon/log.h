#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>

namespace anvilmill::daemon {

/// \brief Builds and writes one log event: a line of key=value pairs.
///
/// The line is written when the object goes out of scope. Values are quoted where needed. Lines
/// beyond the limit of their event are omitted; the event's next line has their number as `omitted`.
///
/// \code
/// LogEvent("job.finished").with("submission", id).with("tasks", 12);
/// \endcode
///
/// Thread safety: one object belongs to one thread; writing is serialised by log4cxx.
class LogEvent
{
public:
    enum class Level { Debug, Info, Warning, Error };

    explicit LogEvent(std::string_view event, Level level = Level::Info);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    LogEvent &with(std::string_view key, std::string_view value);
    LogEvent &with(std::string_view key, std::chrono::nanoseconds value);

    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    LogEvent &with(std::string_view key, Number value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    Level m_level;
    /// Empty if the line is omitted.
    std::string m_line;
};

/// \brief Destination of log lines.
enum class LogTarget {
    /// Written immediately.
    StandardError,
    /// Buffered until flushLog(). A slow reader never blocks the caller: lines that exceed the
    /// buffer are dropped and counted.
    StandardOutput,
};

/// \brief Sets the minimum level and the destination of log lines. Call once, before any event.
void configureLog(LogEvent::Level level, LogTarget target = LogTarget::StandardError);

/// \brief Sets a handler that is called when a line is added to the empty buffer, on the thread
/// that logged it. Called immediately if lines are buffered already. No effect for unbuffered
/// targets.
void onLogPending(std::function<void()> handler);

/// \brief Writes as many buffered lines as the destination accepts without blocking.
///
/// Thread safety: only to be used on the thread that logs.
void flushLog();

/// \brief Log lines of the process that were omitted because of the limits of their events.
///
/// Thread safety: may be called from any thread.
[[nodiscard]] std::uint64_t omittedLogLines();

/// \brief True while lines are buffered for flushLog().
[[nodiscard]] bool isLogPending();

} // namespace anvilmill::daemon
