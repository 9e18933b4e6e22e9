#include "entryfeed.h"

#include "log.h"

#include <algorithm>
#include <utility>

namespace anvilmill::daemon {

namespace {

constexpr Duration FeedHeartbeatInterval = std::chrono::milliseconds(250);
/// Timeout for a source that is silent or whose last answer from the store is this old: the
/// departure of an executor must be noticed within 2 s.
constexpr Duration SourceTimeout = std::chrono::milliseconds(1200);

/// Messages deferred during one read; if one is discarded, the host reads the store again.
constexpr std::size_t MaxDeferred = 100;

std::int64_t asMicros(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

wire::meshframe::MeshEntry messageOf(const StoreItem &item)
{
    wire::meshframe::MeshEntry message;
    message.key = item.key;
    message.value = item.value;
    message.revision = static_cast<std::int64_t>(item.revision);
    message.removed = item.isRemoved;
    return message;
}

StoreItems itemsOf(const wire::meshframe::MeshEntries &message)
{
    StoreItems items;
    items.outcome = CallOutcome::Done;
    items.revision = static_cast<StoreVersion>(message.through);
    for (const auto &entry : message.items) {
        StoreItem item;
        item.key = entry.key;
        item.value = entry.value;
        item.revision = static_cast<StoreVersion>(entry.revision);
        item.isRemoved = entry.removed;
        items.items.push_back(std::move(item));
    }
    return items;
}

} // namespace

EntryFeed::EntryFeed(Mesh &mesh, TimerQueue &timers, const Clock &clock, PrefixFollower &follower,
                     std::string self)
    : m_mesh(mesh)
    , m_clock(clock)
    , m_follower(follower)
    , m_self(std::move(self))
    , m_timers(timers)
{
    sendHeartbeats();
}

void EntryFeed::setPlan(const FeedPlan &plan)
{
    const FeedPlan before = std::exchange(m_plan, plan);
    // A host that had listeners continues after the last revision sent. Otherwise the listeners
    // read the missing changes from the store.
    if (before.listeners.empty())
        m_sentThrough = m_follower.mirror().revision();
    if (m_plan.source == before.source)
        return;
    LogEvent("executor.readerChanged")
            .with("reader", isReader() ? m_self : m_plan.source)
            .with("listeners", m_plan.listeners.size());
    // The new source gets a full timeout, since it must first receive the new plan.
    m_sourceChosen = m_clock.now();
    if (isReader())
        m_follower.setWatching(true);
}

void EntryFeed::changesReceived(const std::vector<StoreItem> &changes)
{
    if (m_sentThrough == NoVersion) {
        // The listeners read the initial entries themselves.
        m_sentThrough = m_follower.mirror().revision();
        return;
    }
    if (!changes.empty())
        send(changes);
}

Duration EntryFeed::answerAge() const
{
    const Duration reported = m_clock.now() - m_sourceAnswered;
    return std::min(reported, m_follower.answerAge().value_or(reported));
}

void EntryFeed::sendHeartbeats()
{
    m_timers.after(FeedHeartbeatInterval, [this] { sendHeartbeats(); });
    send({});
    // Counts from the store's answer, not from the report of it: otherwise the timeout of a source
    // that has lost the store and that of its reports add up.
    const MonotonicTime since = std::max(m_sourceAnswered, m_sourceChosen);
    if (!isReader() && m_clock.now() - since >= SourceTimeout)
        m_follower.setWatching(true);
}

void EntryFeed::send(const std::vector<StoreItem> &changes)
{
    const StoreVersion after = std::exchange(m_sentThrough, m_follower.mirror().revision());
    if (m_plan.listeners.empty())
        return;
    wire::meshframe::MeshEntries message;
    message.after = static_cast<std::int64_t>(after);
    message.through = static_cast<std::int64_t>(m_sentThrough);
    message.ageUs = asMicros(answerAge());
    for (const StoreItem &item : changes)
        message.items.push_back(messageOf(item));
    Frame frame;
    frame.host = m_self;
    frame.entries = std::move(message);
    m_mesh.send(std::move(frame), m_plan.listeners);
}

void EntryFeed::received(const Frame &frame)
{
    if (!frame.entries || frame.host != m_plan.source || !m_follower.isActive())
        return;
    const wire::meshframe::MeshEntries &message = *frame.entries;
    const std::chrono::microseconds age(message.ageUs);
    if (age >= SourceTimeout)
        return;
    m_sourceAnswered = std::max(m_sourceAnswered, m_clock.now() - age);
    if (m_follower.isReading()) {
        // If each message restarted the read, one that takes longer than the interval would never
        // end.
        if (m_deferred.size() < MaxDeferred)
            m_deferred.push_back(message);
    } else {
        applyDeferred();
        apply(message);
    }
    m_follower.setWatching(false);
}

void EntryFeed::apply(const wire::meshframe::MeshEntries &message)
{
    if (static_cast<StoreVersion>(message.after) > m_follower.mirror().revision()) {
        m_follower.restartRead();
        return;
    }
    m_follower.applyChanges(itemsOf(message));
}

// Each message continues the previous one, so the first one after a gap triggers a new read.
void EntryFeed::applyDeferred()
{
    const auto deferred = std::exchange(m_deferred, {});
    for (const wire::meshframe::MeshEntries &message : deferred) {
        if (!m_follower.isReading())
            apply(message);
    }
}

} // namespace anvilmill::daemon
