#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Description of an executor from the host list or the settings.
struct ExecutorInfo
{
    /// Stable name, also its `address:port`.
    std::string name;
    /// Maximum number of concurrent tasks, over all entry hosts.
    int slots = 8;
    /// Services that it runs; empty means all.
    std::vector<std::string> services;
    /// True once its stop is listed or announced; it receives no new starts.
    bool isLeaving = false;
};

} // namespace anvilmill
