#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/configuration/configurationmessage.h"
#include "anvilmill/configuration/revision.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/randomsource.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Output interface of a Follower, implemented by the hosting process.
///
/// Called from within the follower's methods, on the same thread; must not call back into the
/// follower.
class FollowerOutput
{
public:
    virtual ~FollowerOutput() = default;

    /// \brief Sends \p message to \p peer, or drops it. Never blocks.
    virtual void send(const HostIncarnation &peer, const ConfigurationMessage &message) = 0;

    /// \brief Puts \p configuration in force before it returns.
    virtual void configurationChanged(const Configuration &configuration) = 0;
};

struct FollowerOptions
{
    /// Time between two summaries sent for anti-entropy.
    Duration gossipInterval = std::chrono::seconds(1);
    /// Time that a starting host waits for its peers' summaries before it accepts the revision in
    /// the platform's key-value service.
    Duration startupTimeout = std::chrono::milliseconds(500);
    /// Time after which an unanswered request is sent to another peer.
    Duration requestTimeout = std::chrono::seconds(1);
    /// Time after which a watcher sends a new revision again to local hosts that have not
    /// acknowledged it; the second watcher waits twice as long.
    Duration repairDelay = std::chrono::milliseconds(250);
    /// Minimum time between two whole configurations sent to one peer.
    Duration wholeInterval = std::chrono::seconds(1);
    /// Minimum time between two reports written for one data centre.
    Duration reportInterval = std::chrono::milliseconds(250);
    /// Hosts of a data centre that watch the platform's key-value service.
    std::size_t watchersPerDataCentre = 2;
    /// Number of peers of its own data centre, and of peers elsewhere, that a starting host
    /// contacts.
    std::size_t startupPeers = 3;
    std::size_t deltaLogBytes = 32768;
};

/// \brief What the process reads from the platform's key-value service for the follower.
enum class StoreTask { None, Watch, ReadConfiguration };

/// \brief Holds the newest configuration on one entry host and propagates it to its peers.
///
/// Revisions are monotonic: an older revision, or a different sheet with the same revision, is
/// rejected whatever its source, and a conflict is reported by problem(). New revisions arrive as
/// deltas with verified digests. A host that can't apply a delta requests the missing deltas from
/// a peer, and falls back to requesting the whole sheet.
///
/// A few hosts of each data centre, the watchers, watch the platform's key-value service. The
/// highest-ranked watcher pushes new revisions to the other hosts of its data centre, as does a
/// host that receives a revision from another data centre. For anti-entropy, every host
/// periodically sends a summary, its revision and digest, to a random peer.
///
/// Performs no I/O itself.
///
/// \code
/// Follower follower(self, clock, random, output, {});
/// follower.setPeers(membership.liveHosts());
/// // on each message:     follower.receive(peer, message);
/// // on each heartbeat:   follower.receiveHeartbeat(peer, revisionInHeartbeat);
/// // at nextTick():       follower.tick();
/// // as storeTask() says:
/// //     follower.receiveStoreHead(head) or follower.receiveStoreConfiguration(...)
/// \endcode
///
/// Thread safety: one thread at a time.
class Follower
{
public:
    /// \p clock, \p random and \p output must outlive the follower.
    Follower(HostIncarnation self, const Clock &clock, RandomSource &random, FollowerOutput &output,
             const FollowerOptions &options);

    /// \brief Replaces the set of live peers of all data centres; \p peers may include this host.
    void setPeers(const std::vector<HostIncarnation> &peers);

    /// \brief Handles a message received from \p peer.
    void receive(const HostIncarnation &peer, const ConfigurationMessage &message);

    /// \brief Handles the revision \p held that a heartbeat from \p peer carries.
    void receiveHeartbeat(const HostIncarnation &peer, const RevisionId &held);

    /// \brief The revision in force on this host, to be carried in its heartbeats.
    [[nodiscard]] const RevisionId &held() const noexcept { return m_held.id; }

    [[nodiscard]] const Configuration &configuration() const noexcept { return m_held; }

    /// \brief False while a starting host waits for the summaries of its peers.
    [[nodiscard]] bool isStartupComplete() const noexcept { return m_isStartupComplete; }

    /// \brief Runs the actions that are due: startup, retries, repair and gossip.
    void tick();

