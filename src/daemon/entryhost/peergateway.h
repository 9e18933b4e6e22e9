#pragma once

#include "anvilmill/admission/claim.h"
#include "anvilmill/dispatch/peerdispatcher.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/result.h"

#include "peer/peermessage.h"

#include <answers.h>

#include <functional>
#include <vector>

namespace anvilmill::daemon {

using wire::answers::AnswerReply;
using wire::answers::AnswerRequest;

/// \brief The latest known membership view of another data centre.
struct RemoteView
{
    std::string dataCentre;
    View view;
};

/// \brief How long a thread waits for the answer of another host.
struct AnswerWait
{
    Duration timeout;
    /// Polled by the waiting thread, which gives up once it returns true. May be empty.
    std::function<bool()> isAbandoned;
};

/// \brief Interface through which an entry host communicates with the other entry hosts.
///
/// Implementations are safe to call from any thread.
class PeerGateway : public ClaimLink
{
public:
    /// \brief Requests the answer or status of a submission from \p holder. Blocks as long as \p wait
    /// says.
    [[nodiscard]] virtual Result<AnswerReply> requestAnswer(const HostIncarnation &holder,
                                                            const AnswerRequest &request,
                                                            const AnswerWait &wait) = 0;

    /// \brief The other live entry hosts of this data centre, any of which may hold a submission
    /// that is submitted again here.
    [[nodiscard]] virtual std::vector<HostIncarnation> peers() const = 0;

    /// \brief Views of the other data centres, for claims of submissions that are homed there.
    [[nodiscard]] virtual std::vector<RemoteView> remoteViews() const = 0;

    /// \brief Sends a dispatch batch (queued work and slots) to the member \p receiver of the
    /// view.
    virtual void sendBatch(const std::string &receiver, const DispatchBatch &batch) = 0;

    /// \brief Counters of the connections with other entry hosts.
    [[nodiscard]] virtual PeerStatistics statistics() const = 0;
};

/// \brief Gateway of a standalone entry host: sends nothing and has no peers.
class NullPeerGateway final : public PeerGateway
{
public:
    void send(const HostIncarnation &to, const AdmissionMessage &message) override;
    [[nodiscard]] Result<AnswerReply> requestAnswer(const HostIncarnation &holder,
                                                    const AnswerRequest &request,
                                                    const AnswerWait &wait) override;
    [[nodiscard]] std::vector<HostIncarnation> peers() const override;
    [[nodiscard]] std::vector<RemoteView> remoteViews() const override;
    void sendBatch(const std::string &receiver, const DispatchBatch &batch) override;
    [[nodiscard]] PeerStatistics statistics() const override;
};

/// \brief View guard of a standalone entry host: the view has one member, which may always act
/// as owner.
class StandaloneViewGuard final : public ViewGuard
{
public:
    explicit StandaloneViewGuard(const HostIncarnation &self);

    [[nodiscard]] View currentView() const override;
    [[nodiscard]] bool mayActAsOwner() const override;

private:
    View m_view;
};

} // namespace anvilmill::daemon
