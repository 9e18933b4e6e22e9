#include "peernetwork.h"

#include "anvilmill/admission/message.h"

#include <future>

namespace anvilmill::daemon {

namespace {

/// How often a waiting thread checks whether its caller has left.
constexpr Duration AbandonedInterval = std::chrono::milliseconds(500);

Result<AnswerReply> asAnswer(const PeerReply &reply)
{
    if (reply.outcome != PeerReply::Outcome::Answered)
        return Error{reply.reason, {}};
    try {
        return reply.body.get<AnswerReply>();
    } catch (const nlohmann::json::exception &exception) {
        return Error{exception.what(), {}};
    }
}

View viewOf(const wire::peer::DataCentreSummary &summary)
{
    View view;
    view.epoch = static_cast<std::uint64_t>(summary.epoch);
    for (const auto &host : summary.hosts)
        view.members.push_back(
                {summary.dataCentre, host.host, static_cast<std::uint64_t>(host.incarnation)});
    return view;
}

} // namespace

PeerNetwork::PeerNetwork(PeerTransport &transport, const MembershipService &membership)
    : m_transport(transport)
    , m_membership(membership)
{
}

void PeerNetwork::send(const HostIncarnation &to, const AdmissionMessage &message)
{
    const auto target = targetOf(to);
    if (target)
        m_transport.send(*target, PeerChannel::Admission,
                         nlohmann::json::binary(message.encoded()));
}

Result<AnswerReply> PeerNetwork::requestAnswer(const HostIncarnation &holder,
                                               const AnswerRequest &request, const AnswerWait &wait)
{
    const auto target = targetOf(holder);
    if (!target)
        return Error{"the address of " + holder.asString() + " is unknown", {}};
    const auto promise = std::make_shared<std::promise<PeerReply>>();
    std::future<PeerReply> future = promise->get_future();
    m_transport.request(*target, PeerChannel::Answers, request, wait.timeout,
                        [promise](const PeerReply &reply) { promise->set_value(reply); });
    while (future.wait_for(AbandonedInterval) != std::future_status::ready) {
        if (wait.isAbandoned && wait.isAbandoned())
            return Error{"the caller has left", {}};
    }
    return asAnswer(future.get());
}

std::vector<HostIncarnation> PeerNetwork::peers() const
{
    std::vector<HostIncarnation> hosts;
    for (const PeerStatus &peer : m_membership.alivePeers())
        hosts.push_back(peer.host);
    return hosts;
}

std::vector<RemoteView> PeerNetwork::remoteViews() const
{
    std::vector<RemoteView> views;
    for (const auto &summary : m_membership.dataCentres()) {
        if (summary.dataCentre != m_transport.self().dataCentre)
            views.push_back({summary.dataCentre, viewOf(summary)});
    }
    return views;
}

PeerStatistics PeerNetwork::statistics() const
{
    return m_transport.statistics();
}

void PeerNetwork::sendBatch(const std::string &receiver, const DispatchBatch &batch)
{
    for (const HostIncarnation &member : m_membership.currentView().members) {
        if (member.asString() != receiver)
            continue;
        if (const auto target = targetOf(member))
            m_transport.send(*target, PeerChannel::Dispatch, batch);
    }
}

std::vector<HostIncarnation> PeerNetwork::knownHosts() const
{
    std::vector<HostIncarnation> hosts = peers();
    for (const RemoteView &remote : remoteViews())
        hosts.insert(hosts.end(), remote.view.members.begin(), remote.view.members.end());
    return hosts;
}

std::optional<PeerTarget> PeerNetwork::targetOf(const HostIncarnation &host) const
{
    std::string address = m_membership.addressOf(host);
    if (address.empty())
        address = addressOutsideView(host);
    if (address.empty())
        return std::nullopt;
    return PeerTarget{address, host};
}

std::string PeerNetwork::addressOutsideView(const HostIncarnation &host) const
{
    for (const PeerStatus &peer : m_membership.alivePeers()) {
        if (peer.host == host)
            return peer.address;
    }
    for (const auto &dataCentre : m_membership.dataCentres()) {
        if (dataCentre.dataCentre != host.dataCentre)
            continue;
        for (const auto &summary : dataCentre.hosts) {
            if (summary.host == host.host
                && static_cast<std::uint64_t>(summary.incarnation) == host.incarnation)
                return summary.address;
        }
    }
    return {};
}

} // namespace anvilmill::daemon
