#include "anvilmill/executor/feedplan.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// The strongest dispatcher of each data centre.
std::vector<PeerHost> readersOf(const HolderAssignment &assignment)
{
    std::vector<PeerHost> readers;
    for (const PeerHost &host : assignment.allDispatchers()) {
        if (readers.empty() || readers.back().dataCentre != host.dataCentre)
            readers.push_back(host);
    }
    return readers;
}

} // namespace

FeedPlan feedPlanOf(const HolderAssignment &assignment, const std::string &host,
                    const std::string &dataCentre, bool isSmallFleet)
{
    FeedPlan plan;
    const std::vector<PeerHost> &local = assignment.dispatchersOf(dataCentre);
    if (local.empty())
        return plan;
    if (local.front().name != host) {
        plan.source = local.front().name;
        return plan;
    }
    for (const PeerHost &other : local) {
        if (other.name != host)
            plan.listeners.push_back(other.name);
    }
    if (isSmallFleet)
        return plan;
    const std::vector<PeerHost> readers = readersOf(assignment);
    const auto strongest = std::max_element(readers.begin(), readers.end(),
                                            [](const PeerHost &left, const PeerHost &right) {
                                                return left.milliCores < right.milliCores;
                                            });
    if (strongest->name != host) {
        plan.source = strongest->name;
        return plan;
    }
    for (const PeerHost &reader : readers) {
        if (reader.name != host)
            plan.listeners.push_back(reader.name);
    }
    return plan;
}

} // namespace anvilmill
