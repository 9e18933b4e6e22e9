#include "sheet.h"

#include "anvilmill/configuration/sheetdiff.h"
#include "commandline.h"
#include "sheetapply.h"
#include "sheetfile.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

namespace anvilmill::tools {

namespace {

struct Action
{
    const char *name;
    const char *summary;
    int (*run)(TCLAP::CmdLine &line, std::vector<std::string> &arguments);
};

int runCheck(TCLAP::CmdLine &line, std::vector<std::string> &arguments)
{
    TCLAP::UnlabeledValueArg<std::string> file("sheet", "The sheet; - reads standard input.", true,
                                               "", "FILE", line);
    TCLAP::ValueArg<std::string> inventoryFile(
            "i", "inventory", "Entry hosts, workers and slots to check the sheet against.", false,
            "", "FILE", line);
    TCLAP::SwitchArg canonical("c", "canonical", "Print the sheet in canonical form.", line);
    line.parse(arguments);
    std::optional<Inventory> inventory;
    if (inventoryFile.isSet()) {
        inventory = loadInventory(inventoryFile.getValue());
        if (!inventory)
            return Failure;
    }
    const std::optional<Sheet> sheet = loadSheet(file.getValue(), inventory);
    if (!sheet)
        return Failure;
    if (canonical.getValue())
        std::cout << canonicalText(*sheet);
    else
        std::cout << "services=" << sheet->services.size() << " stops=" << sheet->stops.size()
                  << " teams=" << sheet->teams.size() << " digest=" << digestOf(*sheet) << "\n";
    return Success;
}

int runDiff(TCLAP::CmdLine &line, std::vector<std::string> &arguments)
{
    TCLAP::UnlabeledValueArg<std::string> before("before", "The sheet to compare with.", true, "",
                                                 "BEFORE", line);
    TCLAP::UnlabeledValueArg<std::string> after("after", "The new sheet.", true, "", "AFTER", line);
    line.parse(arguments);
    const std::optional<Sheet> old = loadSheet(before.getValue());
    const std::optional<Sheet> now = loadSheet(after.getValue());
    if (!old || !now)
        return Failure;
    std::cout << asText(diffSheets(*old, *now));
    return Success;
}

const std::vector<Action> &actions()
{
    static const std::vector<Action> all = {
            {"check", "validate a sheet and print its digest", runCheck},
            {"diff", "print what differs between two sheets", runDiff},
            {"apply", "make a sheet the newest revision", runApply},
            {"history", "list the latest revisions, newest first", runHistory},
    };
    return all;
}

void printHelp(std::ostream &out)
{
    out << "Usage: anvilmill sheet ACTION [OPTIONS]\n\nActions:\n";
    for (const Action &action : actions())
        out << "  " << action.name << std::string(10 - std::string(action.name).size(), ' ')
            << action.summary << "\n";
    out << "\n'anvilmill sheet ACTION --help' lists the options of one.\n";
}

int runAction(const Action &action, std::vector<std::string> arguments)
{
    arguments.erase(arguments.begin());
    arguments[0] = std::string("anvilmill sheet ") + action.name;
    TCLAP::CmdLine line(action.summary, ' ', "0.1.0");
    line.setExceptionHandling(false);
    try {
        return action.run(line, arguments);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << arguments[0] << ": " << error.argId() << ": " << error.error() << "\n";
        return UsageError;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
}

} // namespace

int runSheet(const std::vector<std::string> &arguments)
{
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    if (name.empty() || name == "--help" || name == "-h") {
        printHelp(name.empty() ? std::cerr : std::cout);
        return name.empty() ? UsageError : Success;
    }
    const auto found = std::find_if(actions().begin(), actions().end(),
                                    [&](const Action &action) { return action.name == name; });
    if (found == actions().end()) {
        std::cerr << "anvilmill sheet: unknown action '" << name
                  << "'; see 'anvilmill sheet --help'\n";
        return UsageError;
    }
    return runAction(*found, arguments);
}

} // namespace anvilmill::tools
