#include "entryfeed.h"

#include "log.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

constexpr Duration BeatInterval = std::chrono::milliseconds(250);
/// A reader that is not heard for this long, or whose last answer from the store is as old, is not
/// waited for: a leaving executor has to be known within 2 s.
constexpr Duration SilentAfter = std::chrono::milliseconds(1200);

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

void EntryFeed::setReaders(const std::vector<PeerHost> &dispatchers)
{
    const std::string before = m_reader;
    m_reader = dispatchers.empty() ? m_self : dispatchers.front().name;
    m_others.clear();
    for (const PeerHost &host : dispatchers) {
        if (host.name != m_self)
            m_others.push_back(host.name);
    }
    if (m_reader == before)
        return;
    LogEvent("executor.readerChanged").with("reader", m_reader);
    // The next reader is given the time in which it hears of this, too.
    m_heard = m_clock.now();
    if (!isReader())
        return;
    m_toldThrough = m_follower.mirror().revision();
    m_untold.clear();
    m_follower.setWatching(true);
}

void EntryFeed::followed(const std::vector<StoreItem> &news)
{
    m_answered = m_clock.now();
    if (!isReader())
        return;
    if (m_toldThrough == NoVersion) {
        // The others read for themselves what was there at the start.
        m_toldThrough = m_follower.mirror().revision();
        return;
    }
    m_untold.insert(m_untold.end(), news.begin(), news.end());
    if (!news.empty())
        tell();
}

void EntryFeed::beat()
{
    m_timers.after(BeatInterval, [this] { beat(); });
    if (isReader())
        tell();
    else if (m_clock.now() - m_heard >= SilentAfter)
        m_follower.setWatching(true);
}

void EntryFeed::tell()
{
    wire::meshframe::MeshEntries message;
    message.after = static_cast<std::int64_t>(m_toldThrough);
    m_toldThrough = m_follower.mirror().revision();
    message.through = static_cast<std::int64_t>(m_toldThrough);
    message.ageUs = asMicros(m_clock.now() - m_answered);
    for (const StoreItem &item : m_untold)
        message.items.push_back(messageOf(item));
    m_untold.clear();
    Frame frame;
    frame.host = m_self;
    frame.entries = std::move(message);
    m_mesh.send(frame, m_others);
}

void EntryFeed::received(const Frame &frame)
{
    if (!frame.entries || frame.host != m_reader || !m_follower.isActive())
        return;
    const wire::meshframe::MeshEntries &message = *frame.entries;
    if (std::chrono::microseconds(message.ageUs) >= SilentAfter)
        return;
    m_heard = m_clock.now();
    if (static_cast<StoreVersion>(message.after) > m_follower.mirror().revision())
        m_follower.readAgain();
    else
        m_follower.take(itemsOf(message));
    m_follower.setWatching(false);
}

} // namespace anvilmill::daemon
