#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace anvilmill::daemon {

/// \brief Buffers lines for a file descriptor and writes them in batches without blocking.
///
/// Lines that exceed the buffer's capacity because of a slow reader are dropped and counted. The
/// count is written as a separate line as soon as there is space.
///
/// Thread safety: one thread at a time.
class LineBuffer
{
public:
    /// Precondition: \p descriptor stays open for the lifetime of the buffer. \p capacity is in
    /// bytes.
    LineBuffer(int descriptor, std::size_t capacity);

    /// \brief Adds \p line, which must end with a newline; returns true if the buffer was empty.
    bool add(std::string_view line);

    /// \brief Writes as much as the descriptor accepts without blocking.
    void flush();

    [[nodiscard]] bool isEmpty() const noexcept { return m_text.empty(); }
    /// \brief Lines dropped since the last reported count.
    [[nodiscard]] std::size_t dropped() const noexcept { return m_dropped; }

private:
    void appendDroppedCount();

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_text;
    std::size_t m_dropped = 0;
};

} // namespace anvilmill::daemon
