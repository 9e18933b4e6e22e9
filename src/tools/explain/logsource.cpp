#include "explain/logsource.h"

#include <Poco/InflatingStream.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace anvilmill::tools {

namespace {

namespace fs = std::filesystem;

const char *const StandardInput = "-";

/// Parses a value up to the next space or the closing quote, and removes it from \p remaining.
std::string parseValue(std::string_view &remaining)
{
    if (remaining.empty() || remaining.front() != '"') {
        const std::size_t end = std::min(remaining.find(' '), remaining.size());
        std::string value(remaining.substr(0, end));
        remaining.remove_prefix(end);
        return value;
    }
    std::string value;
    remaining.remove_prefix(1);
    while (!remaining.empty() && remaining.front() != '"') {
        if (remaining.front() == '\\' && remaining.size() > 1)
            remaining.remove_prefix(1);
        value += remaining.front();
        remaining.remove_prefix(1);
    }
    if (!remaining.empty())
        remaining.remove_prefix(1);
    return value;
}

void readStream(std::istream &stream, const std::string &name, const LineHandler &handler)
{
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); ++number)
        handler(line, name, number);
}

bool isCompressed(const std::string &path)
{
    return fs::path(path).extension() == ".gz";
}

std::vector<std::string> filesUnder(const std::string &folder)
{
    std::vector<std::string> files;
    for (const auto &entry : fs::recursive_directory_iterator(folder)) {
        if (entry.is_regular_file())
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

const std::string &LogLine::value(std::string_view key) const
{
    static const std::string none;
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const auto &field) { return field.first == key; });
    return found == fields.end() ? none : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    LogLine parsed;
    while (!line.empty()) {
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(line.substr(0, equals));
        key.erase(0, key.find_first_not_of(' '));
        line.remove_prefix(equals + 1);
        std::string value = parseValue(line);
        parsed.fields.emplace_back(std::move(key), std::move(value));
    }
    if (parsed.value("time").empty() || parsed.value("event").empty())
        return std::nullopt;
    return parsed;
}

Result<LogSources> LogSources::open(const std::vector<std::string> &paths)
{
    LogSources sources;
    for (const std::string &path : paths) {
        std::error_code error;
        if (path == StandardInput) {
            sources.m_files.push_back(path);
            std::string line;
            while (std::getline(std::cin, line))
                sources.m_standardInput.push_back(line);
        } else if (fs::is_directory(path, error)) {
            const std::vector<std::string> files = filesUnder(path);
            sources.m_files.insert(sources.m_files.end(), files.begin(), files.end());
        } else if (std::ifstream(path)) {
            sources.m_files.push_back(path);
        } else {
            return Error{path + " can't be read", {}};
        }
    }
    return sources;
}

void LogSources::read(const LineHandler &handler) const
{
    for (const std::string &name : m_files) {
        if (name == StandardInput) {
            for (std::size_t i = 0; i < m_standardInput.size(); ++i)
                handler(m_standardInput[i], name, i + 1);
            continue;
        }
        std::ifstream file(name, std::ios::binary);
        if (!isCompressed(name)) {
            readStream(file, name, handler);
            continue;
        }
        Poco::InflatingInputStream inflating(file, Poco::InflatingStreamBuf::STREAM_GZIP);
        readStream(inflating, name, handler);
    }
}

} // namespace anvilmill::tools
