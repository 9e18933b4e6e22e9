#include "anvilmill/executor/run.h"

namespace anvilmill {

const char *asString(RunOutcome outcome) noexcept
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    case RunOutcome::Broken:
        return "broken";
    case RunOutcome::Lost:
        return "lost";
    case RunOutcome::NotStarted:
        return "notStarted";
    case RunOutcome::Superseded:
        return "superseded";
    }
    return "lost";
}

} // namespace anvilmill
