#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/result.h"
#include "anvilmill/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief An executor of a scenario.
struct ScenarioExecutor
{
    std::string name;
    int slots = 8;
    double speed = 1;
};

enum class ScenarioActionKind {
    Submit,
    Resubmit,
    Cancel,
    /// The process exits; further connections are refused.
    Kill,
    /// Connections stay open, but requests receive no answer.
    Freeze,
    /// Every start is refused before the task runs.
    Refuse,
    /// Every task fails immediately.
    Fail,
    Slow,
    /// A planned stop is announced.
    Leave,
    Heal,
};

/// \brief An action or fault at a given time of a scenario.
struct ScenarioAction
{
    ScenarioActionKind kind = ScenarioActionKind::Submit;
    Duration at{};
    /// Name of the affected job or executor.
    std::string subject;
    int line = 0;
    int tasks = 1;
    Duration runTime = std::chrono::milliseconds(100);
    std::optional<Duration> deadline;
    bool isUrgent = false;
    bool isNotRepeatable = false;
    std::string service = "demo";
    double factor = 1;
};

/// \brief A condition that is checked at the end of a scenario.
struct ScenarioExpectation
{
    int line = 0;
    /// A job, or an executor, or `all` executors.
    std::string subject;
    /// `finished`, `failed`, `cancelled` or `refused`; empty if the number of starts is checked.
    std::string outcome;
    std::optional<Verdict> verdict;
    std::optional<Duration> by;
    std::optional<int> startsAtMost;
    std::optional<int> startsAtLeast;
    Duration startsAfter{};
};

/// \brief One scenario; the language is described in docs/SCENARIOS.md.
struct Scenario
{
    std::string file;
    bool isAdaptive = true;
    Duration length = std::chrono::seconds(30);
    std::vector<ScenarioExecutor> executors;
    std::vector<ScenarioAction> actions;
    std::vector<ScenarioExpectation> expectations;
};

/// \brief Parses \p text; an error holds \p file and the number of the malformed line.
[[nodiscard]] Result<Scenario> parseScenario(const std::string &file, const std::string &text);

} // namespace anvilmill::tools
