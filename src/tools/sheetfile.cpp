#include "sheetfile.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace anvilmill::tools {

namespace {

constexpr const char *StandardInput = "-";

std::string readAll(std::istream &in)
{
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void printErrors(const std::vector<Error> &errors)
{
    for (const Error &error : errors)
        std::cerr << error.asString() << "\n";
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    if (path == StandardInput)
        return readAll(std::cin);
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error{"the file can't be opened", {path}};
    std::string text = readAll(file);
    if (file.bad())
        return Error{"the file can't be read", {path}};
    return text;
}

std::optional<Sheet> loadSheet(const std::string &path, const std::optional<Inventory> &inventory)
{
    const Result<std::string> text = readFile(path);
    if (!text) {
        printErrors({text.error()});
        return std::nullopt;
    }
    SheetParse parse = parseSheet(*text, path, inventory);
    printErrors(parse.errors);
    return std::move(parse.sheet);
}

std::optional<Inventory> loadInventory(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    if (!text) {
        printErrors({text.error()});
        return std::nullopt;
    }
    InventoryParse parse = parseInventory(*text, path);
    printErrors(parse.errors);
    return std::move(parse.inventory);
}

} // namespace anvilmill::tools
