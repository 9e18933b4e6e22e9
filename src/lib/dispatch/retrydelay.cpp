#include "anvilmill/dispatch/retrydelay.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr Duration MinWait = std::chrono::milliseconds(100);
constexpr Duration MaxWait = std::chrono::seconds(30);

} // namespace

Duration retryDelay(Duration wait, RandomSource &random)
{
    const Duration bounded = std::clamp(wait, MinWait, MaxWait);
    return bounded + std::chrono::duration_cast<Duration>(bounded * random.nextUnit());
}

} // namespace anvilmill
