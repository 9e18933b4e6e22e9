#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/datacentredirectory.h"
#include "anvilmill/membership/membershipoptions.h"
#include "anvilmill/membership/peertable.h"
#include "anvilmill/membership/viewagreement.h"
#include "anvilmill/randomsource.h"

#include "peer.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The address of an entry host that is contacted before any heartbeat has been received.
struct MembershipSeed
{
    std::string dataCentre;
    std::string address;
};

/// \brief A message for the owner of a Membership to send.
struct MembershipSend
{
    std::string address;
    /// If set, the message is dropped unless this incarnation answers at the address.
    std::optional<HostIncarnation> to;
    wire::peer::MembershipMessage message;
};

/// \brief The entry hosts of this data centre and of the others, as one host sees them.
///
/// Sends heartbeats within the data centre, agrees on views through the platform (see
/// ViewAgreement), and exchanges one small message per interval with each other data centre.
///
/// Performs no I/O. The owner calls tick() at the latest at nextWakeTime(), and after every
/// event sends what takeSends() returns and makes the call that takeCall() returns.
///
/// \code
/// membership.tick();
/// for (const MembershipSend &send : membership.takeSends())
///     transport.send({send.address, send.to}, channel, send.message);
/// if (const auto call = membership.takeCall())
///     membership.answered(perform(*call, store, timeout));
/// \endcode
///
/// Thread safety: one thread at a time.
class Membership
{
public:
    /// \brief \p clock and \p random must outlive this object.
    Membership(const MembershipOptions &options, const HostIncarnation &self, std::string address,
               std::vector<MembershipSeed> seeds, const Clock &clock, RandomSource &random);

    /// \brief Processes a message from another entry host.
    void received(const HostIncarnation &from, const std::string &address,
                  const wire::peer::MembershipMessage &message);

    /// \brief Performs all work that is due.
    void tick();

    /// \brief The latest time at which tick() has to be called if no event occurs before.
    [[nodiscard]] MonotonicTime nextWakeTime() const;

    /// \brief The messages to send now.
    [[nodiscard]] std::vector<MembershipSend> takeSends();

    /// \brief The call to the platform to make now, if any; one at a time.
    [[nodiscard]] std::optional<PlatformCall> takeCall();

    /// \brief Processes the answer to the call that takeCall() returned last.
    void answered(const PlatformAnswer &answer);

    /// \brief Stops acting and has this host removed from the view.
    void leave();

    /// \brief True once leave() was called and the current view does not contain this host.
    [[nodiscard]] bool hasLeft() const;

    /// \brief Adds peers to contact, for example from the platform's host list.
    void addSeeds(const std::vector<MembershipSeed> &seeds);

    [[nodiscard]] View currentView() const;
    [[nodiscard]] bool mayActAsOwner() const;

    /// \brief The other entry hosts of this data centre that requests may be routed to.
    [[nodiscard]] std::vector<PeerStatus> alivePeers() const;

    [[nodiscard]] const DataCentreDirectory &directory() const noexcept { return m_directory; }
    [[nodiscard]] const ViewAgreement &agreement() const noexcept { return m_agreement; }

private:
    void heartbeatReceived(const HostIncarnation &from, const std::string &address,
                           const wire::peer::Heartbeat &heartbeat);
    void processConfirmations(const HostIncarnation &from, const wire::peer::Heartbeat &heartbeat);
    void compareDirectories(const PeerStatus &peer, std::int64_t digest);
    void processSummaries(const std::string &address, const HostIncarnation &from,
                          const wire::peer::MembershipMessage &message);
    void broadcast();
    void sendHeartbeat(const PeerStatus &peer, std::int64_t sequence, bool isUrgent);
    void contactSeeds(std::int64_t sequence);
    [[nodiscard]] std::vector<PeerStatus> heartbeatTargets() const;
    [[nodiscard]] wire::peer::Heartbeat makeHeartbeat(std::int64_t sequence, bool isUrgent);
    [[nodiscard]] bool needsAnswers() const;
    void updateOwnSummary();
    void sendSummaries();
    [[nodiscard]] std::map<std::string, std::vector<std::string>> remoteContacts() const;

    const MembershipOptions m_options;
    const HostIncarnation m_self;
    const std::string m_address;
    std::vector<MembershipSeed> m_seeds;
    const Clock &m_clock;
    RandomSource &m_random;
    PeerTable m_peers;
    ViewAgreement m_agreement;
    DataCentreDirectory m_directory;
    std::vector<MembershipSend> m_sends;
    MonotonicTime m_nextBroadcast;
    MonotonicTime m_nextSummary;
    MonotonicTime m_nextExchange;
    std::uint64_t m_contactIndex = 0;
    bool m_isConfirmationEnding = false;
};

} // namespace anvilmill
