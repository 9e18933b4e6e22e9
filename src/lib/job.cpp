#include "anvilmill/job.h"

#include <tuple>

namespace anvilmill {

bool TaskRef::operator==(const TaskRef &other) const noexcept
{
    return job == other.job && index == other.index;
}

bool TaskRef::operator<(const TaskRef &other) const noexcept
{
    return std::tie(job, index) < std::tie(other.job, other.index);
}

} // namespace anvilmill
