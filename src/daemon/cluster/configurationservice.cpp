#include "configurationservice.h"

#include "anvilmill/configuration/configurationmessage.h"
#include "anvilmill/configuration/plannedstop.h"
#include "anvilmill/configuration/revisionstore.h"
#include "log.h"

namespace anvilmill::daemon {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration WatchTimeout = std::chrono::seconds(2);
constexpr Duration IdleInterval = std::chrono::milliseconds(200);
constexpr Duration RetryDelay = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::milliseconds(100);

void sleepFor(Duration length)
{
    std::this_thread::sleep_for(length);
}

} // namespace

ConfigurationService::ConfigurationService(PeerTransport &transport, const PeerNetwork &network,
                                           KeyValueStore &store, const Clock &clock)
    : m_transport(transport)
    , m_network(network)
    , m_store(store)
    , m_clock(clock)
    , m_startedAt(clock.wallNow())
    , m_random(transport.self().incarnation)
    , m_follower(transport.self(), clock, m_random, *this, {})
{
    transport.setHandler(PeerChannel::Configuration,
                         [this](const PeerMessage &message) { received(message); });
}

ConfigurationService::~ConfigurationService()
{
    stop();
}

void ConfigurationService::start(ConfigurationHandlers handlers)
{
    m_handlers = std::move(handlers);
    m_followerThread = std::thread([this] { runFollower(); });
    m_watchThread = std::thread([this] { runWatch(); });
    m_reportThread = std::thread([this] { runReports(); });
}

void ConfigurationService::stop()
{
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread *thread : {&m_followerThread, &m_watchThread, &m_reportThread}) {
        if (thread->joinable())
            thread->join();
    }
}

void ConfigurationService::send(const HostIncarnation &peer, const ConfigurationMessage &message)
{
    if (const auto target = m_network.targetOf(peer))
        m_transport.send(*target, PeerChannel::Configuration, message);
}

void ConfigurationService::configurationChanged(const Configuration &configuration)
{
    LogEvent("configuration.inForce")
            .with("revision", configuration.id.revision)
            .with("digest", configuration.id.digest);
    if (m_handlers.changed)
        m_handlers.changed(configuration);
}

void ConfigurationService::received(const PeerMessage &message)
{
    const auto parsed = message.body.get<ConfigurationMessage>();
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_follower.receive(message.from, parsed);
}

void ConfigurationService::runFollower()
{
    while (!waitForStop(TickInterval)) {
        const std::vector<HostIncarnation> peers = m_network.knownHosts();
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_follower.setPeers(peers);
        m_follower.tick();
        checkPlannedStop();
    }
}

void ConfigurationService::checkPlannedStop()
{
    const HostIncarnation &self = m_transport.self();
    const Sheet &sheet = m_follower.configuration().sheet;
    const std::string name = self.dataCentre + "/" + self.host;
    if (m_isStopReported || !ownStopDue(sheet, name, m_clock.wallNow(), m_startedAt))
        return;
    m_isStopReported = true;
    LogEvent("configuration.stopDue").with("host", name);
    if (m_handlers.stopDue)
        m_handlers.stopDue();
}

void ConfigurationService::runWatch()
{
    StoreVersion known = NoVersion;
    while (!waitForStop(Duration::zero())) {
        switch (storeTask()) {
        case StoreTask::None:
            (void)waitForStop(IdleInterval);
            break;
        case StoreTask::Watch:
            watchOnce(known);
            break;
        case StoreTask::ReadConfiguration:
            readConfiguration();
            break;
        }
    }
}

void ConfigurationService::watchOnce(StoreVersion &known)
{
    const StoreReply reply = m_store.watch(configurationHeadKey(), known, WatchTimeout);
    if (reply.outcome == CallOutcome::Unchanged)
        return;
    const auto stored =
            reply.isDone() ? parseStoredHead(reply) : Result<StoredHead>(Error{reply.reason, {}});
    if (!stored) {
        LogEvent("configuration.watchFailed", LogEvent::Level::Warning)
                .with("reason", stored.error().reason);
        (void)waitForStop(RetryDelay);
        return;
    }
    known = stored->version;
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (stored->head)
        m_follower.receiveStoreHead(*stored->head);
}

void ConfigurationService::readConfiguration()
{
    const auto configuration = RevisionStore(m_store, sleepFor).readConfiguration();
    if (!configuration) {
        (void)waitForStop(RetryDelay);
        return;
    }
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_follower.receiveStoreConfiguration(*configuration);
}

void ConfigurationService::runReports()
{
    RevisionStore revisions(m_store, sleepFor);
    while (!waitForStop(ReportInterval)) {
        std::unique_lock<std::mutex> guard(m_mutex);
        const auto report = m_follower.reportDue();
        guard.unlock();
        if (!report)
            continue;
        if (!revisions.writeReport(*report)) {
            (void)waitForStop(RetryDelay);
            continue;
        }
        guard.lock();
        m_follower.reportWritten(*report);
    }
}

bool ConfigurationService::waitForStop(Duration timeout)
{
    std::unique_lock<std::mutex> guard(m_mutex);
    return m_changed.wait_for(guard, timeout, [this] { return m_isStopping; });
}

StoreTask ConfigurationService::storeTask()
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_follower.storeTask();
}

} // namespace anvilmill::daemon
