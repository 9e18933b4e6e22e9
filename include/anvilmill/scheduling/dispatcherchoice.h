#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

class RandomSource;

/// \brief A dispatcher to which a job can be transferred.
struct DispatcherCandidate
{
    std::string host;
    /// Relative processor share; above 0.
    double strength = 1.0;
    /// Jobs that were transferred to it and have not been answered.
    std::size_t openJobs = 0;
};

/// \brief Chooses the dispatcher for a job of a host that is no dispatcher itself.
///
/// Load pattern: dispatchers differ in processor share, and occasionally one of them answers slowly
/// for seconds while its heartbeats still arrive. Two are drawn with probabilities proportional to
/// their strength, and the one with fewer open jobs per strength is chosen. A slow dispatcher
/// accumulates open jobs and so receives few new ones, and hosts that choose at the same time do
/// not all choose the same one.
///
/// Returns an index, or std::nullopt if there are no candidates.
[[nodiscard]] std::optional<std::size_t>
chooseDispatcher(const std::vector<DispatcherCandidate> &candidates, RandomSource &random);

} // namespace anvilmill
