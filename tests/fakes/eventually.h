#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace anvilmill::test {

/// \brief Waits until \p condition holds; returns false if it doesn't within 20 s.
[[nodiscard]] inline bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds Timeout{20};
    constexpr std::chrono::milliseconds PollInterval{2};
    const auto end = std::chrono::steady_clock::now() + Timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace anvilmill::test
