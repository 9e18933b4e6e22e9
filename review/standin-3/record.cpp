#include "record.h"

#include <chrono>
#include <iostream>

namespace review {

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
            .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << nowMs() << " ms " << text << std::endl;
}

void Record::broken(const std::string &rule, const std::string &text)
{
    line("BROKEN " + rule + ": " + text);
    const std::lock_guard lock(m_mutex);
    if (m_broken++ < 10)
        std::cout << nowMs() << " ms BROKEN " << rule << ": " << text << std::endl;
}

int Record::brokenRules() const
{
    const std::lock_guard lock(m_mutex);
    return m_broken;
}

} // namespace review
