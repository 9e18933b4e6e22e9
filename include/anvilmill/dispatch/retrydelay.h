#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/randomsource.h"

namespace anvilmill {

/// \brief Returns the time after which a caller should submit a refused job again.
///
/// \p wait: the expected time until the job can be accepted. The result is one to two times \p wait, so that
/// refused callers don't return together, and between 100 ms and one minute: a longer forecast is not
/// reliable, since queued jobs also end at their deadlines.
///
/// Thread safety: that of \p random.
[[nodiscard]] Duration retryDelay(Duration wait, RandomSource &random);

} // namespace anvilmill
