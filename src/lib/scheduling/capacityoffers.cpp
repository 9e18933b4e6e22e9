#include "anvilmill/scheduling/capacityoffers.h"

namespace anvilmill {

std::map<std::string, CapacityOffers::Capacities>
CapacityOffers::distribute(const Capacities &free, const std::vector<std::string> &waiting)
{
    std::map<std::string, Capacities> offers;
    if (waiting.empty())
        return offers;
    for (const auto &[executor, capacity] : free) {
        if (capacity.milliCores > 0)
            offers[waiting[m_next++ % waiting.size()]].emplace(executor, capacity);
    }
    return offers;
}

} // namespace anvilmill
