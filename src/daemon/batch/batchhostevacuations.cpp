// Evacuations of data centres: this host places and accepts no starts in them.

#include "batchhost.h"

namespace anvilmill::daemon {

void BatchHost::changeEvacuations(const std::vector<EvacuationChange> &changes)
{
    if (!m_evacuations.apply(changes))
        return;
    logUnknownEvacuations();
    m_view.setEvacuated(m_evacuations.evacuations().dataCentres());
    m_holder.evacuationsChanged();
    schedulePlacement();
}

void BatchHost::setEvacuationsKnown()
{
    if (!m_evacuations.setKnown())
        return;
    m_holder.evacuationsChanged();
    schedulePlacement();
}

void BatchHost::logUnknownEvacuations()
{
    if (m_dataCentres.empty() || m_evacuations.evacuations().dataCentres().empty())
        return;
    std::set<std::string> known = m_dataCentres;
    for (const auto &[id, registration] : m_executors)
        known.insert(registration.dataCentre);
    m_evacuations.logUnknown(known);
}

} // namespace anvilmill::daemon
