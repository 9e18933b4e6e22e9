#pragma once

#include "experimentworkload.h"

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief A named workload and, if its target is relative, the baseline workload.
struct ExperimentScenario
{
    std::string name;
    std::string summary;
    WorkloadSettings settings;
    /// Name and settings of the baseline; empty if the target is absolute.
    std::string baselineName;
    std::optional<WorkloadSettings> baseline;
};

/// \brief All scenarios; the steady one is the first.
[[nodiscard]] const std::vector<ExperimentScenario> &experimentScenarios();

/// \brief Returns the scenario called \p name, or nullptr.
[[nodiscard]] const ExperimentScenario *findScenario(const std::string &name);

} // namespace anvilmill::tools
