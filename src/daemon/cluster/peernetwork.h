#pragma once

#include "entryhost/peergateway.h"
#include "peer/peertransport.h"

#include "peer/membershipservice.h"

namespace anvilmill::daemon {

/// \brief Gateway to other entry hosts over the peer transport.
///
/// Thread safety: all methods may be called from any thread.
class PeerNetwork final : public PeerGateway
{
public:
    /// \brief Both references must outlive the network.
    PeerNetwork(PeerTransport &transport, const MembershipService &membership);

    void send(const HostIncarnation &to, const AdmissionMessage &message) override;
    [[nodiscard]] Result<AnswerReply> requestAnswer(const HostIncarnation &holder,
                                                    const AnswerRequest &request,
                                                    const AnswerWait &wait) override;
    [[nodiscard]] std::vector<HostIncarnation> peers() const override;
    [[nodiscard]] std::vector<RemoteView> remoteViews() const override;
    void sendBatch(const std::string &receiver, const DispatchBatch &batch) override;
    [[nodiscard]] PeerStatistics statistics() const override;

    /// \brief The address at which \p host accepts connections, if known.
    [[nodiscard]] std::optional<PeerTarget> targetOf(const HostIncarnation &host) const;

    /// \brief The other live entry hosts of this data centre, and the entry hosts of the other data
    /// centres.
    [[nodiscard]] std::vector<HostIncarnation> knownHosts() const;

private:
    [[nodiscard]] std::string addressOutsideView(const HostIncarnation &host) const;

    PeerTransport &m_transport;
    const MembershipService &m_membership;
};

} // namespace anvilmill::daemon
