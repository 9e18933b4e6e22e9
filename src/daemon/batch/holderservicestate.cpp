// What a host knows of the executors that it holds and of the runs on them.

#include "batch/holderserviceentry.h"
#include "holderservice.h"

#include <algorithm>

namespace anvilmill::daemon {

bool HolderService::has(const std::string &executor, const RunId &run) const
{
    const auto found = m_entries.find(executor);
    return found != m_entries.end() && found->second->executor.isHeld()
           && found->second->executor.hasRun(run);
}

bool HolderService::holds(const std::string &executor) const
{
    const auto found = m_entries.find(executor);
    return found != m_entries.end() && found->second->executor.isHeld();
}

bool HolderService::isStartOpen(const std::string &executor, const RunId &run) const
{
    return holds(executor) && m_entries.at(executor)->executor.isStartOpen(run);
}

bool HolderService::isOver(const std::string &executor, const RunId &run, Fence startFence) const
{
    return holds(executor) && m_entries.at(executor)->executor.isOver(run, startFence);
}

std::size_t HolderService::held() const
{
    return static_cast<std::size_t>(
            std::count_if(m_assigned.begin(), m_assigned.end(),
                          [](const auto &entry) { return entry.second->executor.isHeld(); }));
}

std::size_t HolderService::runs() const
{
    std::size_t runs = 0;
    for (const auto &[id, entry] : m_assigned)
        runs += entry->executor.runs();
    return runs;
}

} // namespace anvilmill::daemon
