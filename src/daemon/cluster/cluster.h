#pragma once

#include "configurationservice.h"
#include "peernetwork.h"

#include "entryhost/entryhost.h"
#include "platform/httpplatform.h"
#include "settingsfile.h"

#include <memory>

namespace anvilmill::daemon {

/// \brief Connects one entry host to the platform and to the other entry hosts.
///
/// Thread safety: not thread-safe; to be used only by the owner.
class Cluster
{
public:
    /// Precondition: settings.platform.server is an address; \p clock outlives the cluster.
    Cluster(const Settings &settings, const HostIncarnation &self, const Clock &clock);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    [[nodiscard]] const ViewGuard &guard() const noexcept { return m_membership; }
    [[nodiscard]] PeerGateway &gateway() noexcept { return m_network; }

    /// \brief `address:port` at which other entry hosts connect; valid after join().
    [[nodiscard]] std::string peerAddress() const { return m_transport.address(); }

    /// \brief Connects \p host and joins the view. \p host must outlive stop().
    ///
    /// \p stopDue is called once, when the planned stop of this host in the sheet is due.
    void join(EntryHost &host, std::function<void()> stopDue);

    /// \brief Leaves the view, so that other hosts take over without waiting for failure detection.
    void leave();

    /// \brief Ends all threads that call the host.
    void stop();

private:
    HttpPlatform m_platform;
    PeerTransport m_transport;
    MembershipService m_membership;
    PeerNetwork m_network;
    ConfigurationService m_configuration;
};

/// \brief Parses the seeds of the settings. The error names the malformed entry.
[[nodiscard]] Result<std::vector<MembershipSeed>>
parseSeeds(const std::vector<std::string> &entries);

} // namespace anvilmill::daemon
