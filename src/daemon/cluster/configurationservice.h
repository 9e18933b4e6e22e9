#pragma once

#include "anvilmill/configuration/follower.h"
#include "anvilmill/platform/keyvaluestore.h"

#include "peernetwork.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace anvilmill::daemon {

/// \brief Callbacks of the configuration service.
struct ConfigurationHandlers
{
    /// Applies a newer configuration; called on a thread of the service.
    std::function<void(const Configuration &)> changed;
    /// Called once, when the planned stop of this host in the sheet is due.
    std::function<void()> stopDue;
};

/// \brief Runs the configuration follower of one entry host on dedicated threads.
///
/// One thread runs the follower, one watches the platform if this host is a watcher, and one
/// writes the reports of the data centre if this host is its reporter.
///
/// Thread safety: not thread-safe; to be used only by the owner.
class ConfigurationService final : private FollowerOutput
{
public:
    /// \brief All references must outlive the service.
    ///
    /// Registers the handler of the configuration channel.
    /// Precondition: \p transport has not been started.
    ConfigurationService(PeerTransport &transport, const PeerNetwork &network, KeyValueStore &store,
                         const Clock &clock);
    ~ConfigurationService() override;

    /// \brief Precondition: the transport has been started.
    void start(ConfigurationHandlers handlers);

    /// \brief Stops the threads. Blocks until a watch in progress has returned.
    void stop();

private:
    void send(const HostIncarnation &peer, const ConfigurationMessage &message) override;
    void configurationChanged(const Configuration &configuration) override;

    void received(const PeerMessage &message);
    void runFollower();
    void runWatch();
    void runReports();
    void watchOnce(StoreVersion &known);
    void readConfiguration();
    void checkPlannedStop();
    /// Waits for stop(), at most for \p timeout; returns true if the service is stopping.
    [[nodiscard]] bool waitForStop(Duration timeout);
    [[nodiscard]] StoreTask storeTask();

    PeerTransport &m_transport;
    const PeerNetwork &m_network;
    KeyValueStore &m_store;
    const Clock &m_clock;
    const WallTime m_startedAt;
    ConfigurationHandlers m_handlers;
    bool m_isStopReported = false;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    SeededRandom m_random;
    Follower m_follower;
    bool m_isStopping = false;

    std::thread m_followerThread;
    std::thread m_watchThread;
    std::thread m_reportThread;
};

} // namespace anvilmill::daemon
