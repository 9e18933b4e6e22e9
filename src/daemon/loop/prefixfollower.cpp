#include "prefixfollower.h"

#include "log.h"
#include "timerqueue.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <exception>

namespace anvilmill::daemon {

PrefixFollower::PrefixFollower(AsyncStore &store, TimerQueue &timers, RandomSource &random,
                               std::string prefix, const FollowPace &pace, ChangeHandler handler)
    : m_store(store)
    , m_random(random)
    , m_prefix(std::move(prefix))
    , m_pace(pace)
    , m_handler(std::move(handler))
    , m_retry(pace.firstRetry)
    , m_timers(timers)
{
}

void PrefixFollower::start()
{
    if (m_isActive)
        return;
    m_isActive = true;
    readAgain();
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

void PrefixFollower::readAgain()
{
    m_needsRead = true;
    resume();
}

void PrefixFollower::resume()
{
    if (!m_isBusy)
        watch();
}

void PrefixFollower::take(const StoreItems &changes)
{
    if (!m_isActive || m_needsRead)
        return;
    handle(m_mirror.takeChanges(changes));
}

// A failing handler must not end the following: the next call to the store comes after it.
void PrefixFollower::handle(const std::vector<StoreItem> &changes)
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
    m_isReadUnderWay = true;
    m_store.readAll(m_prefix, [this](const StoreItems &answer) { readDone(answer); });
}

void PrefixFollower::watch()
{
    m_isBusy = m_isActive && (m_needsRead || m_isWatching);
    if (!m_isBusy)
        return;
    if (m_needsRead) {
        read();
        return;
    }
    m_store.watch(m_prefix, m_mirror.revision(), m_pace.watchWait,
                  [this](const StoreItems &answer) { watchDone(answer); });
}

void PrefixFollower::readDone(const StoreItems &answer)
{
    m_isReadUnderWay = false;
    if (isOutdated())
        return;
    if (answer.outcome != CallOutcome::Done) {
        m_needsRead = true;
        failed(answer);
        return;
    }
    succeeded();
    handle(m_mirror.takeAll(answer));
    call(&PrefixFollower::watch, m_pace.watchGap);
}

// Answers to calls from before stop() say nothing of what is held since.
bool PrefixFollower::isOutdated()
{
    if (m_isActive && !m_needsRead)
        return false;
    call(&PrefixFollower::watch, m_pace.watchGap);
    return true;
}

void PrefixFollower::watchDone(const StoreItems &answer)
{
    if (isOutdated())
        return;
    switch (answer.outcome) {
    case CallOutcome::Done:
    case CallOutcome::Unchanged: {
        succeeded();
        handle(m_mirror.takeChanges(answer));
        watchAfter(answer);
        return;
    }
    case CallOutcome::HistoryGone:
        LogEvent("store.historyGone").with("prefix", m_prefix).with("after", m_mirror.revision());
        m_needsRead = true;
        call(&PrefixFollower::watch, m_pace.watchGap);
        return;
    case CallOutcome::Conflict:
    case CallOutcome::Unreachable:
    case CallOutcome::Unknown:
    case CallOutcome::NoLease:
        failed(answer);
        return;
    }
}

// With a pause after each, answers of limited size fall behind what is written, without bound.
void PrefixFollower::watchAfter(const StoreItems &answer)
{
    const bool isFull = answer.items.size() >= m_pace.fullAnswer;
    call(&PrefixFollower::watch, isFull ? Duration{} : m_pace.watchGap);
}

void PrefixFollower::failed(const StoreItems &answer)
{
    if (!m_hasFailed)
        LogEvent("store.lost", LogEvent::Level::Warning)
                .with("prefix", m_prefix)
                .with("outcome", asString(answer.outcome))
                .with("reason", answer.reason)
                .with("revision", m_mirror.revision());
    m_hasFailed = true;
    m_isReachable = false;
    const auto jittered =
            std::chrono::duration_cast<Duration>(m_retry * (1.0 + m_random.nextUnit()));
    m_retry = std::min(m_retry * 2, m_pace.longestRetry);
    call(&PrefixFollower::watch, jittered);
}

void PrefixFollower::succeeded()
{
    if (m_hasFailed)
        LogEvent("store.regained").with("prefix", m_prefix).with("revision", m_mirror.revision());
    m_hasFailed = false;
    m_isReachable = true;
    m_retry = m_pace.firstRetry;
}

void PrefixFollower::call(void (PrefixFollower::*step)(), Duration delay)
{
    m_timers.after(delay, [this, step] { (this->*step)(); });
}

} // namespace anvilmill::daemon
