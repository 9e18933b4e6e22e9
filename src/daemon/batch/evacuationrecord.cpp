#include "evacuationrecord.h"

#include "log.h"

namespace anvilmill::daemon {

EvacuationRecord::EvacuationRecord(BatchMetrics &metrics, bool isReadRequired)
    : m_metrics(metrics)
    , m_evacuations(isReadRequired)
{
    updateGauge();
}

bool EvacuationRecord::apply(const std::vector<EvacuationChange> &changes)
{
    const std::vector<EvacuationChange> effective = m_evacuations.apply(changes);
    for (const EvacuationChange &change : effective) {
        LogEvent("evacuation.changed")
                .with("dataCentre", change.dataCentre)
                .with("evacuated", change.isEvacuated)
                .with("revision", change.revision);
        if (!change.isEvacuated)
            m_loggedUnknown.erase(change.dataCentre);
    }
    updateGauge();
    return !effective.empty();
}

bool EvacuationRecord::setKnown()
{
    return m_evacuations.setKnown();
}

void EvacuationRecord::logUnknown(const std::set<std::string> &known)
{
    if (known.empty())
        return;
    for (const std::string &dataCentre : m_evacuations.dataCentres()) {
        if (known.count(dataCentre) == 0 && m_loggedUnknown.insert(dataCentre).second)
            LogEvent("evacuation.unknownDataCentre", LogEvent::Level::Warning)
                    .with("dataCentre", dataCentre);
    }
}

void EvacuationRecord::updateGauge()
{
    m_metrics.setGauge("anvilmill_evacuated_data_centres",
                       static_cast<double>(m_evacuations.dataCentres().size()));
}

} // namespace anvilmill::daemon
