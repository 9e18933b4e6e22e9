#pragma once

#include "anvilmill/configuration/sheet.h"
#include "anvilmill/result.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief One column of a row that differs between two sheets.
struct FieldChange
{
    std::string column;
    std::string before;
    std::string after;
};

/// \brief One row that differs between two sheets.
struct RowChange
{
    enum class Kind { Added, Removed, Changed };

    RowKind row = RowKind::Service;
    std::string name;
    Kind kind = Kind::Changed;
    /// The differing columns of a changed row; all columns of an added one.
    std::vector<FieldChange> fields;
};

/// \brief The rows that differ between \p before and \p after, by kind and name.
[[nodiscard]] std::vector<RowChange> diffSheets(const Sheet &before, const Sheet &after);

/// \brief Human-readable text with one line per change: `~ service stock: size 200 -> 100`.
[[nodiscard]] std::string asText(const std::vector<RowChange> &changes);

/// \brief The key of one row.
struct RowKey
{
    RowKind row = RowKind::Service;
    std::string name;

    [[nodiscard]] bool operator==(const RowKey &other) const noexcept;
};

/// \brief The changes that transform one sheet into another.
struct SheetPatch
{
    /// Rows to add or replace, in canonical form.
    std::string rows;
    std::vector<RowKey> removed;
};

/// \brief Computes the patch from \p before to \p after.
[[nodiscard]] SheetPatch patchBetween(const Sheet &before, const Sheet &after);

/// \brief \p sheet with \p patch applied; an error if the patch does not parse.
[[nodiscard]] Result<Sheet> patched(const Sheet &sheet, const SheetPatch &patch);

} // namespace anvilmill
