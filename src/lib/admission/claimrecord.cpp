#include "claimrecord.h"

#include <algorithm>

namespace anvilmill {

void ClaimRecord::merge(const ClaimRecord &other) noexcept
{
    const bool isSuperseded = other.decidedEpoch > decidedEpoch;
    if (other.decidedEpoch < decidedEpoch)
        return;
    decidedEpoch = other.decidedEpoch;
    closedUpTo = isSuperseded ? other.closedUpTo : std::max(closedUpTo, other.closedUpTo);
    const bool isSameHolder = holder == other.holder && heldAttempt == other.heldAttempt;
    if (isSuperseded ? !isSameHolder : other.heldAttempt > heldAttempt) {
        heldAttempt = other.heldAttempt;
        holder = other.holder;
        holderRequest = 0;
        isRunningHere = false;
    }
    // A later time would extend the period in which this host may start tasks.
    if (!isRunningHere)
        since = std::max(since, other.since);
}

} // namespace anvilmill
