#pragma once

#include "anvilmill/scheduling/evacuations.h"
#include "batch/batchmetrics.h"

#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief The evacuations that this host has read, with their log lines and metrics.
///
/// Thread safety: used by the loop's thread alone.
class EvacuationRecord
{
public:
    /// Precondition: \p metrics outlives the record. Where \p isReadRequired, no start is allowed
    /// anywhere until setKnown().
    EvacuationRecord(BatchMetrics &metrics, bool isReadRequired);

    /// \brief Applies changes; returns false if the evacuated data centres are the same as before.
    bool apply(const std::vector<EvacuationChange> &changes);

    /// \brief Call when the store's contents are read; returns false if it was called before or was
    /// not required.
    bool setKnown();

    /// \brief Logs the evacuated data centres that are not among \p known, each once. No effect if
    /// \p known is empty.
    void logUnknown(const std::set<std::string> &known);

    [[nodiscard]] const Evacuations &evacuations() const noexcept { return m_evacuations; }

private:
    void updateGauge();

    BatchMetrics &m_metrics;
    Evacuations m_evacuations;
    std::set<std::string> m_loggedUnknown;
};

} // namespace anvilmill::daemon
