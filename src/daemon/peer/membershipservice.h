#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/membership.h"
#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"
#include "anvilmill/randomsource.h"
#include "peertransport.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace anvilmill::daemon {

/// \brief Options of MembershipService.
struct MembershipServiceOptions
{
    MembershipOptions membership;
    /// Initial peers in this and in other data centres, from the settings.
    std::vector<MembershipSeed> seeds;
    Duration callTimeout = std::chrono::milliseconds(800);
    /// Interval between reads of the host list while this host is not a member.
    Duration hostListInterval = std::chrono::seconds(2);
};

/// \brief Runs the membership of one entry host on dedicated threads.
///
/// One thread runs the membership state machine, another makes the platform calls, which may
/// block. Failed calls count against the call budget of the store, if it has one.
///
/// Thread safety: all methods may be called from any thread, except start(), stop() and
/// onViewChange(), which only the owner may call, one at a time.
class MembershipService final : public ViewGuard
{
public:
    using ViewHandler = std::function<void(const View &)>;

    /// \brief All references must outlive the service. \p hosts may be null.
    ///
    /// Registers the handler of the membership channel.
    /// Precondition: \p transport has not been started.
    MembershipService(MembershipServiceOptions options, PeerTransport &transport,
                      KeyValueStore &store, HostList *hosts, const Clock &clock);
    ~MembershipService() override;

    /// \brief Sets the handler called after each change of the view.
    ///
    /// \p handler runs on the service's thread without any lock held, and must not block.
    /// Precondition: start() has not been called.
    void onViewChange(ViewHandler handler);

    /// \brief Precondition: the transport has been started.
    void start();

    /// \brief Stops the threads. Other hosts detect this as a failure; call leave() first to be
    /// removed from the view.
    void stop();

    /// \brief Stops acting as an owner and waits, at most for \p timeout, until this host is
    /// removed from the view.
    ///
    /// Returns true if it was removed.
    bool leave(Duration timeout);

    [[nodiscard]] View currentView() const override;
    [[nodiscard]] bool mayActAsOwner() const override;

    /// \brief The other entry hosts of this data centre that requests may be routed to.
    [[nodiscard]] std::vector<PeerStatus> alivePeers() const;

    /// \brief The latest known summary of each data centre.
    [[nodiscard]] std::vector<wire::peer::DataCentreSummary> dataCentres() const;

    /// \brief The address at which \p member accepts connections; empty if it is not a member of
    /// the current view.
    [[nodiscard]] std::string addressOf(const HostIncarnation &member) const;

private:
    void onMessage(const PeerMessage &message);
    void runMembership();
    void runPlatform();
    void readHostList();
    void send(const std::vector<MembershipSend> &sends);
    [[nodiscard]] std::optional<View> takeNewView();
    void notifyViewChange(const View &view);
    [[nodiscard]] bool hasPlatformWork() const;

    const MembershipServiceOptions m_options;
    PeerTransport &m_transport;
    KeyValueStore &m_store;
    HostList *const m_hosts;
    const Clock &m_clock;
    ViewHandler m_viewHandler;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    SeededRandom m_random;
    std::unique_ptr<Membership> m_membership;
    std::optional<PlatformCall> m_pendingCall;
    MonotonicTime m_nextHostList;
    std::uint64_t m_notifiedEpoch = 0;
    bool m_isStopping = false;

    std::thread m_membershipThread;
    std::thread m_platformThread;
};

} // namespace anvilmill::daemon
