#pragma once

#include "anvilmill/executor/resources.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Distributes capacity that has become free among hosts with waiting jobs.
///
/// If it were reported to all of them, all would request it and all but one would be refused; under
/// overload that costs several starts for each one that succeeds. So the free capacity of each
/// executor is offered to one host, in round-robin order.
///
/// Thread safety: one thread at a time.
class CapacityOffers
{
public:
    /// Free capacity by executor.
    using Capacities = std::map<std::string, Resources>;

    /// \brief Returns the capacity to offer to each of the \p waiting hosts; executors without free
    /// processors are omitted.
    [[nodiscard]] std::map<std::string, Capacities>
    distribute(const Capacities &free, const std::vector<std::string> &waiting);

private:
    std::size_t m_next = 0;
};

} // namespace anvilmill
