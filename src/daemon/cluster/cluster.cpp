#include "cluster.h"

#include "answerservice.h"

#include "anvilmill/admission/message.h"
#include "log.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

constexpr Duration LeaveTimeout = std::chrono::seconds(8);
constexpr std::size_t MegaByte = 1U << 20U;
constexpr std::size_t ReplyPart = 8;

PeerOptions peerOptionsFrom(const Settings &settings)
{
    PeerOptions options;
    options.maxIncomingConnections = static_cast<std::size_t>(settings.peer.incomingConnections);
    options.maxReplyBytes = static_cast<std::size_t>(settings.host.memoryMb) * MegaByte / ReplyPart;
    options.listenAddress = settings.peer.address + ":" + std::to_string(settings.peer.port);
    return options;
}

MembershipServiceOptions membershipOptionsFrom(const Settings &settings)
{
    MembershipServiceOptions options;
    options.seeds = parseSeeds(settings.peer.seeds).valueOr({});
    options.callTimeout = std::chrono::milliseconds(settings.platform.timeoutMs);
    return options;
}

void handleClaimMessage(EntryHost &host, const PeerMessage &message)
{
    const auto decoded = AdmissionMessage::decode(message.body.get_binary());
    if (!decoded) {
        LogEvent("peer.malformed", LogEvent::Level::Warning)
                .with("from", message.from.asString())
                .with("reason", decoded.error().reason);
        return;
    }
    host.admission().receive(message.from, *decoded);
}

} // namespace

Cluster::Cluster(const Settings &settings, const HostIncarnation &self, const Clock &clock)
    : m_platform(settings.platform.server)
    , m_transport(self, peerOptionsFrom(settings), clock)
    , m_membership(membershipOptionsFrom(settings), m_transport, m_platform, &m_platform, clock)
    , m_network(m_transport, m_membership)
    , m_configuration(m_transport, m_network, m_platform, clock)
{
}

Cluster::~Cluster()
{
    stop();
}

void Cluster::join(EntryHost &host, std::function<void()> stopDue)
{
    m_transport.setHandler(PeerChannel::Admission, [&host](const PeerMessage &message) {
        handleClaimMessage(host, message);
    });
    m_transport.setHandler(PeerChannel::Dispatch, [&host](const PeerMessage &message) {
        host.receiveBatch(message.from.asString(), message.body.get<DispatchBatch>());
    });
    serveAnswers(m_transport, host);
    m_transport.setHostCheck([this](const HostIncarnation &peer) {
        const std::vector<HostIncarnation> known = m_network.knownHosts();
        return std::find(known.begin(), known.end(), peer) != known.end();
    });
    m_membership.onViewChange([&host](const View &view) { host.viewAdopted(view); });
    m_transport.start();
    m_membership.start();
    ConfigurationHandlers handlers;
    handlers.changed = [&host](const Configuration &configuration) {
        host.configurationChanged(configuration);
    };
    handlers.stopDue = std::move(stopDue);
    m_configuration.start(std::move(handlers));
}

void Cluster::leave()
{
    const bool isRemoved = m_membership.leave(LeaveTimeout);
    LogEvent("membership.left").with("removed", isRemoved);
}

void Cluster::stop()
{
    m_configuration.stop();
    m_membership.stop();
    m_transport.stop();
}

Result<std::vector<MembershipSeed>> parseSeeds(const std::vector<std::string> &entries)
{
    std::vector<MembershipSeed> seeds;
    for (const std::string &entry : entries) {
        const auto at = entry.find('@');
        const auto colon = entry.rfind(':');
        if (at == std::string::npos || at == 0 || colon == std::string::npos || colon < at)
            return Error{"'" + entry + "' is not dataCentre@address:port", {}};
        seeds.push_back({entry.substr(0, at), entry.substr(at + 1)});
    }
    return seeds;
}

} // namespace anvilmill::daemon
