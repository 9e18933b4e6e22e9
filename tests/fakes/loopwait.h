#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>

namespace anvilmill::tests {

/// \brief Runs \p loop until \p isMet, for \p longest at most; returns whether it was met.
template <typename Condition>
[[nodiscard]] bool runUntil(boost::asio::io_context &loop, Condition isMet, Duration longest)
{
    const SystemClock clock;
    const MonotonicTime limit = clock.now() + longest;
    while (!isMet() && clock.now() < limit)
        loop.run_for(std::chrono::milliseconds(5));
    return isMet();
}

} // namespace anvilmill::tests
