#pragma once

#include "anvilmill/configuration/sheet.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <string>
#include <vector>

namespace anvilmill::fakes {

constexpr std::uint64_t RandomNameCount = 40;

inline int randomBelow(RandomSource &random, std::uint64_t bound)
{
    return static_cast<int>(random.nextBelow(bound));
}

template <typename Row>
inline void putOrRemove(std::vector<Row> &rows, const Row &row, bool isRemoval)
{
    const auto position =
            std::lower_bound(rows.begin(), rows.end(), row, [](const Row &left, const Row &right) {
                return left.name < right.name;
            });
    const bool isKnown = position != rows.end() && position->name == row.name;
    if (isKnown && isRemoval)
        rows.erase(position);
    else if (isKnown)
        *position = row;
    else
        rows.insert(position, row);
}

inline ServiceRow randomService(RandomSource &random)
{
    ServiceRow row;
    row.name = "service-" + std::to_string(random.nextBelow(RandomNameCount));
    row.size = randomBelow(random, 500);
    row.urgency = random.nextBelow(2) == 0 ? Urgency::Normal : Urgency::Urgent;
    row.latency = std::chrono::milliseconds(1 + random.nextBelow(100000));
    row.objective = 90 + static_cast<double>(random.nextBelow(99)) / 10;
    return row;
}

inline StopRow randomStop(RandomSource &random)
{
    StopRow row;
    row.name = "bole/host-" + std::to_string(random.nextBelow(RandomNameCount));
    row.role = random.nextBelow(2) == 0 ? StopKind::EntryHost : StopKind::Worker;
    row.at = WallTime(std::chrono::seconds(1790000000 + random.nextBelow(100000)));
    return row;
}

inline TeamRow randomTeam(RandomSource &random)
{
    TeamRow row;
    row.name = "team-" + std::to_string(random.nextBelow(RandomNameCount));
    row.quota = randomBelow(random, 300);
    row.weight = 1 + randomBelow(random, 9);
    return row;
}

/// \brief Changes one to three rows of \p sheet at random: adds, replaces or removes them.
inline void applyRandomChanges(Sheet &sheet, RandomSource &random)
{
    const std::uint64_t changes = 1 + random.nextBelow(3);
    for (std::uint64_t i = 0; i < changes; ++i) {
        const bool isRemoval = random.nextBelow(4) == 0;
        const std::uint64_t kind = random.nextBelow(3);
        if (kind == 0)
            putOrRemove(sheet.services, randomService(random), isRemoval);
        else if (kind == 1)
            putOrRemove(sheet.stops, randomStop(random), isRemoval);
        else
            putOrRemove(sheet.teams, randomTeam(random), isRemoval);
    }
}

/// \brief A sheet with at most the given numbers of rows.
[[nodiscard]] inline Sheet randomSheet(RandomSource &random, int services, int stops, int teams)
{
    Sheet sheet;
    for (int i = 0; i < services; ++i)
        putOrRemove(sheet.services, randomService(random), false);
    for (int i = 0; i < stops; ++i)
        putOrRemove(sheet.stops, randomStop(random), false);
    for (int i = 0; i < teams; ++i)
        putOrRemove(sheet.teams, randomTeam(random), false);
    return sheet;
}

} // namespace anvilmill::fakes
