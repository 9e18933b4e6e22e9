#include "anvilmill/platform/keyvaluestore.h"

namespace anvilmill {

std::string_view asString(CallOutcome outcome) noexcept
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::Conflict:
        return "conflict";
    case CallOutcome::Unchanged:
        return "unchanged";
    case CallOutcome::Unreachable:
        return "unreachable";
    case CallOutcome::Unknown:
        return "unknown";
    case CallOutcome::HistoryGone:
        return "historyGone";
    case CallOutcome::NoLease:
        return "noLease";
    }
    return "unknown";
}

} // namespace anvilmill
