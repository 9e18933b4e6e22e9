#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Milliseconds since the stand-in was started.
std::int64_t nowMs();

/// Unix milliseconds.
std::int64_t wallMs();

/// \brief The file with what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);

    /// Writes a line about a broken rule and counts it.
    void broken(const std::string &rule, const std::string &text);

    int brokenRules() const;

private:
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    int m_broken = 0;
};

} // namespace review
