#pragma once

#include "anvilmill/configuration/sheetparser.h"

#include <optional>
#include <string>

namespace anvilmill::tools {

/// \brief Reads a whole file; `-` means standard input.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

/// \brief Parses the sheet in \p path. Prints each error with its position to standard error.
[[nodiscard]] std::optional<Sheet>
loadSheet(const std::string &path, const std::optional<Inventory> &inventory = std::nullopt);

/// \brief Parses the inventory in \p path. Prints each error with its position to standard error.
[[nodiscard]] std::optional<Inventory> loadInventory(const std::string &path);

} // namespace anvilmill::tools
