#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/view.h"
#include "effects.h"
#include "viewhistory.h"

#include <admission.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace anvilmill {

/// \brief Tracks the record transfers of one view: batches sent and received, members done.
///
/// Thread safety: one thread at a time.
class TransferTracker
{
public:
    using Batches = std::vector<wire::admission::Handover>;

    /// \brief Resets the tracker for \p view and sends \p batches to the members.
    void start(const View &view, const HostIncarnation &self,
               std::map<HostIncarnation, Batches> &&batches, MonotonicTime now, Effects &effects);

    /// \brief True for members, and for a limited number of hosts outside the view.
    [[nodiscard]] bool mayReceive(const HostIncarnation &from) const;

    /// \brief Marks a batch of \p from as received. Returns true if it completes that transfer.
    bool receive(const HostIncarnation &from, const wire::admission::Handover &handover);

    /// \brief Marks a batch as received by \p from.
    void acknowledge(const HostIncarnation &from, const wire::admission::HandoverReply &reply);

    /// \brief True once the transfers of all other members are complete.
    [[nodiscard]] bool isComplete() const;

    /// \brief Hosts outside the view whose transfers are complete.
    [[nodiscard]] std::set<HostIncarnation> departed() const;

    /// \brief Records that \p from has received the transfers of all members, if it is a member.
    void markDone(const HostIncarnation &from);

    /// \brief True once all members have received the transfers of all members.
    [[nodiscard]] bool isSettled() const;

    /// \brief Notifies \p to that this host has received all transfers.
    void announceDone(bool isReply, const std::vector<HostIncarnation> &to, Effects &effects) const;

    /// \brief Resends unacknowledged batches and notifications, at exponential intervals from
    /// \p interval.
    void resend(MonotonicTime now, Duration interval, Effects &effects);

    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_view.epoch; }
    [[nodiscard]] std::vector<HostIncarnation> membersNotDone() const;

private:
    struct Incoming
    {
        std::set<std::int64_t> received;
        bool isComplete = false;
    };
    using Outgoing = std::map<std::int64_t, wire::admission::Handover>;

    void sendAll(Effects &effects) const;

    View m_view;
    HostIncarnation m_self;
    std::map<HostIncarnation, Outgoing> m_outgoing;
    std::map<HostIncarnation, Incoming> m_incoming;
    std::set<HostIncarnation> m_done;
    MonotonicTime m_sentAt;
    int m_resends = 0;
};

} // namespace anvilmill
