#include "anvilmill/configuration/plannedstop.h"

namespace anvilmill {

namespace {

bool isDue(const StopRow &stop, WallTime now) noexcept
{
    return drainStartOf(stop) <= now && now < stop.at + PlannedStopRetention;
}

} // namespace

WallTime drainStartOf(const StopRow &stop) noexcept
{
    return stop.at - stop.grace;
}

std::vector<std::string> stopsDue(const Sheet &sheet, StopKind role, WallTime now)
{
    std::vector<std::string> names;
    for (const StopRow &stop : sheet.stops) {
        if (stop.role == role && isDue(stop, now))
            names.push_back(stop.name);
    }
    return names;
}

const StopRow *ownStopDue(const Sheet &sheet, const std::string &host, WallTime now,
                          WallTime startedAt)
{
    for (const StopRow &stop : sheet.stops) {
        const bool isOwn = stop.role == StopKind::EntryHost && stop.name == host;
        if (isOwn && isDue(stop, now) && startedAt < stop.at)
            return &stop;
    }
    return nullptr;
}

} // namespace anvilmill
