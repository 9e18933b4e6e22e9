#pragma once

#include <string>
#include <vector>

namespace anvilmill {

/// \brief How a service's size is divided into floors and leases.
struct SizeSplitOptions
{
    /// Fraction of the size that is guaranteed to the data centres, in equal floors.
    double floorShare = 0.5;
    /// Fraction of a data centre's floor that is guaranteed to its hosts, in equal floors. The
    /// remainder of the division by hostsPerDataCentre and the floors of absent hosts stay unused.
    double hostFloorShare = 0.1;
    /// Maximum number of concurrently active entry hosts in one data centre, including
    /// replacements.
    int hostsPerDataCentre = 10;
};

/// \brief The floors and pools of one service's size, as seen from one data centre.
///
/// Floors are always available. The remainder is lent: the home data centre lends pool() to the
/// data centres, and each data centre lends hostPool() and the share that it has borrowed to its
/// hosts. The sum of all floors and pools is at most the size, and each of them is monotonic in the
/// size, so that hosts with different views of the size stay within the larger one.
class SizeSplit
{
public:
    /// \brief The split of size 0.
    SizeSplit() noexcept = default;

    /// Precondition: \p size is not negative, and \p index, the position of the data centre in the
    /// configured list, is less than \p dataCentres.
    SizeSplit(int size, int dataCentres, int index, const SizeSplitOptions &options = {}) noexcept;

    [[nodiscard]] int size() const noexcept { return m_size; }
    [[nodiscard]] int hostFloor() const noexcept { return m_hostFloor; }
    /// \brief Amount that a data centre can always lend to its hosts in addition to their floors.
    [[nodiscard]] int hostPool() const noexcept { return m_hostPool; }
    /// \brief Total amount that the home data centre can lend to the data centres.
    [[nodiscard]] int pool() const noexcept { return m_pool; }

    /// \brief Scales \p amount, lent under \p before, to this split. Rounds down.
    ///
    /// Never more than \p amount. Applies a smaller size before the leases are renewed.
    [[nodiscard]] int scaled(int amount, const SizeSplit &before) const noexcept;

    /// \brief As scaled(), but rounds up, to bound the amounts that other borrowers may hold.
    [[nodiscard]] int scaledUp(int amount, const SizeSplit &before) const noexcept;

private:
    int m_size = 0;
    int m_hostFloor = 0;
    int m_hostPool = 0;
    int m_pool = 0;
};

/// \brief The data centre that lends the pool of \p service. Depends only on the service and the
/// configured data centres, not on their reachability.
///
/// Precondition: \p dataCentres is not empty.
[[nodiscard]] std::string homeOf(const std::string &service,
                                 const std::vector<std::string> &dataCentres);

} // namespace anvilmill
