#include "anvilmill/scheduling/capacityoffers.h"

namespace anvilmill {

std::map<std::string, CapacityOffers::Rooms>
CapacityOffers::distribute(const Rooms &rooms, const std::vector<std::string> &waiting)
{
    std::map<std::string, Rooms> offers;
    if (waiting.empty())
        return offers;
    for (const auto &[executor, room] : rooms) {
        if (room.milliCores > 0)
            offers[waiting[m_next++ % waiting.size()]].emplace(executor, room);
    }
    return offers;
}

} // namespace anvilmill
