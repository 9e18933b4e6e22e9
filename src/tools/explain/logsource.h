#pragma once

#include "anvilmill/result.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill::tools {

/// \brief One parsed log line of `anvilmill machine`.
struct LogLine
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// \brief The value of the field \p key; empty if the line has no such field.
    [[nodiscard]] const std::string &value(std::string_view key) const;
};

/// \brief Parses `key=value` pairs; std::nullopt if the line has no time or no event.
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view line);

/// \brief Called with a line, the name of its source and its line number from 1.
using LineHandler =
        std::function<void(std::string_view line, const std::string &source, std::size_t number)>;

/// \brief Logs that can be read more than once.
class LogSources
{
public:
    /// \brief Opens files, folders (recursively), and standard input, which is named `-`.
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
