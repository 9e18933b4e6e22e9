#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>

namespace anvilmill::tests {

/// \brief Runs \p loop until \p isMet returns true or \p timeout expires; returns isMet().
template <typename Condition>
[[nodiscard]] bool runUntil(boost::asio::io_context &loop, Condition isMet, Duration timeout)
{
    const SystemClock clock;
    const MonotonicTime limit = clock.now() + timeout;
    while (!isMet() && clock.now() < limit)
        loop.run_for(std::chrono::milliseconds(5));
    return isMet();
}

} // namespace anvilmill::tests
