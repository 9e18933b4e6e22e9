#include "log.h"

#include "bufferedappender.h"
#include "logthrottle.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace anvilmill::daemon {

namespace {

std::shared_ptr<BufferedAppender> &buffered()
{
    static std::shared_ptr<BufferedAppender> instance;
    return instance;
}

/// Values that other programs choose, such as the text around a parse error, may be megabytes long.
constexpr std::size_t MaxValueLength = 1000;
/// Enough to follow each decision of one kind in an ordinary second of a host.
constexpr std::size_t InfoLinesPerSecond = 250;
/// Any client or peer can cause warnings.
constexpr std::size_t WarningLinesPerSecond = 100;

std::size_t linesPerSecond(LogEvent::Level level)
{
    return level < LogEvent::Level::Warning ? InfoLinesPerSecond : WarningLinesPerSecond;
}

LogThrottle &throttle()
{
    static LogThrottle instance;
    return instance;
}

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("anvilmill");
    return instance;
}

log4cxx::LevelPtr asLog4cxx(LogEvent::Level level)
{
    switch (level) {
    case LogEvent::Level::Debug:
        return log4cxx::Level::getDebug();
    case LogEvent::Level::Info:
        return log4cxx::Level::getInfo();
    case LogEvent::Level::Warning:
        return log4cxx::Level::getWarn();
    case LogEvent::Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c == ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) < ' ')
            return true;
    }
    return false;
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + '"';
}

} // namespace

LogEvent::LogEvent(std::string_view event, Level level)
    : m_level(level)
{
    if (!logger()->isEnabledFor(asLog4cxx(level)))
        return;
    const std::string name(event);
    const auto omitted =
            throttle().admit(name, std::chrono::steady_clock::now(), linesPerSecond(level));
    if (!omitted)
        return;
    m_line = "event=" + name;
    if (*omitted > 0)
        with("omitted", *omitted);
}

LogEvent::~LogEvent()
{
    if (m_line.empty())
        return;
    logger()->log(asLog4cxx(m_level), m_line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

LogEvent &LogEvent::with(std::string_view key, std::string_view value)
{
    if (m_line.empty())
        return *this;
    m_line += ' ';
    m_line += key;
    m_line += '=';
    const std::string_view logged = value.substr(0, MaxValueLength);
    m_line += needsQuotes(logged) ? quoted(logged) : std::string(logged);
    return *this;
}

LogEvent &LogEvent::with(std::string_view key, std::chrono::nanoseconds value)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return with(std::string(key) + "Us", micros);
}

void configureLog(LogEvent::Level level, LogTarget target)
{
    if (target == LogTarget::StandardOutput) {
        buffered() = std::make_shared<BufferedAppender>();
        log4cxx::BasicConfigurator::configure(buffered());
    } else {
        auto layout = std::make_shared<log4cxx::PatternLayout>(
                "time=%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z level=%p %m%n");
        log4cxx::BasicConfigurator::configure(std::make_shared<log4cxx::ConsoleAppender>(
                layout, log4cxx::ConsoleAppender::getSystemErr()));
    }
    logger()->setLevel(asLog4cxx(level));
}

void onLogPending(std::function<void()> handler)
{
    if (!buffered())
        return;
    if (handler && !buffered()->isEmpty())
        handler();
    buffered()->setPendingHandler(std::move(handler));
}

void flushLog()
{
    if (buffered())
        buffered()->flush();
}

std::uint64_t omittedLogLines()
{
    return throttle().omitted();
}

bool isLogPending()
{
    return buffered() && !buffered()->isEmpty();
}

} // namespace anvilmill::daemon
