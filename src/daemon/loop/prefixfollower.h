#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/platform/asyncstore.h"
#include "anvilmill/platform/prefixmirror.h"
#include "loop/timerscope.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilmill {
class RandomSource;
} // namespace anvilmill

namespace anvilmill::daemon {

/// \brief How often a follower may call the store.
struct FollowPace
{
    /// Least time between two watches: changes in between come together in the next answer.
    Duration watchGap = std::chrono::milliseconds(20);
    /// An answer with so many changes needn't hold all there are: the next watch follows at once. The
    /// store lists some 500 at most.
    std::size_t fullAnswer = 400;
    /// How long a watch waits; the store takes up to 30 s.
    Duration watchWait = std::chrono::seconds(10);
    /// First pause after a failed call, doubled up to the longest, with as much jitter.
    Duration firstRetry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::milliseconds(400);
};

/// \brief Follows one prefix of the store: reads it once, then watches it, or takes what another
/// host has read.
///
/// Reads everything again when the store no longer has the changes. Goes on with what it holds
/// while the store can't be reached.
///
/// Thread safety: used by the loop's thread alone.
class PrefixFollower
{
public:
    using ChangeHandler = std::function<void(const std::vector<StoreItem> &changes)>;

    /// Precondition: the references outlive the follower, and the store calls no handler after it.
    PrefixFollower(AsyncStore &store, TimerQueue &timers, RandomSource &random, std::string prefix,
                   const FollowPace &pace, ChangeHandler handler);

    /// \brief Begins with a read; the handler is called from then on. No effect while active.
    void start();

    /// \brief Calls neither the store nor the handler any more, and forgets what it holds, until
    /// start() is called again.
    void stop();

    [[nodiscard]] bool isActive() const noexcept { return m_isActive; }

    /// \brief Whether to watch the store after the read; true at first.
    void setWatching(bool isWatching);

    /// \brief Reads everything anew.
    void readAgain();

    /// \brief True while a read is due or under way: what is held is not whole, or lacks something.
    [[nodiscard]] bool isReading() const noexcept { return m_needsRead || m_isReadUnderWay; }

    /// \brief Takes changes that another host has read; no effect before the first read.
    void take(const StoreItems &changes);

    [[nodiscard]] const PrefixMirror &mirror() const noexcept { return m_mirror; }
    [[nodiscard]] bool isCurrent() const noexcept { return m_isReachable; }

private:
    void read();
    void watch();
    void resume();
    void readDone(const StoreItems &answer);
    void watchDone(const StoreItems &answer);
    void handle(const std::vector<StoreItem> &changes);
    void watchAfter(const StoreItems &answer);
    void failed(const StoreItems &answer);
    void succeeded();
    [[nodiscard]] bool isOutdated();
    void call(void (PrefixFollower::*step)(), Duration delay);

    AsyncStore &m_store;
    RandomSource &m_random;
    std::string m_prefix;
    FollowPace m_pace;
    ChangeHandler m_handler;
    PrefixMirror m_mirror;
    Duration m_retry{};
    bool m_isReachable = false;
    bool m_hasFailed = false;
    bool m_needsRead = true;
    bool m_isReadUnderWay = false;
    bool m_isActive = false;
    bool m_isWatching = true;
    /// A call or a pause before the next one is under way.
    bool m_isBusy = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
