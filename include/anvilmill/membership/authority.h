#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/membershipoptions.h"
#include "anvilmill/membership/view.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace anvilmill {

/// \brief Decides whether one host may act as an owner under its view.
///
/// A host may act under a view once no host can act under an earlier one: either every other member
/// that joined with an earlier view has adopted this view, or every authority granted before its
/// adoption has expired. From then on the host needs a recent confirmation that the platform holds
/// this view and the host's lease, or unexpired promises of all other members. If both expire, the
/// host has to meet the first condition again.
///
/// Thread safety: one thread at a time.
class Authority
{
public:
    explicit Authority(const MembershipOptions &options);

    /// \brief Adopts a later view.
    ///
    /// \p others holds the other members, \p newcomers those that joined with this view.
    void adopt(std::uint64_t epoch, std::vector<HostIncarnation> others,
               const std::set<HostIncarnation> &newcomers, MonotonicTime now);

    /// \brief Ends all authority until another view is adopted.
    void end();

    /// \brief Records that the platform held the view and the host's lease at some time after
    /// \p requestedAt.
    void confirm(MonotonicTime requestedAt, MonotonicTime now);

    /// \brief Records that \p member made a promise for \p length, in answer to a heartbeat sent at
    /// \p requestedAt.
    void promise(const HostIncarnation &member, MonotonicTime requestedAt, Duration length,
                 MonotonicTime now);

    /// \brief Sets whether promises count; they don't while a write by this host may still take
    /// effect.
    void allowPromises(bool isAllowed);

    /// \brief Records that \p member holds this view, in answer to a heartbeat sent at
    /// \p requestedAt.
    void acknowledge(const HostIncarnation &member, MonotonicTime requestedAt);

    [[nodiscard]] bool mayAct(MonotonicTime now) const;

    /// \brief True while this host may not act because other members may not have adopted the view.
    [[nodiscard]] bool isWaitingForMembers(MonotonicTime now) const;

    /// \brief When the last confirmation by the platform expires.
    [[nodiscard]] MonotonicTime confirmedUntil() const noexcept { return m_confirmedUntil; }

private:
    [[nodiscard]] MonotonicTime promisedUntil() const;
    [[nodiscard]] MonotonicTime until() const;
    [[nodiscard]] bool isActivated(MonotonicTime now) const;
    void restartAfterLapse(MonotonicTime now);

    const MembershipOptions m_options;
    std::uint64_t m_epoch = 0;
    std::vector<HostIncarnation> m_others;
    std::set<HostIncarnation> m_missing;
    MonotonicTime m_activationStart;
    MonotonicTime m_confirmedUntil;
    std::map<HostIncarnation, MonotonicTime> m_promises;
    bool m_promisesAllowed = true;
};

} // namespace anvilmill
