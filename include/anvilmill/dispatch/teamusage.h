#pragma once

#include "anvilmill/clock.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The share of the capacity that a team is entitled to.
struct TeamQuota
{
    std::string team;
    /// Between 0 and 1.
    double share = 1.0;
};

/// \brief Compares the recent work of each team, with exponential decay, with its quota.
///
/// A team is over its quota once its recent work exceeds its share of the capacity. It recovers
/// at a lower threshold, so that its state does not change with each task.
///
/// The owner assigns the indexes of teams. Thread safety: one thread at a time.
class TeamUsage
{
public:
    /// \brief Usage decays with the time constant \p window.
    explicit TeamUsage(Duration window) noexcept;

    /// \brief Sets the quota of \p team; a team without a quota is never over it.
    void setQuota(std::size_t team, double share);

    /// \brief Adds expected work that \p team starts at \p now.
    ///
    /// \p capacity is in work per second. Returns true if this work exceeds the team's quota and
    /// the team was within it before.
    [[nodiscard]] bool add(std::size_t team, Duration work, MonotonicTime now, double capacity);

    [[nodiscard]] bool isOverQuota(std::size_t team) const;

    /// \brief Removes and returns a team that has recovered by \p now, if any.
    [[nodiscard]] std::optional<std::size_t> nextRecovered(MonotonicTime now);

    /// \brief Returns when the next team recovers, if any is over its quota.
    [[nodiscard]] std::optional<MonotonicTime> nextWakeTime() const;

    /// \brief Returns the share of the capacity that \p team may use; 1 without a quota.
    [[nodiscard]] double quotaOf(std::size_t team) const;

private:
    /// Work in fractional seconds.
    using Work = std::chrono::duration<double>;

    struct Team
    {
        double quota = 1.0;
        Work work{0};
        MonotonicTime updated;
        std::optional<MonotonicTime> recoversAt;
    };

    Team &teamAt(std::size_t team);
    void decay(Team &team, MonotonicTime now) const;
    void scheduleRecovery(std::size_t index, Work bound);

    Duration m_window;
    std::vector<Team> m_teams;
    std::set<std::pair<MonotonicTime, std::size_t>> m_recoveries;
};

} // namespace anvilmill
