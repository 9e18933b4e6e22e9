#pragma once

#include "anvilmill/objectives/objective.h"

#include <string>

namespace anvilmill::tools {

/// \brief The report for a terminal of 100 columns, without colour.
[[nodiscard]] std::string asText(const BurnReport &report);

/// \brief The report as a self-contained HTML page.
[[nodiscard]] std::string asHtml(const BurnReport &report);

/// \brief A duration in the largest unit that it reaches: `2 h`, `12 min`, `10 s` or `500 ms`.
[[nodiscard]] std::string asDurationText(std::int64_t milliseconds);

/// \brief \p value with \p digits decimal places.
[[nodiscard]] std::string asFixed(double value, int digits);

/// \brief Formats milliseconds since the Unix epoch, as in `2026-01-31 08:15:00 UTC`.
[[nodiscard]] std::string asUtcTime(std::int64_t milliseconds);

/// \brief Highest severity of the firing alerts: `page` or `ticket`; `ok` if none fires.
[[nodiscard]] std::string stateOf(const wire::burn::ServiceBurn &service);

/// \brief Name of a verdict on the wire.
[[nodiscard]] std::string asString(wire::burn::Verdict verdict);

} // namespace anvilmill::tools
