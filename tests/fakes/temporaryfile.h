#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace anvilmill::tests {

/// Creates a temporary file, which the destructor removes.
class TemporaryFile
{
public:
    TemporaryFile(const std::string &name, const std::string &text)
        : m_path(std::filesystem::temp_directory_path()
                 / ("anvilmill_" + std::to_string(::getpid()) + "_" + name))
    {
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(m_path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    [[nodiscard]] std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace anvilmill::tests
