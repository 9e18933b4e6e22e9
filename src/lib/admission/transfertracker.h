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

/// \brief Follows the handovers of one view: batches sent, batches received, who is done.
///
/// Thread safety: one thread at a time.
class HandoverBook
{
public:
    using Batches = std::vector<wire::admission::Handover>;

    /// \brief Starts over for \p view with what this host has to send to each member.
    void open(const View &view, const HostIncarnation &self,
              std::map<HostIncarnation, Batches> &&batches, MonotonicTime now, Effects &effects);

    /// \brief Marks a batch of \p from as received. Returns true if it completed that host's.
    bool receive(const HostIncarnation &from, const wire::admission::Handover &handover);

    /// \brief Marks a batch as received by \p from.
    void acknowledge(const HostIncarnation &from, const wire::admission::HandoverReply &reply);

    /// \brief True once each other member has handed over.
    [[nodiscard]] bool isComplete() const;

    /// \brief Hosts outside the view that have handed over.
    [[nodiscard]] std::set<HostIncarnation> departed() const;

    /// \brief Records that \p from has the handovers of all members.
    void markDone(const HostIncarnation &from);

    /// \brief True once all members have the handovers of all members.
    [[nodiscard]] bool isSettled() const;

    /// \brief Tells the other members that this host is done.
    void announceDone(bool isReply, const std::vector<HostIncarnation> &to, Effects &effects) const;

    /// \brief Sends again what is unanswered for \p interval.
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
