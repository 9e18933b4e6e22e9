#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/authority.h"
#include "anvilmill/membership/membershipoptions.h"
#include "anvilmill/membership/peertable.h"
#include "anvilmill/membership/platformround.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/membership/viewplan.h"

#include "peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilmill {

/// \brief Agrees on the view of one data centre through the platform, and guards its use.
///
/// The delegate is the first member that is alive and reaches the platform. In each round it renews
/// the leases of all members whose heartbeats it received, reads the view, confirms both to them,
/// and writes the next view when hosts join, leave or have lapsed. A member that receives no
/// confirmations makes such rounds too, but does not add or remove members. A host outside the view
/// writes only the first view, or one that replaces a view none of whose members can act any more.
///
/// A later epoch is written only after the writer's own promises have expired, so that no host can
/// still act on promises under the earlier epoch. A member is removed only if it has reported that
/// it is leaving, or if its lease was found lapsed for longer than any authority lasts.
///
/// Performs no I/O: takeCall() returns the next call to make, answered() processes its
/// answer.
///
/// Thread safety: one thread at a time.
class ViewAgreement
{
public:
    /// \brief \p clock must outlive this object.
    ViewAgreement(const MembershipOptions &options, HostIncarnation self, std::string address,
                  const Clock &clock);

    /// \brief Adopts a view received from a peer if it is later than the current one.
    void adoptIfLater(const wire::peer::ViewRecord &record);

    /// \brief Begins a round of calls if one is due.
    void tick(const PeerTable &peers);

    /// \brief Makes the next round due as soon as MembershipOptions::minRoundInterval permits.
    void requestEarlyRound();

    /// \brief The call to make now, if any. One call at a time.
    [[nodiscard]] std::optional<PlatformCall> takeCall();

    /// \brief Processes the answer to the call that takeCall() returned last.
    void answered(const PlatformAnswer &answer, const PeerTable &peers);

    /// \brief Stops acting and requests removal from the view.
    void leave();

    /// \brief Makes a promise for a heartbeat that is sent now; returns its length, zero for none.
    ///
    /// A delegate whose confirmation is not about to expire makes none, so that it can write at
    /// once.
    [[nodiscard]] Duration makePromise(const PeerTable &peers);

    /// \brief True while this host's confirmation is about to expire or has expired.
    [[nodiscard]] bool isConfirmationEnding() const;

    /// \brief The sequence of the last heartbeat of \p member for which the view and the lease were
    /// confirmed.
    [[nodiscard]] std::optional<std::int64_t>
    confirmedSequence(const HostIncarnation &member) const;

    /// \brief Returns whether a heartbeat has to be sent to the other hosts at once, and clears the
    /// request.
    [[nodiscard]] bool takeBroadcastRequest();

    [[nodiscard]] const wire::peer::ViewRecord &record() const noexcept { return m_record; }
    [[nodiscard]] std::uint64_t epoch() const noexcept;
    [[nodiscard]] bool isMember() const;
    [[nodiscard]] bool isLeaving() const noexcept { return m_isLeaving; }
    [[nodiscard]] bool isDelegate(const PeerTable &peers) const;

    /// \brief False if the last round of calls failed.
    [[nodiscard]] bool hasPlatform() const noexcept { return m_hasPlatform; }
    [[nodiscard]] Authority &authority() noexcept { return m_authority; }
    [[nodiscard]] const Authority &authority() const noexcept { return m_authority; }
    [[nodiscard]] bool mayActAsOwner() const;

    /// \brief True while the platform is known to hold a view older than the current one.
    [[nodiscard]] bool isStoreOlder() const noexcept { return m_isStoreOlder; }

private:
    void adopt(const wire::peer::ViewRecord &record);
    void beginRound(const PeerTable &peers);
    void endRound(Duration interval);
    [[nodiscard]] bool isAvailable(const HostIncarnation &host, const PeerTable &peers) const;
    void failRound();
    [[nodiscard]] bool isRoundNeeded(const PeerTable &peers) const;
    [[nodiscard]] bool isFirstNonMember(const PeerTable &peers) const;
    void renewed(const LeaseReply &reply);
    void queried(const LeaseReply &reply);
    void readEntry(const StoreReply &reply, const PeerTable &peers);
    [[nodiscard]] bool parseRecord(const std::optional<StoreEntry> &entry);
    void granted(const LeaseReply &reply);
    void written(const StoreReply &reply);
    void recordLapsedLeases();
    void confirmMembers();
    void planNext(const PeerTable &peers);
    void prepareWrite();
    [[nodiscard]] bool mayWrite(const PeerTable &peers) const;
    [[nodiscard]] bool isReplaceable(const PeerTable &peers) const;
    [[nodiscard]] bool isAddressReused(const wire::peer::Member &member,
                                       const PeerTable &peers) const;
    [[nodiscard]] bool isRemovable(const wire::peer::Member &member, const PeerTable &peers) const;
    [[nodiscard]] ViewFacts facts(const PeerTable &peers) const;

    const MembershipOptions m_options;
    const HostIncarnation m_self;
    const std::string m_address;
    const Clock &m_clock;
    const MonotonicTime m_started;

    wire::peer::ViewRecord m_record;
    Authority m_authority;
    std::map<HostIncarnation, std::int64_t> m_confirmed;
    MonotonicTime m_promisedUntil;
    bool m_isLeaving = false;
    bool m_isBroadcastRequested = false;

    // State of the store at the last read.
    StoreVersion m_storeVersion = NoVersion;
    bool m_isStoreOlder = false;
    wire::peer::ViewRecord m_storeRecord;
    LapsedLeases m_lapsed;

    // The round in progress.
    bool m_isInRound = false;
    bool m_hasPlatform = true;
    std::optional<PlatformCall> m_nextCall;
    PlatformCall m_currentCall;
    std::vector<LeaseId> m_silentMemberLeases;
    RoundFindings m_findings;
    ViewPlan m_plan;
    MonotonicTime m_lastRoundStart;
    MonotonicTime m_nextRound;
    std::uint64_t m_changes = 0;
    // No promises are made from the decision to write a later epoch until its outcome is known.
    bool m_wantsEpochChange = false;
    std::optional<StorePut> m_uncertainWrite;
};

} // namespace anvilmill
