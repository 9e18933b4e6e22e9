#include "cellformat.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace anvilmill {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxNameLength = 128;
constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%SZ";

struct DurationUnit
{
    const char *suffix;
    milliseconds length;
};

/// Longest first, so that canonical text uses the longest unit that divides the value.
constexpr std::array<DurationUnit, 4> DurationUnits = {{
        {"h", std::chrono::hours(1)},
        {"min", std::chrono::minutes(1)},
        {"s", std::chrono::seconds(1)},
        {"ms", milliseconds(1)},
}};

template <typename Enum>
struct Spelling
{
    Enum value;
    const char *text;
};

constexpr std::array<Spelling<Urgency>, 2> UrgencySpellings = {{
        {Urgency::Normal, "normal"},
        {Urgency::Urgent, "urgent"},
}};

constexpr std::array<Spelling<StopKind>, 3> StopKindSpellings = {{
        {StopKind::EntryHost, "entry-host"},
        {StopKind::Worker, "worker"},
        {StopKind::Service, "service"},
}};

std::string quoted(const std::string &text)
{
    return "'" + text + "'";
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), value,
                                      std::chars_format::general);
    return {text.data(), result.ptr};
}

template <typename Number>
std::optional<Number> asNumber(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

CellError checkLimits(const std::string &text, double value, const CellLimits &limits,
                      const std::string &unit)
{
    if (std::isfinite(value) && value >= limits.minimum && value <= limits.maximum)
        return std::nullopt;
    return quoted(text) + " is out of range; allowed are " + formatNumber(limits.minimum) + unit
           + " to " + formatNumber(limits.maximum) + unit;
}

template <typename Enum, std::size_t Size>
CellError readSpelling(const std::string &text, const std::array<Spelling<Enum>, Size> &all,
                       Enum &value)
{
    std::string known;
    for (const Spelling<Enum> &spelling : all) {
        if (text == spelling.text) {
            value = spelling.value;
            return std::nullopt;
        }
        known += (known.empty() ? "" : ", ") + std::string(spelling.text);
    }
    return quoted(text) + " is not known; choose one of " + known;
}

template <typename Enum, std::size_t Size>
std::string spellingOf(Enum value, const std::array<Spelling<Enum>, Size> &all)
{
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const auto &entry) { return entry.value == value; });
    return found == all.end() ? "" : found->text;
}

std::optional<milliseconds> asDuration(const std::string &text)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    if (digits == std::string::npos || digits == 0)
        return std::nullopt;
    const auto amount = asNumber<std::int32_t>(text.substr(0, digits));
    const std::string suffix = text.substr(digits);
    for (const DurationUnit &unit : DurationUnits) {
        if (amount && suffix == unit.suffix)
            return *amount * unit.length;
    }
    return std::nullopt;
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.'
           || c == '/';
}

} // namespace

CellError readCell(const std::string &text, const CellLimits &limits, int &value)
{
    const auto number = asNumber<std::int64_t>(text);
    if (!number)
        return quoted(text) + " is not a whole number";
    CellError error = checkLimits(text, static_cast<double>(*number), limits, "");
    if (!error)
        value = static_cast<int>(*number);
    return error;
}

CellError readCell(const std::string &text, const CellLimits &limits, double &value)
{
    const auto number = asNumber<double>(text);
    if (!number)
        return quoted(text) + " is not a number";
    CellError error = checkLimits(text, *number, limits, "");
    if (!error)
        value = *number;
    return error;
}

CellError readCell(const std::string &text, const CellLimits &limits, Duration &value)
{
    const auto duration = asDuration(text);
    if (!duration)
        return quoted(text) + " is not a duration; write a whole number and ms, s, min or h";
    const double seconds = std::chrono::duration<double>(*duration).count();
    CellError error = checkLimits(text, seconds, limits, "s");
    if (!error)
        value = *duration;
    return error;
}

CellError readCell(const std::string &text, const CellLimits & /*limits*/, WallTime &value)
{
    std::tm fields{};
    std::istringstream in(text);
    in >> std::get_time(&fields, TimeFormat);
    const bool isRead = !in.fail() && in.peek() == std::istringstream::traits_type::eof();
    const WallTime time =
            isRead ? std::chrono::system_clock::from_time_t(timegm(&fields)) : WallTime{};
    if (!isRead || cellText(time) != text)
        return quoted(text) + " is not a time; write UTC as 2026-01-31T18:00:00Z";
    value = time;
    return std::nullopt;
}

CellError readCell(const std::string &text, const CellLimits & /*limits*/, Urgency &value)
{
    return readSpelling(text, UrgencySpellings, value);
}

CellError readCell(const std::string &text, const CellLimits & /*limits*/, StopKind &value)
{
    return readSpelling(text, StopKindSpellings, value);
}

CellError readCell(const std::string &text, const CellLimits & /*limits*/, std::string &value)
{
    if (text.size() > MaxNameLength)
        return "the name is longer than " + std::to_string(MaxNameLength) + " characters";
    if (!std::all_of(text.begin(), text.end(), isNameCharacter))
        return quoted(text) + " is not a name; use letters, digits and -_./ only";
    value = text;
    return std::nullopt;
}

std::string cellText(int value)
{
    return std::to_string(value);
}

std::string cellText(double value)
{
    return formatNumber(value);
}

std::string cellText(Duration value)
{
    const auto length = std::chrono::duration_cast<milliseconds>(value);
    for (const DurationUnit &unit : DurationUnits) {
        if (length.count() != 0 && length % unit.length == milliseconds::zero())
            return std::to_string(length / unit.length) + unit.suffix;
    }
    return "0s";
}

std::string cellText(WallTime value)
{
    const std::time_t seconds =
            std::chrono::duration_cast<std::chrono::seconds>(value.time_since_epoch()).count();
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), TimeFormat, &fields);
    return {text.data(), length};
}

std::string cellText(Urgency value)
{
    return spellingOf(value, UrgencySpellings);
}

std::string cellText(StopKind value)
{
    return spellingOf(value, StopKindSpellings);
}

std::string cellText(const std::string &value)
{
    return value;
}

} // namespace anvilmill
