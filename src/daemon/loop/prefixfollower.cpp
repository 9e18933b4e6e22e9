#include "prefixfollower.h"

#include "log.h"
#include "timerqueue.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <exception>

namespace anvilmill::daemon {

PrefixFollower::PrefixFollower(AsyncStore &store, TimerQueue &timers, RandomSource &random,
                               std::string prefix, const FollowIntervals &intervals,
                               ChangeHandler handler)
    : m_store(store)
    , m_random(random)
    , m_prefix(std::move(prefix))
    , m_intervals(intervals)
    , m_handler(std::move(handler))
    , m_retryDelay(intervals.minRetryDelay)
    , m_timers(timers)
{
}

void PrefixFollower::start()
{
    if (m_isActive)
        return;
    m_isActive = true;
    restartRead();
}

void PrefixFollower::stop()
{
    m_isActive = false;
    m_isReachable = false;
    m_mirror = {};
}

void PrefixFollower::setWatching(bool isWatching)
{
    m_isWatching = isWatching;
    resume();
}

void PrefixFollower::restartRead()
{
    m_needsRead = true;
    resume();
}

void PrefixFollower::resume()
{
    if (!m_isBusy)
        watch();
}

void PrefixFollower::applyChanges(const StoreItems &changes)
{
    if (!m_isActive || m_needsRead)
        return;
    notifyHandler(m_mirror.applyChanges(changes));
}

// An exception of the handler must not stop the follower, which schedules its next call to the
// store only afterwards.
void PrefixFollower::notifyHandler(const std::vector<StoreItem> &changes)
{
    if (changes.empty())
        return;
    try {
        m_handler(changes);
    } catch (const std::exception &exception) {
        LogEvent("store.changesFailed", LogEvent::Level::Error)
                .with("prefix", m_prefix)
                .with("changes", changes.size())
                .with("reason", exception.what());
    }
}

void PrefixFollower::read()
{
    m_isBusy = true;
    m_needsRead = false;
    m_isReadInProgress = true;
    m_store.readAll(m_prefix, [this](const StoreItems &reply) { readDone(reply); });
}

void PrefixFollower::watch()
{
    m_isBusy = m_isActive && (m_needsRead || m_isWatching);
    if (!m_isBusy)
        return;
    m_called = m_timers.now();
    if (m_needsRead) {
        read();
        return;
    }
    m_store.watch(m_prefix, m_mirror.revision(), m_intervals.watchWait,
                  [this](const StoreItems &reply) { watchDone(reply); });
}

void PrefixFollower::readDone(const StoreItems &reply)
{
    m_isReadInProgress = false;
    if (isOutdated())
        return;
    if (reply.outcome != CallOutcome::Done) {
        m_needsRead = true;
        failed(reply);
        return;
    }
    succeeded();
    notifyHandler(m_mirror.applyRead(reply));
    if (m_readHandler)
        m_readHandler();
    schedule(&PrefixFollower::watch, m_intervals.watchInterval);
}

// A reply to a call from before the last stop() or restartRead() does not fit the mirror's
// contents.
bool PrefixFollower::isOutdated()
{
    if (m_isActive && !m_needsRead)
        return false;
    schedule(&PrefixFollower::watch, m_intervals.watchInterval);
    return true;
}

void PrefixFollower::watchDone(const StoreItems &reply)
{
    if (isOutdated())
        return;
    switch (reply.outcome) {
    case CallOutcome::Done:
    case CallOutcome::Unchanged: {
        succeeded();
        notifyHandler(m_mirror.applyChanges(reply));
        scheduleWatch(reply);
        return;
    }
    case CallOutcome::HistoryGone:
        LogEvent("store.historyGone").with("prefix", m_prefix).with("after", m_mirror.revision());
        // The missed changes are older than any others: they are read without a pause.
        m_needsRead = true;
        watch();
        return;
    case CallOutcome::Conflict:
    case CallOutcome::Unreachable:
    case CallOutcome::Unknown:
    case CallOutcome::NoLease:
        failed(reply);
        return;
    }
}

// Replies are limited in size: with a pause after each, the follower would fall behind the writes
// without bound.
void PrefixFollower::scheduleWatch(const StoreItems &reply)
{
    const bool isFull = reply.items.size() >= m_intervals.truncationThreshold;
    schedule(&PrefixFollower::watch, isFull ? Duration{} : m_intervals.watchInterval);
}

void PrefixFollower::failed(const StoreItems &reply)
{
    if (!m_hasFailed)
        LogEvent("store.lost", LogEvent::Level::Warning)
                .with("prefix", m_prefix)
                .with("outcome", asString(reply.outcome))
                .with("reason", reply.reason)
                .with("revision", m_mirror.revision())
                .with("answerAge", answerAge().value_or(Duration()));
    m_hasFailed = true;
    m_needsRead = m_needsRead || m_intervals.readsAfterFailure;
    m_isReachable = false;
    const auto jittered =
            std::chrono::duration_cast<Duration>(m_retryDelay * (1.0 + m_random.nextUnit()));
    m_retryDelay = std::min(m_retryDelay * 2, m_intervals.maxRetryDelay);
    // A call that timed out has delayed the next one already.
    schedule(&PrefixFollower::watch, std::max(m_called + jittered - m_timers.now(), Duration{}));
}

void PrefixFollower::succeeded()
{
    if (m_hasFailed)
        LogEvent("store.regained")
                .with("prefix", m_prefix)
                .with("revision", m_mirror.revision())
                .with("answerAge", answerAge().value_or(Duration()));
    m_hasFailed = false;
    m_isReachable = true;
    m_answered = m_timers.now();
    m_retryDelay = m_intervals.minRetryDelay;
}

std::optional<Duration> PrefixFollower::answerAge() const
{
    return m_answered ? std::make_optional(m_timers.now() - *m_answered) : std::nullopt;
}

void PrefixFollower::schedule(void (PrefixFollower::*step)(), Duration delay)
{
    m_timers.after(delay, [this, step] { (this->*step)(); });
}

} // namespace anvilmill::daemon
