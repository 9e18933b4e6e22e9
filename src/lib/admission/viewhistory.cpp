#include "viewhistory.h"

#include "recordcodec.h"

#include <algorithm>
#include <cstddef>

namespace anvilmill {

namespace {

constexpr std::uint64_t FirstEpoch = 1;
// Each record is stored on two hosts.
constexpr std::ptrdiff_t MemberLossesToLoseRecords = 2;

std::optional<MonotonicTime> later(const std::optional<MonotonicTime> &first,
                                   const std::optional<MonotonicTime> &second)
{
    if (!first || !second)
        return first ? first : second;
    return std::max(*first, *second);
}

} // namespace

void ViewHistory::follow(const std::optional<View> &previous, const View &next)
{
    m_earlierRecordLoss = later(m_earlierRecordLoss, m_currentRecordLoss);
    m_currentRecordLoss.reset();
    if (!previous && next.epoch <= FirstEpoch)
        m_lost[next.epoch];
    if (!previous || previous->epoch + 1 != next.epoch)
        return;
    std::set<HostIncarnation> &lost = m_lost[next.epoch];
    for (const HostIncarnation &member : previous->members) {
        if (!next.contains(member))
            lost.insert(member);
    }
}

void ViewHistory::mergeReported(const wire::admission::Handover &handover, MonotonicTime now)
{
    settle(static_cast<std::uint64_t>(handover.settledEpoch));
    for (const wire::admission::Transition &transition : handover.transitions) {
        const auto epoch = static_cast<std::uint64_t>(transition.epoch);
        if (epoch <= m_settled)
            continue;
        std::set<HostIncarnation> &lost = m_lost[epoch];
        for (const wire::admission::Host &host : transition.lost)
            lost.insert(fromWire(host));
    }
    if (handover.forgottenForMs)
        m_earlierRecordLoss = later(m_earlierRecordLoss,
                                    now - std::chrono::milliseconds(*handover.forgottenForMs));
}

std::optional<std::set<HostIncarnation>> ViewHistory::lostUpTo(std::uint64_t epoch) const
{
    std::set<HostIncarnation> lost;
    for (std::uint64_t e = m_settled + 1; e <= epoch; ++e) {
        const auto change = m_lost.find(e);
        if (change == m_lost.end())
            return std::nullopt;
        lost.insert(change->second.begin(), change->second.end());
    }
    return lost;
}

void ViewHistory::evaluate(std::uint64_t epoch, const std::set<HostIncarnation> &departed,
                           MonotonicTime now)
{
    const bool isFirst = m_evaluated != epoch;
    if (isFirst)
        m_evaluatedLosses = lostUpTo(epoch);
    m_evaluated = epoch;
    const auto isLost = [&](const HostIncarnation &host) { return departed.count(host) == 0; };
    const bool isComplete =
            m_evaluatedLosses
            && std::count_if(m_evaluatedLosses->begin(), m_evaluatedLosses->end(), isLost)
                       < MemberLossesToLoseRecords;
    if (isComplete)
        m_currentRecordLoss.reset();
    else if (isFirst)
        m_currentRecordLoss = now;
}

void ViewHistory::settle(std::uint64_t epoch)
{
    if (epoch <= m_settled)
        return;
    m_settled = epoch;
    m_lost.erase(m_lost.begin(), m_lost.upper_bound(epoch));
}

std::optional<MonotonicTime> ViewHistory::lastRecordLoss() const noexcept
{
    return later(m_earlierRecordLoss, m_currentRecordLoss);
}

void ViewHistory::write(wire::admission::Handover &handover, MonotonicTime now) const
{
    handover.settledEpoch = static_cast<std::int64_t>(m_settled);
    if (const std::optional<MonotonicTime> at = lastRecordLoss()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *at);
        handover.forgottenForMs = std::max<std::int64_t>(age.count(), 0);
    }
    for (const auto &[epoch, lost] : m_lost) {
        wire::admission::Transition transition;
        transition.epoch = static_cast<std::int64_t>(epoch);
        for (const HostIncarnation &host : lost)
            transition.lost.push_back(asWire(host));
        handover.transitions.push_back(std::move(transition));
    }
}

} // namespace anvilmill
