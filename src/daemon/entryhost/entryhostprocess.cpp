#include "entryhostprocess.h"

#include "log.h"

#include <thread>

namespace anvilmill::daemon {

namespace {

constexpr const char *NoPlatform = "none";
constexpr Duration StopPollInterval = std::chrono::milliseconds(10);

/// Start time in milliseconds: increases with each restart and each replacement of the host.
std::uint64_t incarnationAt(WallTime now)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
}

std::unique_ptr<Cluster> makeCluster(const Settings &settings, const HostIncarnation &self,
                                     const Clock &clock)
{
    if (settings.platform.server == NoPlatform)
        return nullptr;
    return std::make_unique<Cluster>(settings, self, clock);
}

} // namespace

EntryHostProcess::EntryHostProcess(const Settings &settings, const Clock &clock,
                                   std::function<void()> stopDue)
    : m_clock(clock)
    , m_self{settings.host.dataCentre, settings.host.name, incarnationAt(clock.wallNow())}
    , m_standaloneGuard(m_self)
    , m_cluster(makeCluster(settings, m_self, clock))
    , m_host(settings, clock, m_self, m_cluster ? m_cluster->guard() : m_standaloneGuard,
             m_cluster ? m_cluster->gateway() : m_nullGateway)
    , m_server(std::make_unique<CallerServer>(m_host))
{
    if (m_cluster)
        m_cluster->join(m_host, std::move(stopDue));
    LogEvent("host.started")
            .with("dataCentre", settings.host.dataCentre)
            .with("host", settings.host.name)
            .with("incarnation", m_self.incarnation)
            .with("callers", m_server->address())
            .with("peers", peerAddress());
}

EntryHostProcess::~EntryHostProcess()
{
    if (m_cluster)
        m_cluster->stop();
}

std::string EntryHostProcess::peerAddress() const
{
    return m_cluster ? m_cluster->peerAddress() : "";
}

bool EntryHostProcess::isIdle() const
{
    return m_host.isIdle() && m_server->openRequests() == 0;
}

bool EntryHostProcess::stop()
{
    const auto &shutdown = m_host.settings().shutdown;
    LogEvent("host.stopping").with("jobs", m_host.figures().jobs);
    m_host.announceStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(shutdown.announceMs));
    m_host.refuseNewJobs();
    const MonotonicTime limit = m_clock.now() + std::chrono::milliseconds(shutdown.graceMs);
    while (!isIdle() && m_clock.now() < limit)
        std::this_thread::sleep_for(StopPollInterval);
    const bool isDone = isIdle();
    if (m_cluster)
        m_cluster->leave();
    LogEvent("host.stopped").with("complete", isDone);
    return isDone;
}

} // namespace anvilmill::daemon
