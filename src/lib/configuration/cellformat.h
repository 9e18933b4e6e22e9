#pragma once

#include "anvilmill/configuration/sheet.h"

#include <optional>
#include <string>

namespace anvilmill {

/// \brief The range of values allowed in a cell. Durations are in seconds.
struct CellLimits
{
    double minimum = 0;
    double maximum = 0;
};

/// \brief Why a cell's text is invalid; empty if it is valid.
using CellError = std::optional<std::string>;

/// \name Parse the text of a cell. \p value is set only on success.
/// @{
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits, int &value);
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits, double &value);
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits,
                                 Duration &value);
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits,
                                 WallTime &value);
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits, Urgency &value);
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits,
                                 StopKind &value);
/// Parses a name: letters, digits and `-_./`, at most 128 characters.
[[nodiscard]] CellError readCell(const std::string &text, const CellLimits &limits,
                                 std::string &value);
/// @}

/// \name Format a value as canonical text.
/// @{
[[nodiscard]] std::string cellText(int value);
[[nodiscard]] std::string cellText(double value);
[[nodiscard]] std::string cellText(Duration value);
[[nodiscard]] std::string cellText(WallTime value);
[[nodiscard]] std::string cellText(Urgency value);
[[nodiscard]] std::string cellText(StopKind value);
[[nodiscard]] std::string cellText(const std::string &value);
/// @}

} // namespace anvilmill
