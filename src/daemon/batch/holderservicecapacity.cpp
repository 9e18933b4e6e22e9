// Free capacity of the executors that a host holds, and whether starts on them are allowed.

#include "batch/holderserviceentry.h"
#include "holderservice.h"

namespace anvilmill::daemon {

bool HolderService::mayStartOn(const Entry &entry) const
{
    return m_evacuations.mayStartIn(entry.executor.registration().dataCentre);
}

/// None in an evacuated data centre, so that other hosts request no starts there either.
Resources HolderService::freeCapacityOf(const Entry &entry) const
{
    return mayStartOn(entry) ? entry.executor.freeCapacity() : Resources();
}

void HolderService::evacuationsChanged()
{
    for (const auto &[id, entry] : m_assigned)
        markCapacityChanged(*entry);
}

std::vector<CapacityReport> HolderService::freeCapacity() const
{
    std::vector<CapacityReport> reports;
    for (const auto &[id, entry] : m_assigned) {
        if (entry->executor.isHeld())
            reports.push_back({id, freeCapacityOf(*entry), m_self});
    }
    return reports;
}

void HolderService::markCapacityChanged(const Entry &entry)
{
    m_changed.insert(entry.executor.registration().id);
    if (m_isChangeEventDue)
        return;
    m_isChangeEventDue = true;
    m_timers.post([this] {
        m_isChangeEventDue = false;
        m_events.capacityChanged();
    });
}

std::vector<CapacityReport> HolderService::takeChangedCapacity()
{
    std::vector<CapacityReport> reports;
    for (const std::string &id : m_changed) {
        const auto found = m_entries.find(id);
        if (found != m_entries.end() && found->second->executor.isHeld())
            reports.push_back({id, freeCapacityOf(*found->second), m_self});
    }
    m_changed.clear();
    return reports;
}

} // namespace anvilmill::daemon
