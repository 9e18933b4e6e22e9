#pragma once

#include <string_view>

namespace anvilmill {

/// \brief What is known about whether a submission's tasks were started.
///
/// NotRun is a statement about the whole submission: no task of it was started by any host, and
/// no attempt up to the one answered will be.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// \brief The spelling used on the wire and in logs: `notRun`, `mayHaveRun`, `ran`.
[[nodiscard]] std::string_view asString(Verdict verdict) noexcept;

/// \brief The verdict for two parts of one submission taken together.
///
/// NotRun holds only if it holds for both; otherwise the result is Ran if either is Ran, else MayHaveRun.
[[nodiscard]] Verdict combined(Verdict first, Verdict second) noexcept;

} // namespace anvilmill
