#include "anvilmill/verdict.h"

namespace anvilmill {

std::string_view asString(Verdict verdict) noexcept
{
    switch (verdict) {
    case Verdict::NotRun:
        return "notRun";
    case Verdict::MayHaveRun:
        return "mayHaveRun";
    case Verdict::Ran:
        return "ran";
    }
    return "mayHaveRun";
}

Verdict combined(Verdict first, Verdict second) noexcept
{
    if (first == Verdict::Ran || second == Verdict::Ran)
        return Verdict::Ran;
    if (first == Verdict::MayHaveRun || second == Verdict::MayHaveRun)
        return Verdict::MayHaveRun;
    return Verdict::NotRun;
}

} // namespace anvilmill
