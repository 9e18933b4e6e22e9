#include "linebuffer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace anvilmill::daemon {

namespace {

/// A pipe that is writable according to poll() accepts this many bytes without blocking.
constexpr std::size_t MaxWriteSize = PIPE_BUF;
/// Written directly, because the report about dropped lines can't go through the log itself.
constexpr const char *DroppedEvent = "log.linesDropped";

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

} // namespace

LineBuffer::LineBuffer(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

bool LineBuffer::add(std::string_view line)
{
    const bool isFirst = m_text.empty();
    if (m_text.size() + line.size() > m_capacity) {
        ++m_dropped;
        return false;
    }
    appendDroppedCount();
    m_text += line;
    return isFirst;
}

void LineBuffer::appendDroppedCount()
{
    if (m_dropped == 0)
        return;
    m_text += std::string("level=WARN event=") + DroppedEvent
              + " lines=" + std::to_string(m_dropped) + "\n";
    m_dropped = 0;
}

void LineBuffer::flush()
{
    std::size_t written = 0;
    while (written < m_text.size() && isWritable(m_descriptor)) {
        const std::size_t length = std::min(MaxWriteSize, m_text.size() - written);
        const ssize_t taken = ::write(m_descriptor, m_text.data() + written, length);
        if (taken <= 0)
            break;
        written += static_cast<std::size_t>(taken);
    }
    m_text.erase(0, written);
    if (m_text.empty())
        appendDroppedCount();
}

} // namespace anvilmill::daemon
