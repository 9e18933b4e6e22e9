#include "transfertracker.h"

#include <algorithm>

namespace anvilmill {

namespace {
// Each resend repeats whole batches, so the interval doubles, up to this many times.
constexpr int MaxDoublings = 5;
constexpr std::size_t MaxDeparted = 256;
} // namespace

void TransferTracker::start(const View &view, const HostIncarnation &self,
                            std::map<HostIncarnation, Batches> &&batches, MonotonicTime now,
                            Effects &effects)
{
    m_view = view;
    m_self = self;
    m_outgoing.clear();
    m_incoming.clear();
    m_done.clear();
    m_sentAt = now;
    m_resends = 0;
    for (auto &[member, list] : batches) {
        for (wire::admission::Handover &batch : list)
            m_outgoing[member].emplace(batch.batch, std::move(batch));
    }
    sendAll(effects);
}

bool TransferTracker::mayReceive(const HostIncarnation &from) const
{
    return m_view.contains(from) || m_incoming.count(from) > 0
           || m_incoming.size() < m_view.members.size() + MaxDeparted;
}

bool TransferTracker::receive(const HostIncarnation &from,
                              const wire::admission::Handover &handover)
{
    Incoming &incoming = m_incoming[from];
    incoming.received.insert(handover.batch);
    if (incoming.isComplete)
        return false;
    incoming.isComplete = static_cast<std::int64_t>(incoming.received.size()) >= handover.batches;
    return incoming.isComplete;
}

void TransferTracker::acknowledge(const HostIncarnation &from,
                                  const wire::admission::HandoverReply &reply)
{
    const auto outgoing = m_outgoing.find(from);
    if (outgoing == m_outgoing.end())
        return;
    outgoing->second.erase(reply.batch);
    if (outgoing->second.empty())
        m_outgoing.erase(outgoing);
}

bool TransferTracker::isComplete() const
{
    return std::all_of(m_view.members.begin(), m_view.members.end(), [&](const auto &member) {
        const auto incoming = m_incoming.find(member);
        return member == m_self || (incoming != m_incoming.end() && incoming->second.isComplete);
    });
}

std::set<HostIncarnation> TransferTracker::departed() const
{
    std::set<HostIncarnation> hosts;
    for (const auto &[host, incoming] : m_incoming) {
        if (incoming.isComplete && !m_view.contains(host))
            hosts.insert(host);
    }
    return hosts;
}

void TransferTracker::markDone(const HostIncarnation &from)
{
    if (m_view.contains(from))
        m_done.insert(from);
}

bool TransferTracker::isSettled() const
{
    return membersNotDone().empty();
}

std::vector<HostIncarnation> TransferTracker::membersNotDone() const
{
    std::vector<HostIncarnation> hosts;
    for (const HostIncarnation &member : m_view.members) {
        if (m_done.count(member) == 0)
            hosts.push_back(member);
    }
    return hosts;
}

void TransferTracker::announceDone(bool isReply, const std::vector<HostIncarnation> &to,
                                   Effects &effects) const
{
    wire::admission::HandoverDone done;
    done.epoch = static_cast<std::int64_t>(m_view.epoch);
    done.isReply = isReply;
    for (const HostIncarnation &member : to) {
        if (member != m_self)
            effects.send(member, done);
    }
}

void TransferTracker::resend(MonotonicTime now, Duration interval, Effects &effects)
{
    if (now - m_sentAt < interval * (1 << std::min(m_resends, MaxDoublings)))
        return;
    m_sentAt = now;
    ++m_resends;
    sendAll(effects);
    if (m_done.count(m_self) > 0)
        announceDone(false, membersNotDone(), effects);
}

void TransferTracker::sendAll(Effects &effects) const
{
    for (const auto &[member, batches] : m_outgoing) {
        for (const auto &[number, batch] : batches)
            effects.send(member, batch);
    }
}

} // namespace anvilmill
