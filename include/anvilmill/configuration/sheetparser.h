#pragma once

#include "anvilmill/configuration/sheet.h"
#include "anvilmill/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief The hosts and executor slots of the system, used to validate a sheet.
///
/// Host names have the form `dataCentre/host`.
struct Inventory
{
    std::vector<std::string> entryHosts;
    std::vector<std::string> workers;
    /// Total slots of all executors; absent if unknown.
    std::optional<int> slots;
};

/// \brief Result of parseSheet(): either a sheet, or all errors found in its text.
struct SheetParse
{
    std::optional<Sheet> sheet;
    std::vector<Error> errors;
};

/// \brief Parses and validates \p text.
///
/// \p file is the file name in error positions. With an inventory, stops must refer to known hosts,
/// the total size of the services must not exceed the slots, and the stops of a data centre must
/// not include all its entry hosts. All errors are reported, in the order of the text.
///
/// \code
/// const SheetParse parse = parseSheet(text, "today.csv");
/// for (const Error &error : parse.errors)
///     std::cerr << error.asString() << "\n";
/// \endcode
///
/// Thread safety: may be called from any thread.
[[nodiscard]] SheetParse parseSheet(std::string_view text, const std::string &file,
                                    const std::optional<Inventory> &inventory = std::nullopt);

/// \brief Result of parseInventory(): either an inventory, or all errors found in its text.
struct InventoryParse
{
    std::optional<Inventory> inventory;
    std::vector<Error> errors;
};

/// \brief Parses an inventory from CSV rows `entry-host,NAME`, `worker,NAME` and `slots,NUMBER`.
[[nodiscard]] InventoryParse parseInventory(std::string_view text, const std::string &file);

} // namespace anvilmill
