#include "reportformat.h"

#include <cmath>
#include <cstdio>
#include <ctime>

namespace anvilmill::tools {

namespace {

constexpr std::int64_t SecondMs = 1'000;
constexpr std::int64_t MinuteMs = 60 * SecondMs;
constexpr std::int64_t HourMs = 60 * MinuteMs;

struct Unit
{
    std::int64_t lengthMs;
    const char *name;
};

constexpr Unit Units[] = {{HourMs, " h"}, {MinuteMs, " min"}, {SecondMs, " s"}};

} // namespace

std::string asFixed(double value, int digits)
{
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

std::string asDurationText(std::int64_t milliseconds)
{
    for (const Unit &unit : Units) {
        if (milliseconds < unit.lengthMs)
            continue;
        const double count = static_cast<double>(milliseconds) / static_cast<double>(unit.lengthMs);
        const bool isWhole = std::abs(count - std::round(count)) < 0.05;
        return asFixed(count, isWhole ? 0 : 1) + unit.name;
    }
    return std::to_string(milliseconds) + " ms";
}

std::string asUtcTime(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / SecondMs;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[64];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return text;
}

std::string stateOf(const wire::burn::ServiceBurn &service)
{
    std::string state = "ok";
    for (const auto &alert : service.alerts) {
        if (!alert.firing)
            continue;
        if (alert.severity == wire::burn::Severity::Page)
            return "page";
        state = "ticket";
    }
    return state;
}

std::string asString(wire::burn::Verdict verdict)
{
    return nlohmann::json(verdict).get<std::string>();
}

} // namespace anvilmill::tools
