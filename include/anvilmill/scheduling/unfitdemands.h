#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace anvilmill {

/// \brief Demands that no executor can take now: a task that needs no less and no slower an executor is
/// skipped without a scan.
///
/// Thread safety: one thread at a time.
class UnfitDemands
{
public:
    void add(std::int64_t milliCores, double minSpeed)
    {
        m_demands.emplace_back(milliCores, minSpeed);
    }

    [[nodiscard]] bool includes(std::int64_t milliCores, double minSpeed) const
    {
        return std::any_of(m_demands.begin(), m_demands.end(), [&](const auto &demand) {
            return milliCores >= demand.first && minSpeed >= demand.second;
        });
    }

private:
    std::vector<std::pair<std::int64_t, double>> m_demands;
};

} // namespace anvilmill
