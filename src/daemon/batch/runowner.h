#pragma once

#include "anvilmill/job.h"

#include <string>
#include <tuple>

namespace anvilmill::daemon {

/// \brief The host that requested a run, and its number of the job.
///
/// A client may submit a job to the same host again. Both submissions have runs with the same ids, which
/// only the number tells apart.
struct RunOwner
{
    /// Empty if unknown.
    std::string host;
    /// 0 if unknown.
    JobNumber job = 0;

    [[nodiscard]] friend bool operator==(const RunOwner &left, const RunOwner &right)
    {
        return std::tie(left.host, left.job) == std::tie(right.host, right.job);
    }
};

} // namespace anvilmill::daemon
