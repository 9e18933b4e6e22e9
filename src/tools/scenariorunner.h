#pragma once

#include "scenarioparser.h"

#include <cstdint>
#include <optional>

namespace anvilmill::tools {

/// \brief Runs a scenario on the real job table and dispatcher in virtual time.
///
/// The history checker checks all events, so that a scenario also fails if it violates a guarantee.
/// Returns the first violation, or the first unmet expectation with its line, or std::nullopt if
/// the scenario passes. Runs with the same scenario and seed have the same result.
[[nodiscard]] std::optional<Error> runScenario(const Scenario &scenario, std::uint64_t seed);

} // namespace anvilmill::tools
