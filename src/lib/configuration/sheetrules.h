#pragma once

#include "anvilmill/configuration/sheetparser.h"
#include "rowparser.h"

#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Checks the rules beyond single cells: names, references, totals and the sheet's length.
[[nodiscard]] std::vector<Error> checkRules(const Sheet &sheet, const RowPositions &positions,
                                            const std::optional<Inventory> &inventory,
                                            const std::string &file);

} // namespace anvilmill
