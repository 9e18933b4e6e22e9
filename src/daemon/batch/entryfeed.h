#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/feedplan.h"
#include "batch/mesh.h"
#include "loop/prefixfollower.h"
#include "loop/timerscope.h"

#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Forwards changes of the executors' entries, so that only the readers of the FeedPlan
/// watch the store.
///
/// Load pattern: each executor writes its entry every 1.5 s, and one write in thousands contains a
/// change. Read by every host, the heartbeats of a thousand executors take a tenth of a weak host's
/// processor and fill slow links for tens of milliseconds at a time. So a host that reads them
/// sends the changes to its listeners immediately, with the range of revisions covered, and these
/// forward them to theirs. A host reads the store when it has missed a range, and watches it while
/// its source is silent or lacks recent data.
///
/// Thread safety: used by the loop's thread alone.
class EntryFeed
{
public:
    using Frame = wire::meshframe::MeshFrame;

    /// Precondition: the references outlive the feed.
    EntryFeed(Mesh &mesh, TimerQueue &timers, const Clock &clock, PrefixFollower &follower,
              std::string self);

    void setPlan(const FeedPlan &plan);

    /// \brief Call when the follower has received changes, from the store or by received().
    /// \p changes excludes entries that were only written again, as heartbeats.
    void changesReceived(const std::vector<StoreItem> &changes);

    /// \brief Handles a frame; applies the entries in it if it is from the source.
    void received(const Frame &frame);

    /// \brief Time since the store's newest answer to this host or to its source; since the
    /// clock's epoch before the first one.
    [[nodiscard]] Duration answerAge() const;

private:
    [[nodiscard]] bool isReader() const { return m_plan.source.empty(); }
    void sendHeartbeats();
    void send(const std::vector<StoreItem> &changes);
    void apply(const wire::meshframe::MeshEntries &message);
    void applyDeferred();

    Mesh &m_mesh;
    const Clock &m_clock;
    PrefixFollower &m_follower;
    std::string m_self;
    FeedPlan m_plan;
    StoreVersion m_sentThrough = NoVersion;
    /// Time of the store's newest answer that the source has reported, by this host's clock.
    MonotonicTime m_sourceAnswered;
    MonotonicTime m_sourceChosen;
    /// Messages received during a read; its result may be older than they are.
    std::vector<wire::meshframe::MeshEntries> m_deferred;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
