#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace anvilmill::review {

struct Options
{
    std::string scenario;
    std::string store;
    std::string executors;
    std::string record;
    /// Client addresses and process ids of the entry hosts.
    std::vector<std::string> hosts;
    std::vector<pid_t> processes;
    bool hasTrouble = true;
    /// 0: no disruption; kill, late: only one of two; otherwise all.
    std::string trouble = "1";
};

/// \brief Runs a scenario; returns 1 if its rule was broken, 0 if it held, 2 if it couldn't run.
[[nodiscard]] int runScenario(const Options &options);

} // namespace anvilmill::review
