#pragma once

#include "anvilmill/executor/resources.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Offers capacity that has become free to the hosts with waiting jobs, one at a time.
///
/// Load pattern: jobs wait on several hosts. If free capacity were reported to all of them, all would
/// request it and all but one would be refused; on a fleet of 45 dispatchers 60% of the starts were,
/// and they used up the processors of the hosts. So the free capacity of each executor is offered to
/// one of the most urgent hosts, in round-robin order. What it leaves is offered again, to any host
/// with waiting jobs.
///
/// Thread safety: one thread at a time.
class CapacityOffers
{
public:
    /// Free capacity by executor.
    using Capacities = std::map<std::string, Resources>;

    /// How often the same free capacity is offered. Later, the periodic reports offer it.
    static constexpr int MaxRounds = 8;

    /// \brief Records the free capacity of an executor, which is offered from the first round on; none
    /// withdraws it.
    void update(const std::string &executor, const Resources &free);

    /// \brief Withdraws all offers.
    void clear() noexcept { m_open.clear(); }

    /// \brief True if there is nothing left to offer.
    [[nodiscard]] bool isEmpty() const noexcept { return m_open.empty(); }

    /// \brief The next offers to each host: of new capacity to the \p mostUrgent ones, of capacity that
    /// was offered before to all \p waiting ones.
    [[nodiscard]] std::map<std::string, Capacities> next(const std::vector<std::string> &mostUrgent,
                                                         const std::vector<std::string> &waiting);

    /// \brief Returns the capacity to offer to each of the \p waiting hosts; executors without free
    /// processors are omitted.
    [[nodiscard]] std::map<std::string, Capacities>
    distribute(const Capacities &free, const std::vector<std::string> &waiting);

private:
    struct Offer
    {
        Resources free;
        /// Rounds in which it was offered.
        int rounds = 0;
    };

    std::map<std::string, Offer> m_open;
    std::size_t m_next = 0;
};

} // namespace anvilmill
