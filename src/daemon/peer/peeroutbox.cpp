#include "peeroutbox.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace anvilmill::daemon {

namespace {

/// A value with its share of the container's nodes.
constexpr std::size_t ValueBytes = 64;

} // namespace

std::size_t approximateBytes(const nlohmann::json &body)
{
    std::size_t bytes = ValueBytes;
    if (body.is_string())
        bytes += body.get_ref<const std::string &>().size();
    if (body.is_binary())
        bytes += body.get_binary().size();
    if (body.is_structured()) {
        for (const auto &value : body)
            bytes += approximateBytes(value);
    }
    return bytes;
}

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

std::size_t PeerOutbox::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return std::accumulate(
            m_queue.begin(), m_queue.end(), std::size_t{0},
            [](std::size_t sum, const PeerOutgoing &outgoing) { return sum + outgoing.bytes; });
}

} // namespace anvilmill::daemon
