#include "anvilmill/configuration/sheetdiff.h"

#include "rowparser.h"
#include "sheetcolumns.h"

#include <algorithm>

namespace anvilmill {

namespace {

template <typename Row>
std::vector<FieldChange> changedFields(const Row *before, const Row &after)
{
    std::vector<FieldChange> fields;
    for (const Column<Row> &column : columns<Row>()) {
        const std::string old = before ? column.text(*before) : "";
        std::string now = column.text(after);
        if (column.name != "name" && old != now)
            fields.push_back({std::string(column.name), old, std::move(now)});
    }
    return fields;
}

/// Merges two lists sorted by name: calls \p visit for each name with the row of each list, or
/// nullptr if the list has no such row.
template <typename Row, typename Visit>
void forEachName(const std::vector<Row> &before, const std::vector<Row> &after, Visit &&visit)
{
    auto old = before.begin();
    auto now = after.begin();
    while (old != before.end() || now != after.end()) {
        const bool hasOld = now == after.end() || (old != before.end() && old->name <= now->name);
        const bool hasNew = old == before.end() || (now != after.end() && now->name <= old->name);
        visit(hasOld ? &*old : nullptr, hasNew ? &*now : nullptr);
        old += hasOld ? 1 : 0;
        now += hasNew ? 1 : 0;
    }
}

/// Calls \p visit with the kind and both rows of each name whose rows differ.
template <typename Visit>
void forEachDifference(const Sheet &before, const Sheet &after, Visit &&visit)
{
    const auto visitKind = [&](RowKind kind, const auto &old, const auto &now) {
        forEachName(old, now, [&](const auto *oldRow, const auto *newRow) {
            if (!oldRow || !newRow || !(*oldRow == *newRow))
                visit(kind, oldRow, newRow);
        });
    };
    visitKind(RowKind::Service, before.services, after.services);
    visitKind(RowKind::Stop, before.stops, after.stops);
    visitKind(RowKind::Team, before.teams, after.teams);
}

std::string fieldsText(const RowChange &change)
{
    std::string text;
    for (const FieldChange &field : change.fields) {
        text += text.empty() ? " " : ", ";
        text += field.column + " ";
        text += change.kind == RowChange::Kind::Added ? field.after
                                                      : field.before + " -> " + field.after;
    }
    return text;
}

void removeRow(Sheet &sheet, const RowKey &key)
{
    forEachKind(sheet, [&](RowKind kind, auto &rows) {
        const auto isRemoved = [&](const auto &row) { return row.name == key.name; };
        if (kind == key.row)
            rows.erase(std::remove_if(rows.begin(), rows.end(), isRemoved), rows.end());
    });
}

template <typename Row>
void insertOrReplace(std::vector<Row> &rows, const Row &row)
{
    const auto position =
            std::lower_bound(rows.begin(), rows.end(), row, [](const Row &left, const Row &right) {
                return left.name < right.name;
            });
    if (position != rows.end() && position->name == row.name)
        *position = row;
    else
        rows.insert(position, row);
}

} // namespace

std::vector<RowChange> diffSheets(const Sheet &before, const Sheet &after)
{
    std::vector<RowChange> changes;
    forEachDifference(before, after, [&](RowKind kind, const auto *old, const auto *now) {
        if (!now)
            changes.push_back({kind, old->name, RowChange::Kind::Removed, {}});
        else
            changes.push_back({kind, now->name,
                               old ? RowChange::Kind::Changed : RowChange::Kind::Added,
                               changedFields(old, *now)});
    });
    return changes;
}

std::string asText(const std::vector<RowChange> &changes)
{
    std::string text;
    for (const RowChange &change : changes) {
        const char mark = change.kind == RowChange::Kind::Added     ? '+'
                          : change.kind == RowChange::Kind::Removed ? '-'
                                                                    : '~';
        text += std::string(1, mark) + " " + asString(change.row) + " " + change.name;
        const std::string fields = fieldsText(change);
        text += (fields.empty() ? "" : ":") + fields + "\n";
    }
    return text;
}

bool RowKey::operator==(const RowKey &other) const noexcept
{
    return row == other.row && name == other.name;
}

SheetPatch patchBetween(const Sheet &before, const Sheet &after)
{
    SheetPatch patch;
    std::optional<RowKind> section;
    forEachDifference(before, after, [&](RowKind kind, const auto *old, const auto *now) {
        if (!now) {
            patch.removed.push_back({kind, old->name});
            return;
        }
        if (section != kind)
            patch.rows += canonicalHeader(kind);
        section = kind;
        patch.rows += canonicalLine(kind, *now);
    });
    return patch;
}

Result<Sheet> patched(const Sheet &sheet, const SheetPatch &patch)
{
    const RowParse rows = parseRows(patch.rows, "patch");
    if (!rows.errors.empty())
        return rows.errors.front();
    Sheet result = sheet;
    for (const RowKey &key : patch.removed)
        removeRow(result, key);
    for (const ServiceRow &row : rows.rows.services)
        insertOrReplace(result.services, row);
    for (const StopRow &row : rows.rows.stops)
        insertOrReplace(result.stops, row);
    for (const TeamRow &row : rows.rows.teams)
        insertOrReplace(result.teams, row);
    return result;
}

} // namespace anvilmill
