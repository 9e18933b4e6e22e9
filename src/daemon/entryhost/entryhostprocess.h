#pragma once

#include "caller/callerserver.h"
#include "cluster/cluster.h"
#include "entryhost.h"

#include <functional>
#include <memory>

namespace anvilmill::daemon {

/// \brief An entry host with all its interfaces, from start to planned stop.
///
/// Thread safety: stop() may be called from any thread, once.
class EntryHostProcess
{
public:
    /// \p stopDue is called once, when the planned stop of this host in the sheet is due.
    EntryHostProcess(const Settings &settings, const Clock &clock,
                     std::function<void()> stopDue = {});
    ~EntryHostProcess();

    [[nodiscard]] std::string callerAddress() const { return m_server->address(); }
    [[nodiscard]] EntryHost &host() noexcept { return m_host; }

    /// \brief `address:port` at which other entry hosts connect; empty for a standalone host.
    [[nodiscard]] std::string peerAddress() const;

    /// \brief Graceful shutdown: fails the readiness check, then refuses new jobs, then waits for
    /// the work in flight, at most for the grace period of the settings. Returns false if work
    /// was left unfinished.
    bool stop();

private:
    [[nodiscard]] bool isIdle() const;

    const Clock &m_clock;
    HostIncarnation m_self;
    StandaloneViewGuard m_standaloneGuard;
    NullPeerGateway m_nullGateway;
    /// Null if no platform is configured.
    std::unique_ptr<Cluster> m_cluster;
    EntryHost m_host;
    std::unique_ptr<CallerServer> m_server;
};

} // namespace anvilmill::daemon
