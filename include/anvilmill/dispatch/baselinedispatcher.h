#pragma once

#include "anvilmill/dispatch/dispatcher.h"

#include <memory>

namespace anvilmill {

class RandomSource;

/// \brief Policy by which a baseline dispatcher selects an executor with a free slot.
enum class BaselineChoice { Random, RoundRobin, LeastInFlight };

/// \brief Creates a FIFO dispatcher with a simple selection of executors, for comparisons.
///
/// Counts only its own starts: an executor is considered free while it runs fewer of them than it
/// has slots. After a refused start, the executor is skipped for a few milliseconds.
/// Precondition: \p clock and \p random outlive the dispatcher.
[[nodiscard]] std::unique_ptr<Dispatcher>
makeBaselineDispatcher(BaselineChoice choice, const Clock &clock, RandomSource &random);

} // namespace anvilmill
