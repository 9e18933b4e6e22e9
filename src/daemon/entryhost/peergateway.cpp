#include "peergateway.h"

namespace anvilmill::daemon {

void NullPeerGateway::send(const HostIncarnation &, const AdmissionMessage &) { }

Result<AnswerReply> NullPeerGateway::requestAnswer(const HostIncarnation &holder,
                                                   const AnswerRequest &, const AnswerWait &)
{
    return Error{"there is no connection to " + holder.asString(), {}};
}

std::vector<HostIncarnation> NullPeerGateway::peers() const
{
    return {};
}

std::vector<RemoteView> NullPeerGateway::remoteViews() const
{
    return {};
}

void NullPeerGateway::sendBatch(const std::string &, const DispatchBatch &) { }

PeerStatistics NullPeerGateway::statistics() const
{
    return {};
}

StandaloneViewGuard::StandaloneViewGuard(const HostIncarnation &self)
    : m_view{1, {self}}
{
}

View StandaloneViewGuard::currentView() const
{
    return m_view;
}

bool StandaloneViewGuard::mayActAsOwner() const
{
    return true;
}

} // namespace anvilmill::daemon
