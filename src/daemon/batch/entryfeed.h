#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"
#include "batch/mesh.h"
#include "loop/prefixfollower.h"
#include "loop/timerscope.h"

#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Lets one dispatcher of a data centre read the executors' entries for the others.
///
/// Load pattern: each executor writes an entry each 1.5 s, of which one in thousands says anything
/// new. Read by every host, the heartbeats of a thousand executors take a tenth of a weak host's
/// processor and fill slow links for tens of milliseconds at a time. So the strongest dispatcher
/// watches the store and tells the others what is new, at once, with the revisions that it covers.
/// The others read the store themselves when they have missed a part, and watch it while the
/// reader isn't heard or hears nothing from the store.
///
/// Thread safety: used by the loop's thread alone.
class EntryFeed
{
public:
    using Frame = wire::meshframe::MeshFrame;

    /// Precondition: the references outlive the feed.
    EntryFeed(Mesh &mesh, TimerQueue &timers, const Clock &clock, PrefixFollower &follower,
              std::string self);

    /// \brief The dispatchers of the data centre; the first one reads for the others.
    void setReaders(const std::vector<PeerHost> &dispatchers);

    /// \brief The follower has got an answer; \p news is what it says beside heartbeats.
    void followed(const std::vector<StoreItem> &news);

    /// \brief Takes what the reader tells.
    void received(const Frame &frame);

private:
    [[nodiscard]] bool isReader() const { return m_reader == m_self; }
    void beat();
    void tell();

    Mesh &m_mesh;
    const Clock &m_clock;
    PrefixFollower &m_follower;
    std::string m_self;
    std::string m_reader;
    std::vector<std::string> m_others;
    std::vector<StoreItem> m_untold;
    StoreVersion m_toldThrough = NoVersion;
    MonotonicTime m_answered;
    MonotonicTime m_heard;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
