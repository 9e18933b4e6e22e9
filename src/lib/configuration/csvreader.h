#pragma once

#include "anvilmill/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief One cell of a CSV text and the position of its first character.
struct CsvCell
{
    std::string text;
    SourcePosition position;
};

using CsvRow = std::vector<CsvCell>;

/// \brief The rows of a CSV text, and its syntax errors.
struct CsvText
{
    std::vector<CsvRow> rows;
    std::vector<Error> errors;
};

/// \brief Parses \p text in strict accordance with RFC 4180, except that blank lines and lines that
/// start with `#` are skipped.
///
/// A malformed line is reported and omitted; parsing continues with the next line.
[[nodiscard]] CsvText readCsv(std::string_view text, const std::string &file);

} // namespace anvilmill