    /// \brief The time at which tick() is due next.
    [[nodiscard]] MonotonicTime nextTick() const noexcept;

    /// \brief What to read from the platform's key-value service; None on hosts that are not
    /// watchers.
    [[nodiscard]] StoreTask storeTask() const;

    /// \brief Handles the head read from the platform's key-value service.
    void receiveStoreHead(const wire::configuration::Head &head);

    /// \brief Handles a whole configuration read from the platform's key-value service.
    void receiveStoreConfiguration(const Configuration &configuration);

    /// \brief Why a configuration of the platform or of a peer was rejected; empty if none was.
    [[nodiscard]] const std::string &problem() const noexcept { return m_problem; }

    /// \brief The report of this data centre, if this host is its reporter, the report has changed
    /// since reportWritten(), and the report interval has passed.
    [[nodiscard]] std::optional<wire::configuration::InForceReport> reportDue() const;

    /// \brief Records that \p report was written.
    void reportWritten(const wire::configuration::InForceReport &report);

private:
    enum class Source { Platform, LocalPeer, RemotePeer };

    struct PeerState
    {
        RevisionId highestReported;
        bool hasReported = false;
        std::optional<MonotonicTime> wholeSentAt;
    };

    struct OpenRequest
    {
        HostIncarnation peer;
        Revision wanted = 0;
        MonotonicTime sentAt;
    };

    [[nodiscard]] bool isLocal(const HostIncarnation &peer) const noexcept;
    [[nodiscard]] std::vector<HostIncarnation> localPeers() const;
    [[nodiscard]] bool isWatcher() const noexcept;
    [[nodiscard]] bool isReporter() const noexcept;
    void updateRank();

    void recordRevision(const HostIncarnation &peer, const RevisionId &held);
    void receiveSummary(const HostIncarnation &peer, const RevisionId &held);
    void receiveDeltas(const HostIncarnation &peer, const std::vector<Delta> &deltas);
    void receiveWhole(const HostIncarnation &peer, const WholeConfiguration &whole);
    void receiveRequest(const HostIncarnation &peer, const wire::configuration::Request &request);
    void sendWhole(const HostIncarnation &peer);

    [[nodiscard]] bool applyDeltas(const std::vector<Delta> &deltas);
    void adopt(Configuration next);
    void propagate(const RevisionId &before, Source source);
    void push(const std::vector<HostIncarnation> &peers, const RevisionId &before);
    void repairIfDue();
    void acknowledge();
    void request(const HostIncarnation &peer, bool wantsWhole);
    void retryRequest();
    void gossip();
    void contactStartupPeers();
    void completeStartupIfDue();
    void applyPendingHead();
    [[nodiscard]] std::vector<HostIncarnation> peersAhead(Revision revision) const;
    [[nodiscard]] std::vector<HostIncarnation> localPeersBehind() const;
    void checkForConflict(const RevisionId &other, const std::string &origin);

    [[nodiscard]] wire::configuration::InForceReport currentReport() const;
    void addToReport(wire::configuration::InForceReport &report, const std::string &host,
                     const PeerState &state) const;

    void sendSummary(const HostIncarnation &peer);
    template <typename Range>
    [[nodiscard]] const HostIncarnation &pickRandom(const Range &range);

    HostIncarnation m_self;
    const Clock &m_clock;
    RandomSource &m_random;
    FollowerOutput &m_output;
    FollowerOptions m_options;

    Configuration m_held;
    DeltaLog m_log;
    std::map<HostIncarnation, PeerState> m_peers;
    /// Local peers that rank before this host in the order that selects the watchers.
    std::vector<HostIncarnation> m_higherRankedPeers;
    std::optional<OpenRequest> m_request;
    std::string m_problem;

    bool m_isStartupComplete = false;
    MonotonicTime m_startupDeadline;
    std::set<HostIncarnation> m_contactedPeers;
    MonotonicTime m_nextGossip;
    std::optional<MonotonicTime> m_repairAt;
    RevisionId m_repairFrom;
    MonotonicTime m_adoptedAt;

    std::optional<wire::configuration::Head> m_pendingHead;
    Revision m_storeRevision = 0;
    bool m_needsWhole = false;

    std::optional<wire::configuration::InForceReport> m_lastReport;
    MonotonicTime m_reportedAt;
};

} // namespace anvilmill
