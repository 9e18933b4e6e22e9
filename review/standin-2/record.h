#pragma once

#include "anvilmill/clock.h"

#include <fstream>
#include <string>

namespace anvilmill::review {

/// \brief Writes what was sent, answered and run, one line each, with the milliseconds since the start.
///
/// Thread safety: one thread at a time.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_began(std::chrono::steady_clock::now())
    {
    }

    void line(const std::string &text)
    {
        const auto since = std::chrono::steady_clock::now() - m_began;
        m_file << std::chrono::duration_cast<std::chrono::milliseconds>(since).count() << " ms "
               << text << std::endl;
    }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_began;
};

} // namespace anvilmill::review
