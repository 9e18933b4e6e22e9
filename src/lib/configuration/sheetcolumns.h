#pragma once

#include "anvilmill/configuration/sheet.h"
#include "cellformat.h"

#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace anvilmill {

/// \brief One column of a row kind: its name, the row member it is stored in, and its limits.
template <typename Row>
struct Column
{
    using Member = std::variant<std::string Row::*, int Row::*, double Row::*, Duration Row::*,
                                WallTime Row::*, Urgency Row::*, StopKind Row::*>;

    std::string_view name;
    Member member;
    bool isRequired = false;
    CellLimits limits;

    [[nodiscard]] CellError read(const std::string &text, Row &row) const
    {
        return std::visit([&](auto pointer) { return readCell(text, limits, row.*pointer); },
                          member);
    }

    [[nodiscard]] std::string text(const Row &row) const
    {
        return std::visit([&](auto pointer) { return cellText(row.*pointer); }, member);
    }
};

/// \name The columns of each row kind, in canonical order. The first one is the row's name.
/// @{
[[nodiscard]] const std::vector<Column<ServiceRow>> &columnsOf(const ServiceRow *kind);
[[nodiscard]] const std::vector<Column<StopRow>> &columnsOf(const StopRow *kind);
[[nodiscard]] const std::vector<Column<TeamRow>> &columnsOf(const TeamRow *kind);
/// @}

template <typename Row>
[[nodiscard]] const std::vector<Column<Row>> &columns()
{
    return columnsOf(static_cast<const Row *>(nullptr));
}

/// \brief The names of the columns of \p kind, in canonical order.
[[nodiscard]] std::vector<std::string> columnNames(RowKind kind);

/// \brief Every row kind, in canonical order.
[[nodiscard]] const std::vector<RowKind> &rowKinds();

/// \brief Calls \p visit with the rows of each kind of \p sheet, in canonical order.
template <typename SomeSheet, typename Visit>
void forEachKind(SomeSheet &sheet, Visit &&visit)
{
    visit(RowKind::Service, sheet.services);
    visit(RowKind::Stop, sheet.stops);
    visit(RowKind::Team, sheet.teams);
}

/// \brief One row in canonical form, including the line break.
template <typename Row>
[[nodiscard]] std::string canonicalLine(RowKind kind, const Row &row)
{
    std::string line = asString(kind);
    for (const Column<Row> &column : columns<Row>())
        line += "," + column.text(row);
    return line + "\n";
}

/// \brief The header of a section in canonical form, including the line break.
[[nodiscard]] std::string canonicalHeader(RowKind kind);

} // namespace anvilmill
