/// The users' platform, executors and clients for the cases in review/, in one process.
///
/// Usage: review_standin SCENARIO --trouble WHICH --store ADDRESS --executors ADDRESS --record FILE
///        [--host ADDRESS,PID]...
/// `--trouble 0` leaves the disruption out. Exits with 1 if the rule was broken, with 0
/// if it held, and with 2 if the case couldn't run.

#include "scenarios.h"

#include <iostream>

namespace {

using namespace anvilmill::review;

Options optionsFrom(int count, char **arguments)
{
    if (count < 2)
        throw std::invalid_argument("which scenario?");
    Options options;
    options.scenario = arguments[1];
    for (int i = 2; i + 1 < count; i += 2) {
        const std::string name = arguments[i];
        const std::string value = arguments[i + 1];
        if (name == "--store")
            options.store = value;
        else if (name == "--executors")
            options.executors = value;
        else if (name == "--record")
            options.record = value;
        else if (name == "--trouble")
            options.trouble = value;
        else if (name == "--host") {
            const std::size_t comma = value.find(',');
            options.hosts.push_back(value.substr(0, comma));
            options.processes.push_back(std::stoi(value.substr(comma + 1)));
        } else
            throw std::invalid_argument("unknown option " + name);
    }
    options.hasTrouble = options.trouble != "0";
    return options;
}

} // namespace

int main(int count, char **arguments)
{
    try {
        return runScenario(optionsFrom(count, arguments));
    } catch (const std::exception &error) {
        std::cerr << "review_standin: " << error.what() << "\n";
        return 2;
    }
}
