#pragma once

#include "anvilmill/clock.h"
#include "peermessage.h"

#include "peer.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace anvilmill::daemon {

/// \brief A message queued for sending.
struct PeerOutgoing
{
    wire::peer::Message message;
    std::optional<HostIncarnation> target;
    MonotonicTime expiry;
    /// Reply handler; set only for requests.
    PeerReplyHandler onReply;
    /// Approximate memory of the body, of a reply.
    std::size_t bytes = 0;
};

/// \brief The approximate memory that \p body holds.
[[nodiscard]] std::size_t approximateBytes(const nlohmann::json &body);

/// \brief Bounded queue of messages for one connection.
///
/// The first message pushed after takeAll() schedules a flush. All messages queued until the flush
/// runs are sent together.
///
/// Thread safety: all methods may be called from any thread.
class PeerOutbox
{
public:
    /// \brief \p scheduleFlush must not call methods of the outbox before it returns.
    PeerOutbox(std::size_t capacity, std::function<void()> scheduleFlush);

    /// \brief Queues \p outgoing. Returns false and leaves it unchanged if the queue is full.
    [[nodiscard]] bool push(PeerOutgoing &outgoing);

    /// \brief Removes and returns all messages.
    [[nodiscard]] std::vector<PeerOutgoing> takeAll();

    /// \brief Removes and returns the messages that have expired at \p now, and with
    /// \p alsoRequests all requests.
    [[nodiscard]] std::vector<PeerOutgoing> takeExpired(MonotonicTime now, bool alsoRequests);

    [[nodiscard]] bool isEmpty() const;

    /// \brief Approximate memory of the replies in the queue.
    [[nodiscard]] std::size_t bytes() const;

private:
    const std::size_t m_capacity;
    const std::function<void()> m_scheduleFlush;
    mutable std::mutex m_mutex;
    std::deque<PeerOutgoing> m_queue;
    bool m_isFlushScheduled = false;
};

} // namespace anvilmill::daemon
