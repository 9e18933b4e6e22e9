#include "log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace anvilmill::daemon {

namespace {

/// Lines that wait for the writer: a second's worth at the crest, below a megabyte.
constexpr int LongestLogQueue = 4096;

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
    , m_line("event=" + std::string(event))
{
}

LogEvent::~LogEvent()
{
    logger()->log(asLog4cxx(m_level), m_line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

LogEvent &LogEvent::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += needsQuotes(value) ? quoted(value) : std::string(value);
    return *this;
}

LogEvent &LogEvent::with(std::string_view key, std::chrono::nanoseconds value)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return with(std::string(key) + "Us", micros);
}

void configureLog(LogEvent::Level level, LogTarget target)
{
    const bool isOutput = target == LogTarget::StandardOutput;
    auto layout = std::make_shared<log4cxx::PatternLayout>(
            "time=%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z level=%p %m%n");
    auto console = std::make_shared<log4cxx::ConsoleAppender>(
            layout, isOutput ? log4cxx::ConsoleAppender::getSystemOut()
                             : log4cxx::ConsoleAppender::getSystemErr());
    if (isOutput) {
        auto queue = std::make_shared<log4cxx::AsyncAppender>();
        queue->setBlocking(false);
        queue->setBufferSize(LongestLogQueue);
        queue->addAppender(console);
        log4cxx::BasicConfigurator::configure(queue);
    } else {
        log4cxx::BasicConfigurator::configure(console);
    }
    logger()->setLevel(asLog4cxx(level));
}

} // namespace anvilmill::daemon
