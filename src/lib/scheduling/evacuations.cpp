#include "anvilmill/scheduling/evacuations.h"

#include <map>
#include <utility>

namespace anvilmill {

std::vector<EvacuationChange> Evacuations::apply(const std::vector<EvacuationChange> &changes)
{
    std::map<std::string, EvacuationChange> last;
    for (const EvacuationChange &change : changes)
        last[change.dataCentre] = change;
    std::vector<EvacuationChange> effective;
    for (const auto &[dataCentre, change] : last) {
        if (change.isEvacuated ? insert(dataCentre) : m_dataCentres.erase(dataCentre) > 0)
            effective.push_back(change);
    }
    return effective;
}

bool Evacuations::insert(const std::string &dataCentre)
{
    return m_dataCentres.size() < MaxDataCentres && m_dataCentres.insert(dataCentre).second;
}

bool Evacuations::setKnown() noexcept
{
    return !std::exchange(m_isKnown, true);
}

} // namespace anvilmill
