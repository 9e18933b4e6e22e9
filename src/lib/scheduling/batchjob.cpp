#include "anvilmill/scheduling/batchjob.h"

namespace anvilmill {

const char *asString(BatchEnd end) noexcept
{
    switch (end) {
    case BatchEnd::Completed:
        return "completed";
    case BatchEnd::Failed:
        return "failed";
    case BatchEnd::Refused:
        return "refused";
    case BatchEnd::Broken:
        return "broken";
    case BatchEnd::Cancelled:
        return "cancelled";
    }
    return "broken";
}

} // namespace anvilmill
