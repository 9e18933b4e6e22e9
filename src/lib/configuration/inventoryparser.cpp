#include "anvilmill/configuration/sheetparser.h"

#include "cellformat.h"
#include "csvreader.h"

namespace anvilmill {

namespace {

constexpr CellLimits SlotLimits = {1, 1000000};

CellError addToInventory(const CsvRow &row, Inventory &inventory)
{
    if (row.size() != 2)
        return "a row must have two cells: entry-host, worker or slots, and its value";
    const std::string &kind = row[0].text;
    std::string name;
    int slots = 0;
    if (kind == "slots") {
        CellError error = readCell(row[1].text, SlotLimits, slots);
        if (!error)
            inventory.slots = slots;
        return error;
    }
    if (kind != "entry-host" && kind != "worker")
        return "unknown kind of row '" + kind + "'; known are entry-host, worker, slots";
    CellError error = readCell(row[1].text, {}, name);
    if (!error)
        (kind == "worker" ? inventory.workers : inventory.entryHosts).push_back(name);
    return error;
}

} // namespace

InventoryParse parseInventory(std::string_view text, const std::string &file)
{
    CsvText csv = readCsv(text, file);
    Inventory inventory;
    for (const CsvRow &row : csv.rows) {
        if (CellError error = addToInventory(row, inventory))
            csv.errors.push_back({*error, row[0].position});
    }
    if (!csv.errors.empty())
        return {std::nullopt, std::move(csv.errors)};
    return {std::move(inventory), {}};
}

} // namespace anvilmill
