#include "entryfeed.h"

#include "log.h"

#include <algorithm>
#include <utility>

namespace anvilmill::daemon {

namespace {

constexpr Duration BeatInterval = std::chrono::milliseconds(250);
/// A reader that is not heard for this long, or whose last answer from the store is as old, is not
/// waited for: a leaving executor has to be known within 2 s.
constexpr Duration SilentAfter = std::chrono::milliseconds(1200);

/// Tellings of a read's time; whoever misses one reads again.
constexpr std::size_t MostKept = 100;

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
    // Who had listeners before goes on from what it has told; else each of them reads what it lacks.
    if (before.listeners.empty())
        m_toldThrough = m_follower.mirror().revision();
    if (m_plan.source == before.source)
        return;
    LogEvent("executor.readerChanged")
            .with("reader", isReader() ? m_self : m_plan.source)
            .with("listeners", m_plan.listeners.size());
    // The next source is given the time in which it hears of this, too.
    m_heard = m_clock.now();
    if (isReader())
        m_follower.setWatching(true);
}

void EntryFeed::followed(const std::vector<StoreItem> &news)
{
    m_answered = std::max(m_answered, m_clock.now() - m_takenAge);
    if (m_toldThrough == NoVersion) {
        // The listeners read for themselves what was there at the start.
        m_toldThrough = m_follower.mirror().revision();
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
    const StoreVersion after = std::exchange(m_toldThrough, m_follower.mirror().revision());
    if (m_plan.listeners.empty())
        return;
    wire::meshframe::MeshEntries message;
    message.after = static_cast<std::int64_t>(after);
    message.through = static_cast<std::int64_t>(m_toldThrough);
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
        // Begun again at each telling, a read that takes longer than a beat would never end.
        if (m_kept.size() < MostKept)
            m_kept.push_back(message);
    } else {
        takeKept();
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
    m_takenAge = age;
    m_follower.take(itemsOf(message));
    m_takenAge = {};
}

// Each goes on from the one before, so that the first one after a gap has the rest read again.
void EntryFeed::takeKept()
{
    const auto kept = std::exchange(m_kept, {});
    for (const wire::meshframe::MeshEntries &message : kept) {
        if (!m_follower.isReading())
            take(message, SilentAfter);
    }
}

} // namespace anvilmill::daemon
