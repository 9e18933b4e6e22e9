#include "anvilmill/scheduling/dispatcherchoice.h"

#include "anvilmill/randomsource.h"

namespace anvilmill {

namespace {

/// An index with a probability proportional to its strength.
std::size_t drawOne(const std::vector<DispatcherCandidate> &candidates, RandomSource &random)
{
    double total = 0.0;
    for (const DispatcherCandidate &candidate : candidates)
        total += candidate.strength;
    double remaining = random.nextUnit() * total;
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
        remaining -= candidates[i].strength;
        if (remaining < 0.0)
            return i;
    }
    return candidates.size() - 1;
}

double loadOf(const DispatcherCandidate &candidate)
{
    return static_cast<double>(candidate.openJobs) / candidate.strength;
}

} // namespace

std::optional<std::size_t> chooseDispatcher(const std::vector<DispatcherCandidate> &candidates,
                                            RandomSource &random)
{
    if (candidates.empty())
        return std::nullopt;
    const std::size_t first = drawOne(candidates, random);
    const std::size_t second = drawOne(candidates, random);
    return loadOf(candidates[second]) < loadOf(candidates[first]) ? second : first;
}

} // namespace anvilmill
