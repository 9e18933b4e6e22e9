#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/feedplan.h"
#include "batch/mesh.h"
#include "loop/prefixfollower.h"
#include "loop/timerscope.h"

#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Lets few dispatchers watch the executors' entries for the others, by the FeedPlan.
///
/// Load pattern: each executor writes an entry each 1.5 s, of which one in thousands says anything
/// new. Read by every host, the heartbeats of a thousand executors take a tenth of a weak host's
/// processor and fill slow links for tens of milliseconds at a time. So a host that reads them tells
/// its listeners what is new, at once, with the revisions that it covers, and these tell theirs. A
/// host reads the store itself when it has missed a part, and watches it while its source isn't heard
/// or knows nothing recent itself.
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

    /// \brief The follower has got changes, from the store or by received(); \p news is what they say
    /// beside heartbeats.
    void followed(const std::vector<StoreItem> &news);

    /// \brief Takes what the source tells.
    void received(const Frame &frame);

private:
    [[nodiscard]] bool isReader() const { return m_plan.source.empty(); }
    void beat();
    void tell(const std::vector<StoreItem> &news);
    void take(const wire::meshframe::MeshEntries &message, Duration age);
    void takeKept();

    Mesh &m_mesh;
    const Clock &m_clock;
    PrefixFollower &m_follower;
    std::string m_self;
    FeedPlan m_plan;
    StoreVersion m_toldThrough = NoVersion;
    /// When the store gave the newest answer that is known of here, by this host's clock.
    MonotonicTime m_answered;
    MonotonicTime m_heard;
    /// What was told while a read was under way, which may have begun before.
    std::vector<wire::meshframe::MeshEntries> m_kept;
    /// Age of what is being taken; zero for what the store has just said.
    Duration m_takenAge{};
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
