#pragma once

#include "anvilmill/configuration/sheet.h"
#include "anvilmill/result.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmill {

/// \brief The position of each row of a sheet, by kind and name.
using RowPositions = std::map<std::pair<RowKind, std::string>, SourcePosition>;

/// \brief The rows that are individually valid, sorted by name, and the errors in all others.
struct RowParse
{
    Sheet rows;
    RowPositions positions;
    std::vector<Error> errors;
};

/// \brief Parses the rows of \p text. Does not check rules across rows, except that names must be
/// unique within a kind.
[[nodiscard]] RowParse parseRows(std::string_view text, const std::string &file);

} // namespace anvilmill
