#include "anvilmill/history/historychecker.h"

namespace anvilmill {

std::string_view asString(Guarantee guarantee) noexcept
{
    switch (guarantee) {
    case Guarantee::SingleStart:
        return "single start";
    case Guarantee::NotRepeatable:
        return "not repeatable";
    case Guarantee::CompleteAnswer:
        return "whole answer";
    case Guarantee::MatchingAnswer:
        return "own answer";
    case Guarantee::NoStartIfNotRun:
        return "\"not run\" is true";
    case Guarantee::NoStartOnLeavingExecutor:
        return "no start on a leaving executor";
    case Guarantee::PlannedStopInterruptsNoTask:
        return "planned stop cuts nothing";
    case Guarantee::OneFinalAnswer:
        return "one final answer";
    case Guarantee::StartWasRequested:
        return "start was requested";
    }
    return "unknown";
}

} // namespace anvilmill
