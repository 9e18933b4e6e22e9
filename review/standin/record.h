#pragma once

#include "anvilmill/clock.h"

#include <fstream>
#include <string>

namespace review {

/// \brief Writes what was sent, answered and run, one line each, with milliseconds from the start.
class Record
{
public:
    /// Precondition: \p clock outlives the record.
    Record(const anvilmill::Clock &clock, const std::string &path)
        : m_clock(clock)
        , m_began(clock.now())
        , m_file(path)
    {
    }

    void line(const std::string &text) { m_file << sinceStart() << " " << text << "\n"; }
    void flush() { m_file.flush(); }

    [[nodiscard]] std::int64_t sinceStart() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_began)
                .count();
    }

private:
    const anvilmill::Clock &m_clock;
    anvilmill::MonotonicTime m_began;
    std::ofstream m_file;
};

} // namespace review
