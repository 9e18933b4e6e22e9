#include "anvilmill/executor/startwitnesses.h"

#include <algorithm>

namespace anvilmill {

std::vector<std::string> startWitnesses(const std::string &self, const std::string &dataCentre,
                                        std::vector<PeerHost> reachable)
{
    std::sort(reachable.begin(), reachable.end(), [&](const PeerHost &left, const PeerHost &right) {
        const bool isLeftNext = left.name > self;
        const bool isRightNext = right.name > self;
        return isLeftNext != isRightNext ? isLeftNext : left.name < right.name;
    });
    const auto isLocal = [&](const PeerHost &host) { return host.dataCentre == dataCentre; };
    const auto firstElsewhere = std::stable_partition(reachable.begin(), reachable.end(), isLocal);
    if (firstElsewhere != reachable.begin())
        std::rotate(reachable.begin() + 1, firstElsewhere, reachable.end());
    std::vector<std::string> witnesses;
    for (const PeerHost &host : reachable) {
        if (witnesses.size() < MaxStartWitnesses)
            witnesses.push_back(host.name);
    }
    return witnesses;
}

} // namespace anvilmill
