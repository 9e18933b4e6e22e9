#include "anvilmill/configuration/sizesplit.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <cstdint>

namespace anvilmill {

namespace {

int portionOf(int amount, double share) noexcept
{
    return static_cast<int>(amount * share);
}

enum class Rounding { Down, Up };

int scaledBy(int amount, int after, int before, Rounding rounding) noexcept
{
    if (after >= before)
        return amount;
    const int extra = rounding == Rounding::Up ? before - 1 : 0;
    return static_cast<int>((static_cast<std::int64_t>(amount) * after + extra) / before);
}

std::uint64_t scoreOf(const std::string &service, const std::string &dataCentre)
{
    constexpr std::uint64_t Basis = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t Prime = 0x100000001b3ULL;
    std::uint64_t hash = Basis;
    for (const char c : service + "/" + dataCentre)
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    return SeededRandom(hash).next();
}

} // namespace

SizeSplit::SizeSplit(int size, int dataCentres, int index, const SizeSplitOptions &options) noexcept
    : m_size(size)
{
    const int floors = portionOf(size, options.floorShare);
    // The remainder of the division goes to the first data centres of the list.
    const int floor = (floors + dataCentres - 1 - index) / dataCentres;
    const int hostFloors = portionOf(floor, options.hostFloorShare);
    m_hostFloor = hostFloors / options.hostsPerDataCentre;
    m_hostPool = floor - hostFloors;
    m_pool = size - floors;
}

int SizeSplit::scaled(int amount, const SizeSplit &before) const noexcept
{
    return std::min(scaledBy(amount, m_pool, before.m_pool, Rounding::Down),
                    scaledBy(amount, m_hostPool, before.m_hostPool, Rounding::Down));
}

int SizeSplit::scaledUp(int amount, const SizeSplit &before) const noexcept
{
    return std::min(scaledBy(amount, m_pool, before.m_pool, Rounding::Up),
                    scaledBy(amount, m_hostPool, before.m_hostPool, Rounding::Up));
}

std::string homeOf(const std::string &service, const std::vector<std::string> &dataCentres)
{
    return *std::max_element(dataCentres.begin(), dataCentres.end(),
                             [&](const std::string &left, const std::string &right) {
                                 return scoreOf(service, left) < scoreOf(service, right);
                             });
}

} // namespace anvilmill
