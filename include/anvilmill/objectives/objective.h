#pragma once

#include "anvilmill/clock.h"

#include <burn.h>
#include <objectives.h>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Request counts of one entry host; body of GET /v1/objectives.
using HostObjectives = wire::objectives::HostObjectives;

/// \brief Error budget and burn rates of all services over all entry hosts.
using BurnReport = wire::burn::BurnReport;

/// \brief Service-level objective of one service.
struct ServiceObjective
{
    std::string service;
    /// Fraction of requests that must be good; above 0 and below 1.
    double objective = 0.999;
    /// A request is good if its complete answer is sent within this time.
    Duration latency = std::chrono::seconds(1);
    /// Time over which the objective applies.
    Duration window = std::chrono::hours(24);
};

/// \brief Burn rate alert on two windows. The long window shows that the burn is significant, the
/// short one that it is still going on.
struct BurnRule
{
    wire::burn::Severity severity = wire::burn::Severity::Ticket;
    /// Each window is the objective's window divided by this number.
    int longPart = 1;
    int shortPart = 1;
    /// Burn rate that both windows must reach for the alert to fire.
    double threshold = 1;
};

/// \brief The alert rules of every objective: 2% of the budget consumed in 1/720 of the window, 5%
/// in 1/120, 10% in 1/10. With a window of 30 days these are the usual 1 h, 6 h and 3 days.
[[nodiscard]] const std::vector<BurnRule> &burnRules();

/// \brief Divisors of the objective's window that give all windows of the rules, in ascending
/// order. Starts with 1, the whole window.
[[nodiscard]] const std::vector<int> &burnWindowParts();

} // namespace anvilmill
