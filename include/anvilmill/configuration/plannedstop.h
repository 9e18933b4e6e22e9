#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/configuration/sheet.h"

#include <string>
#include <vector>

namespace anvilmill {

/// \brief Time after a stop's `at` for which the stop remains due. Afterwards only the platform's
/// host list determines whether a host of that name is live.
constexpr Duration PlannedStopRetention = std::chrono::minutes(1);

/// \brief When the drain for \p stop starts: its grace period before `at`, so that it is complete
/// by `at`.
[[nodiscard]] WallTime drainStartOf(const StopRow &stop) noexcept;

/// \brief The names of \p role whose planned stop is due at \p now: from drainStartOf() until
/// PlannedStopRetention after `at`.
[[nodiscard]] std::vector<std::string> stopsDue(const Sheet &sheet, StopKind role, WallTime now);

/// \brief The stop of the entry host \p host that is due at \p now, or nullptr.
///
/// The stop does not apply to a host that started after the stop's `at`, which is the replacement
/// of the stopped host. The pointer is valid until the sheet changes.
[[nodiscard]] const StopRow *ownStopDue(const Sheet &sheet, const std::string &host, WallTime now,
                                        WallTime startedAt);

} // namespace anvilmill
