#include "bufferedappender.h"

#include <unistd.h>

namespace anvilmill::daemon {

namespace {

/// Bytes buffered for a slow reader: several seconds of log lines at peak load.
constexpr std::size_t BufferCapacity = 1U << 20U;
constexpr std::int64_t MicrosPerSecond = 1000000;
constexpr std::int64_t MicrosPerMilli = 1000;
constexpr std::size_t MilliDigits = 3;

std::string asMillis(std::int64_t micros)
{
    std::string digits = std::to_string(micros % MicrosPerSecond / MicrosPerMilli);
    return digits.insert(0, MilliDigits - digits.size(), '0');
}

} // namespace

BufferedAppender::BufferedAppender()
    : m_lines(STDOUT_FILENO, BufferCapacity)
{
}

void BufferedAppender::close()
{
    flush();
}

void BufferedAppender::flush()
{
    m_lines.flush();
}

void BufferedAppender::setPendingHandler(std::function<void()> handler)
{
    m_onPending = std::move(handler);
}

void BufferedAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &)
{
    const std::int64_t micros = event->getTimeStamp();
    const std::time_t second = micros / MicrosPerSecond;
    if (second != m_second)
        setSecond(second);
    m_line = m_prefix;
    m_line += asMillis(micros);
    m_line += "Z level=";
    m_line += event->getLevel()->toString();
    m_line += ' ';
    m_line += event->getMessage();
    m_line += '\n';
    if (m_lines.add(m_line) && m_onPending)
        m_onPending();
}

void BufferedAppender::setSecond(std::time_t second)
{
    m_second = second;
    std::tm parts{};
    ::gmtime_r(&second, &parts);
    char text[sizeof("time=2000-01-01T00:00:00.")];
    std::strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:%S.", &parts);
    m_prefix = text;
}

} // namespace anvilmill::daemon
