#pragma once

#include "ownedjobs.h"

#include "anvilmill/dispatch/peerdispatcher.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace anvilmill {

[[nodiscard]] std::int64_t asMicroseconds(Duration duration);
[[nodiscard]] wire::dispatch::SlotEnd asSlotEnd(StartOutcome end);
[[nodiscard]] StartOutcome asStartOutcome(wire::dispatch::SlotEnd end);

/// \brief Returns the list; creates it if it is absent.
template <typename T>
std::vector<T> &ensureList(std::optional<std::vector<T>> &list)
{
    if (!list)
        list.emplace();
    return *list;
}

/// \brief Returns the indexes of all tasks of \p spec.
[[nodiscard]] std::vector<std::uint32_t> allTasks(const JobSpec &spec);

/// \brief Returns a job with only the tasks \p indexes of \p job, without its deadline.
[[nodiscard]] JobSpec subsetOf(const OwnedJob &job, const std::vector<std::uint32_t> &indexes);

/// \brief Returns an offer of the tasks of \p job that have not started.
[[nodiscard]] wire::dispatch::JobOffer offerOf(JobNumber number, const OwnedJob &job,
                                               MonotonicTime now);

/// \brief Converts an offer to a job and its task indexes. Their lengths differ if it is malformed.
[[nodiscard]] JobSpec specOf(const wire::dispatch::JobOffer &offer);
[[nodiscard]] std::vector<std::uint32_t> tasksOf(const wire::dispatch::JobOffer &offer);

} // namespace anvilmill
