#include "peeroutbox.h"

#include <algorithm>
#include <iterator>

namespace anvilmill::daemon {

PeerOutbox::PeerOutbox(std::size_t capacity, std::function<void()> scheduleFlush)
    : m_capacity(capacity)
    , m_scheduleFlush(std::move(scheduleFlush))
{
}

bool PeerOutbox::push(PeerOutgoing &outgoing)
{
    bool mustSchedule = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_capacity)
            return false;
        m_queue.push_back(std::move(outgoing));
        mustSchedule = !m_isFlushScheduled;
        m_isFlushScheduled = true;
    }
    if (mustSchedule)
        m_scheduleFlush();
    return true;
}

std::vector<PeerOutgoing> PeerOutbox::takeAll()
{
    const std::lock_guard lock(m_mutex);
    m_isFlushScheduled = false;
    std::vector<PeerOutgoing> taken(std::make_move_iterator(m_queue.begin()),
                                    std::make_move_iterator(m_queue.end()));
    m_queue.clear();
    return taken;
}

std::vector<PeerOutgoing> PeerOutbox::takeExpired(MonotonicTime now, bool alsoRequests)
{
    const std::lock_guard lock(m_mutex);
    const auto isKept = [&](const PeerOutgoing &outgoing) {
        return outgoing.expiry > now && !(alsoRequests && outgoing.onReply);
    };
    const auto expired = std::stable_partition(m_queue.begin(), m_queue.end(), isKept);
    std::vector<PeerOutgoing> taken(std::make_move_iterator(expired),
                                    std::make_move_iterator(m_queue.end()));
    m_queue.erase(expired, m_queue.end());
    return taken;
}

bool PeerOutbox::isEmpty() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.empty();
}

} // namespace anvilmill::daemon
