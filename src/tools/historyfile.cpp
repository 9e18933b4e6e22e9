#include "historyfile.h"

#include <chrono>

namespace anvilmill::tools {

namespace {

std::int64_t monotonicNanoseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

Result<HistoryEvent> parseEvent(const std::string &line, const SourcePosition &position)
{
    try {
        return nlohmann::json::parse(line).get<HistoryEvent>();
    } catch (const std::exception &error) {
        return Error{std::string("not an event: ") + error.what(), position};
    }
}

} // namespace

FileHistorySink::FileHistorySink(const std::string &path)
    : m_file(path, std::ios::trunc)
{
}

bool FileHistorySink::isOpen() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_file.is_open() && m_file.good();
}

void FileHistorySink::record(HistoryEvent event) noexcept
{
    try {
        const std::lock_guard<std::mutex> guard(m_lock);
        event.timeNs = monotonicNanoseconds();
        m_file << asLine(event) << '\n';
    } catch (const std::exception &) {
        m_file.setstate(std::ios::badbit);
    }
}

Result<HistoryReader> HistoryReader::open(const std::vector<std::string> &paths)
{
    HistoryReader reader;
    for (const std::string &path : paths) {
        Source source{path, std::ifstream(path), 0, std::nullopt};
        if (!source.file)
            return Error{"can't be read", {path, 0, 0}};
        if (std::optional<Error> error = advance(source))
            return *error;
        reader.m_sources.push_back(std::move(source));
    }
    return reader;
}

std::optional<Error> HistoryReader::advance(Source &source)
{
    source.head.reset();
    std::string line;
    while (std::getline(source.file, line)) {
        ++source.line;
        if (line.empty())
            continue;
        const SourcePosition position{source.path, source.line, 0};
        Result<HistoryEvent> event = parseEvent(line, position);
        if (!event)
            return event.error();
        source.head = LocatedEvent{std::move(*event), position, std::move(line)};
        return std::nullopt;
    }
    return std::nullopt;
}

Result<std::optional<LocatedEvent>> HistoryReader::next()
{
    Source *earliest = nullptr;
    for (Source &source : m_sources) {
        if (!source.head)
            continue;
        if (!earliest || source.head->event.timeNs < earliest->head->event.timeNs)
            earliest = &source;
    }
    if (!earliest)
        return std::optional<LocatedEvent>();
    std::optional<LocatedEvent> event = std::move(earliest->head);
    if (std::optional<Error> error = advance(*earliest))
        return *error;
    if (earliest->head && earliest->head->event.timeNs < event->event.timeNs)
        return Error{"timeNs is below that of the previous line", earliest->head->position};
    return event;
}

} // namespace anvilmill::tools
