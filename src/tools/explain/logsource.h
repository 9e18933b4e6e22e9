#pragma once

#include "anvilmill/result.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill::tools {

/// \brief One line of a log of `anvilmill machine`, taken apart.
struct LogLine
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// \brief The value of a field; empty if the line has none.
    [[nodiscard]] const std::string &value(std::string_view key) const;
};

/// \brief Takes apart `key=value` pairs; nothing if the line has no time or no event.
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view line);

/// \brief Called with each line, the source's name and the line's number from 1.
using LineHandler =
        std::function<void(std::string_view line, const std::string &source, std::size_t number)>;

/// \brief Logs that can be read more than once.
class LogSources
{
public:
    /// \brief Opens files, whole folders, and standard input by the name `-`.
    ///
    /// Standard input is kept in memory. Files that end in `.gz` are decompressed.
    [[nodiscard]] static Result<LogSources> open(const std::vector<std::string> &paths);

    /// \brief Reads all lines, source by source.
    void read(const LineHandler &handler) const;

    /// \brief The sources' names, in the order of reading.
    [[nodiscard]] const std::vector<std::string> &names() const noexcept { return m_files; }

private:
    std::vector<std::string> m_files;
    std::vector<std::string> m_standardInput;
};

} // namespace anvilmill::tools
