#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

class RandomSource;

/// \brief A dispatcher that a job could be handed to.
struct DispatcherCandidate
{
    std::string host;
    /// Relative processor share; above 0.
    double strength = 1.0;
    /// Jobs that were handed to it and are not answered.
    std::size_t openJobs = 0;
};

/// \brief Chooses the dispatcher for a job of a host that schedules none itself.
///
/// Load pattern: dispatchers differ in strength, and now and then one of them answers slowly for
/// seconds while it is still heard. Two are drawn by strength, and the one with fewer open jobs for
/// its strength is taken: a slow one keeps its jobs open and gets no more, and hosts that choose at
/// the same time do not all choose the same one.
///
/// Returns an index, or nothing if there are no candidates.
[[nodiscard]] std::optional<std::size_t>
chooseDispatcher(const std::vector<DispatcherCandidate> &candidates, RandomSource &random);

} // namespace anvilmill
