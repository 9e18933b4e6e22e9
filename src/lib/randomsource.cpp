#include "anvilmill/randomsource.h"

namespace anvilmill {

double RandomSource::nextUnit()
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(std::uint64_t{1} << MantissaBits);
    return static_cast<double>(next() >> (64 - MantissaBits)) * Scale;
}

std::uint64_t RandomSource::nextBelow(std::uint64_t bound)
{
    return next() % bound;
}

SeededRandom::SeededRandom(std::uint64_t seed) noexcept
    : m_state(seed)
{
}

std::uint64_t SeededRandom::next()
{
    // SplitMix64.
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace anvilmill
