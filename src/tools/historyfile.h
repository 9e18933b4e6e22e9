#pragma once

#include "anvilmill/history/historyevent.h"
#include "anvilmill/result.h"

#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Writes events to a file, one line each, in the order of their times.
///
/// Times come from the monotonic clock of the machine, so that files of several processes on one
/// machine can be checked together.
///
/// Thread safety: all methods may be called from any thread.
class FileHistorySink final : public HistorySink
{
public:
    /// \brief Creates or truncates \p path. isOpen() returns whether this succeeded.
    explicit FileHistorySink(const std::string &path);

    [[nodiscard]] bool isOpen() const;

    void record(HistoryEvent event) noexcept override;

private:
    mutable std::mutex m_lock;
    std::ofstream m_file;
};

/// \brief An event with its file and line.
struct LocatedEvent
{
    HistoryEvent event;
    SourcePosition position;
    std::string line;
};

/// \brief Reads the events of several files, merged by time, without holding them in memory.
///
/// Thread safety: one thread at a time.
class HistoryReader
{
public:
    /// \brief Opens the files; the error names the first file that can't be read.
    [[nodiscard]] static Result<HistoryReader> open(const std::vector<std::string> &paths);

    /// \brief The next event, std::nullopt at the end, or an error with the position of a malformed
    /// line.
    [[nodiscard]] Result<std::optional<LocatedEvent>> next();

private:
    struct Source
    {
        std::string path;
        std::ifstream file;
        int line = 0;
        std::optional<LocatedEvent> head;
    };

    [[nodiscard]] static std::optional<Error> advance(Source &source);

    std::vector<Source> m_sources;
};

} // namespace anvilmill::tools
