#pragma once

#include <cstdint>

namespace anvilmill {

/// \brief Resources that a task demands or an executor offers. No member is negative.
struct Resources
{
    /// Thousandths of a core.
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    /// \brief True if each resource is at most that of \p capacity.
    [[nodiscard]] bool fitsInto(const Resources &capacity) const noexcept
    {
        return milliCores <= capacity.milliCores && memoryMb <= capacity.memoryMb
               && gpus <= capacity.gpus;
    }

    Resources &operator+=(const Resources &other) noexcept
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }

    Resources &operator-=(const Resources &other) noexcept
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }

    [[nodiscard]] friend bool operator==(const Resources &left, const Resources &right) noexcept
    {
        return left.milliCores == right.milliCores && left.memoryMb == right.memoryMb
               && left.gpus == right.gpus;
    }
};

} // namespace anvilmill
