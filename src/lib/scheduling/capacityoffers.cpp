#include "anvilmill/scheduling/capacityoffers.h"

#include <iterator>

namespace anvilmill {

void CapacityOffers::update(const std::string &executor, const Resources &free)
{
    if (free.milliCores > 0)
        m_open[executor] = {free, 0};
    else
        m_open.erase(executor);
}

std::map<std::string, CapacityOffers::Capacities>
CapacityOffers::next(const std::vector<std::string> &mostUrgent,
                     const std::vector<std::string> &waiting)
{
    Capacities added;
    Capacities repeated;
    for (auto offer = m_open.begin(); offer != m_open.end();) {
        (offer->second.rounds == 0 ? added : repeated).emplace(offer->first, offer->second.free);
        offer = ++offer->second.rounds < MaxRounds ? std::next(offer) : m_open.erase(offer);
    }
    auto offers = distribute(added, mostUrgent);
    for (auto &[host, capacities] : distribute(repeated, waiting))
        offers[host].merge(capacities);
    return offers;
}

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
