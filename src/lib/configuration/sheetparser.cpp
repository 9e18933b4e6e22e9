#include "anvilmill/configuration/sheetparser.h"

#include "rowparser.h"
#include "sheetrules.h"

#include <algorithm>
#include <tuple>

namespace anvilmill {

namespace {

void sortByPosition(std::vector<Error> &errors)
{
    std::stable_sort(errors.begin(), errors.end(), [](const Error &left, const Error &right) {
        return std::tie(left.position.line, left.position.column)
               < std::tie(right.position.line, right.position.column);
    });
}

} // namespace

SheetParse parseSheet(std::string_view text, const std::string &file,
                      const std::optional<Inventory> &inventory)
{
    RowParse parse = parseRows(text, file);
    for (Error &error : checkRules(parse.rows, parse.positions, inventory, file))
        parse.errors.push_back(std::move(error));
    sortByPosition(parse.errors);
    if (!parse.errors.empty())
        return {std::nullopt, std::move(parse.errors)};
    return {std::move(parse.rows), {}};
}

} // namespace anvilmill
