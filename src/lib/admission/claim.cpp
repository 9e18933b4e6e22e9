#include "anvilmill/admission/claim.h"

namespace anvilmill {

std::string_view asString(ClaimOutcome outcome) noexcept
{
    switch (outcome) {
    case ClaimOutcome::Granted:
        return "granted";
    case ClaimOutcome::Held:
        return "held";
    case ClaimOutcome::Conflict:
        return "conflict";
    case ClaimOutcome::Closed:
        return "closed";
    case ClaimOutcome::Uncertain:
        return "uncertain";
    }
    return "uncertain";
}

Verdict ClaimDecision::verdict() const noexcept
{
    return outcome == ClaimOutcome::Closed ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace anvilmill
