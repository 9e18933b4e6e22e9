#pragma once

#include <cstdint>

namespace anvilmill {

/// \brief Source of randomness for decision code; seeded in tests and experiments.
///
/// Thread safety: one thread at a time.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// \brief A number uniform over all 64-bit values.
    [[nodiscard]] virtual std::uint64_t next() = 0;

    /// \brief A number uniform in [0, 1).
    [[nodiscard]] double nextUnit();

    /// \brief A number uniform in [0, \p bound). Precondition: \p bound is positive.
    [[nodiscard]] std::uint64_t nextBelow(std::uint64_t bound);
};

/// \brief A small seeded generator: the same seed gives the same numbers on every machine.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) noexcept;

    [[nodiscard]] std::uint64_t next() override;

private:
    std::uint64_t m_state;
};

} // namespace anvilmill
