#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/view.h"

#include <admission.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace anvilmill {

/// \brief Decides whether records may have been lost with members of earlier views.
///
/// A view is settled once each of its members has received the transfers of all others, so that
/// each record is stored on two hosts. From then on records can be lost only if two members are
/// lost. Hosts exchange the view changes that they observed; a change that no host observed counts
/// as a loss of records.
///
/// Thread safety: one thread at a time.
class ViewHistory
{
public:
    /// \brief Records the change from \p previous, if this host had a view, to \p next.
    void follow(const std::optional<View> &previous, const View &next);

    /// \brief Merges the view history that another member reports in \p handover.
    void mergeReported(const wire::admission::Handover &handover, MonotonicTime now);

    /// \brief Determines whether records were lost before the view of \p epoch. Call when the
    /// transfers of all its members are complete.
    ///
    /// \p departed are the hosts outside the view whose transfers are complete.
    void evaluate(std::uint64_t epoch, const std::set<HostIncarnation> &departed,
                  MonotonicTime now);

    /// \brief Records that the view of \p epoch is settled.
    void settle(std::uint64_t epoch);

    /// \brief Time of the last record loss, if there was one.
    [[nodiscard]] std::optional<MonotonicTime> lastRecordLoss() const noexcept;

    /// \brief Writes this history into \p handover.
    void write(wire::admission::Handover &handover, MonotonicTime now) const;

private:
    /// Members lost since the last settled view; std::nullopt if no record of a change exists.
    [[nodiscard]] std::optional<std::set<HostIncarnation>> lostUpTo(std::uint64_t epoch) const;

    std::uint64_t m_settled = 0;
    std::map<std::uint64_t, std::set<HostIncarnation>> m_lost;
    /// Last loss under earlier views or reported by other members.
    std::optional<MonotonicTime> m_earlierRecordLoss;
    /// Loss found for the view evaluated last; reset if enough departed hosts complete their
    /// transfers.
    std::optional<MonotonicTime> m_currentRecordLoss;
    /// Lost members found by the evaluation; kept when its view is settled.
    std::optional<std::set<HostIncarnation>> m_evaluatedLosses;
    std::uint64_t m_evaluated = 0;
};

} // namespace anvilmill
