#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/platform/asyncstore.h"
#include "anvilmill/platform/prefixmirror.h"
#include "loop/timerscope.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {
class RandomSource;
} // namespace anvilmill

namespace anvilmill::daemon {

/// \brief Intervals between a follower's calls to the store.
struct FollowIntervals
{
    /// Time between two watches. The changes made in the meantime arrive in one reply.
    Duration watchInterval = std::chrono::milliseconds(20);
    /// A reply with this many changes may be truncated, so the next watch follows without a pause.
    /// The store returns about 500 changes at most.
    std::size_t truncationThreshold = 400;
    /// How long a watch waits for changes. If its reply is lost, later changes are seen only after
    /// this and the timeout of the reply: together less than the 2 s in which a change must be in
    /// force.
    Duration watchWait = std::chrono::seconds(1);
    /// Exponential backoff between calls that fail. Up to the same time again is added as jitter.
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(400);
    /// Reads the whole prefix after a failed call, instead of watching from the last revision on.
    bool readsAfterFailure = false;
};

/// \brief Keeps a mirror of one key prefix of the store: reads it once, then watches it or applies
/// the changes that another host has read.
///
/// Reads the whole prefix again if the store no longer keeps the changes since the last reply.
/// While the store is unreachable, the mirror keeps its last contents.
///
/// Thread safety: only to be used on the event loop's thread.
class PrefixFollower
{
public:
    using ChangeHandler = std::function<void(const std::vector<StoreItem> &changes)>;

    /// Precondition: the references outlive the follower, and the store calls no handler after the
    /// follower is destroyed.
    PrefixFollower(AsyncStore &store, TimerQueue &timers, RandomSource &random, std::string prefix,
                   const FollowIntervals &intervals, ChangeHandler handler);

    /// \brief Calls \p handler after each read, when the change handler has received what it changed.
    void onRead(std::function<void()> handler) { m_readHandler = std::move(handler); }

    /// \brief Starts with a read and calls the handler for each change. No effect while active.
    void start();

    /// \brief Clears the mirror and stops calling the store and the handler until start() is called
    /// again.
    void stop();

    [[nodiscard]] bool isActive() const noexcept { return m_isActive; }

    /// \brief Sets whether the store is watched after the read; true by default.
    void setWatching(bool isWatching);

    /// \brief Reads the whole prefix again.
    void restartRead();

    /// \brief True while a read is due or in progress, i.e. the mirror may be incomplete.
    [[nodiscard]] bool isReading() const noexcept { return m_needsRead || m_isReadInProgress; }

    /// \brief Applies changes that another host has read. No effect while inactive or while a read
    /// is due.
    void applyChanges(const StoreItems &changes);

    [[nodiscard]] const PrefixMirror &mirror() const noexcept { return m_mirror; }
    [[nodiscard]] bool isCurrent() const noexcept { return m_isReachable; }

    /// \brief Time since the store last answered a call of this follower; std::nullopt before the
    /// first answer.
    [[nodiscard]] std::optional<Duration> answerAge() const;

private:
    void read();
    void watch();
    void resume();
    void readDone(const StoreItems &reply);
    void watchDone(const StoreItems &reply);
    void notifyHandler(const std::vector<StoreItem> &changes);
    void scheduleWatch(const StoreItems &reply);
    void failed(const StoreItems &reply);
    void succeeded();
    [[nodiscard]] bool isOutdated();
    void schedule(void (PrefixFollower::*step)(), Duration delay);

    AsyncStore &m_store;
    RandomSource &m_random;
    std::string m_prefix;
    FollowIntervals m_intervals;
    ChangeHandler m_handler;
    std::function<void()> m_readHandler;
    PrefixMirror m_mirror;
    Duration m_retryDelay{};
    std::optional<MonotonicTime> m_answered;
    MonotonicTime m_called;
    bool m_isReachable = false;
    bool m_hasFailed = false;
    bool m_needsRead = true;
    bool m_isReadInProgress = false;
    bool m_isActive = false;
    bool m_isWatching = true;
    /// True while a call is in progress or the next one is scheduled.
    bool m_isBusy = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
