#include "entryfeed.h"

#include "log.h"

#include <algorithm>
#include <utility>

namespace anvilmill::daemon {

namespace {

constexpr Duration BeatInterval = std::chrono::milliseconds(250);
/// Timeout for a source that is silent or whose last answer from the store is this old: the
/// departure of an executor must be noticed within 2 s.
constexpr Duration SilentAfter = std::chrono::milliseconds(1200);

/// Messages kept during one read; a host that drops one reads again.
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
    beat();
}

void EntryFeed::setPlan(const FeedPlan &plan)
{
    const FeedPlan before = std::exchange(m_plan, plan);
    // A host that had listeners continues after the last revision sent; otherwise the listeners read
    // what they lack.
    if (before.listeners.empty())
        m_sentThrough = m_follower.mirror().revision();
    if (m_plan.source == before.source)
        return;
    LogEvent("executor.readerChanged")
            .with("reader", isReader() ? m_self : m_plan.source)
            .with("listeners", m_plan.listeners.size());
    // The new source gets a full timeout, since it must first receive the new plan.
    m_heard = m_clock.now();
    if (isReader())
        m_follower.setWatching(true);
}

void EntryFeed::followed(const std::vector<StoreItem> &news)
{
    m_answered = std::max(m_answered, m_clock.now() - m_appliedAge);
    if (m_sentThrough == NoVersion) {
        // The listeners read the initial entries themselves.
        m_sentThrough = m_follower.mirror().revision();
        return;
    }
    if (!news.empty())
        tell(news);
}

void EntryFeed::beat()
{
    m_timers.after(BeatInterval, [this] { beat(); });
    tell({});
    if (!isReader() && m_clock.now() - m_heard >= SilentAfter)
        m_follower.setWatching(true);
}

void EntryFeed::tell(const std::vector<StoreItem> &news)
{
    const StoreVersion after = std::exchange(m_sentThrough, m_follower.mirror().revision());
    if (m_plan.listeners.empty())
        return;
    wire::meshframe::MeshEntries message;
    message.after = static_cast<std::int64_t>(after);
    message.through = static_cast<std::int64_t>(m_sentThrough);
    message.ageUs = asMicros(m_clock.now() - m_answered);
    for (const StoreItem &item : news)
        message.items.push_back(messageOf(item));
    Frame frame;
    frame.host = m_self;
    frame.entries = std::move(message);
    m_mesh.send(frame, m_plan.listeners);
}

void EntryFeed::received(const Frame &frame)
{
    if (!frame.entries || frame.host != m_plan.source || !m_follower.isActive())
        return;
    const wire::meshframe::MeshEntries &message = *frame.entries;
    const std::chrono::microseconds age(message.ageUs);
    if (age >= SilentAfter)
        return;
    m_heard = m_clock.now();
    m_answered = std::max(m_answered, m_heard - age);
    if (m_follower.isReading()) {
        // If each message restarted the read, one that takes longer than the interval would never end.
        if (m_kept.size() < MaxDeferred)
            m_kept.push_back(message);
    } else {
        applyDeferred();
        take(message, age);
    }
    m_follower.setWatching(false);
}

void EntryFeed::take(const wire::meshframe::MeshEntries &message, Duration age)
{
    if (static_cast<StoreVersion>(message.after) > m_follower.mirror().revision()) {
        m_follower.readAgain();
        return;
    }
    // The follower calls followed() from within, and throws nothing.
    m_appliedAge = age;
    m_follower.take(itemsOf(message));
    m_appliedAge = {};
}

// Each message continues the previous one, so the first one after a gap triggers a new read.
void EntryFeed::applyDeferred()
{
    const auto kept = std::exchange(m_kept, {});
    for (const wire::meshframe::MeshEntries &message : kept) {
        if (!m_follower.isReading())
            take(message, SilentAfter);
    }
}

} // namespace anvilmill::daemon
