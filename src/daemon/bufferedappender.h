#pragma once

#include "linebuffer.h"

#include <log4cxx/appenderskeleton.h>

#include <cstdint>
#include <ctime>
#include <functional>
#include <string>

namespace anvilmill::daemon {

/// \brief Buffers log lines for standard output until they are flushed.
///
/// Replaces log4cxx's own classes for performance: a pattern layout formats the whole date for each
/// line, and the writer thread of the buffering appender costs two context switches per line.
///
/// Thread safety: append() is serialised by log4cxx; all other methods are only to be used on the
/// thread that logs.
class BufferedAppender final : public log4cxx::AppenderSkeleton
{
public:
    BufferedAppender();

    void close() override;
    [[nodiscard]] bool requiresLayout() const override { return false; }

    /// \brief Writes as much as standard output accepts without blocking.
    void flush();
    [[nodiscard]] bool isEmpty() const noexcept { return m_lines.isEmpty(); }

    /// \brief Sets a handler that is called when a line is added to the empty buffer.
    void setPendingHandler(std::function<void()> handler);

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    void setSecond(std::time_t second);

    LineBuffer m_lines;
    std::function<void()> m_onPending;
    std::time_t m_second = -1;
    /// Formatted timestamp up to the second, the start of each line.
    std::string m_prefix;
    std::string m_line;
};

} // namespace anvilmill::daemon
