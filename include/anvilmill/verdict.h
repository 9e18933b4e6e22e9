#pragma once

#include <string_view>

namespace anvilmill {

/// \brief What is known about whether a submission's tasks were started.
///
/// NotRun applies to the whole submission: no host has started any of its tasks, and none will
/// start one for the answered attempt or an earlier one.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// \brief The spelling used on the wire and in logs: `notRun`, `mayHaveRun`, `ran`.
[[nodiscard]] std::string_view asString(Verdict verdict) noexcept;

/// \brief The verdict for two parts of one submission taken together.
///
/// NotRun if both are NotRun; otherwise Ran if either is Ran, else MayHaveRun.
[[nodiscard]] Verdict combined(Verdict first, Verdict second) noexcept;

} // namespace anvilmill
