#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/history/historyevent.h"
#include "anvilmill/result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmill {

/// \brief A guarantee of the system that a recorded history is checked against.
enum class Guarantee {
    /// No task of a submission starts twice, across all attempts, entry hosts and executors.
    SingleStart,
    /// No task of a submission that is marked as not repeatable starts twice.
    NotRepeatable,
    /// An answer contains the output of every task.
    CompleteAnswer,
    /// An answer matches the request that it was sent for.
    MatchingAnswer,
    /// If an attempt was refused with "not run", no task of this or an earlier attempt starts
    /// before or after the refusal.
    NoStartIfNotRun,
    /// An executor starts no task once HistoryCheckerOptions::leaveGrace has passed since the
    /// notice that it is leaving.
    NoStartOnLeavingExecutor,
    /// A planned stop interrupts no task in flight.
    PlannedStopInterruptsNoTask,
    /// Each attempt ends exactly once: with an answer, a refusal or a lost connection. The newest
    /// attempt of a submission doesn't end with a lost connection.
    OneFinalAnswer,
    /// Executors run only tasks that a caller has requested.
    StartWasRequested,
};

[[nodiscard]] std::string_view asString(Guarantee guarantee) noexcept;

/// \brief A guarantee that a history violates.
struct Violation
{
    Guarantee guarantee = Guarantee::SingleStart;
    std::string reason;
    /// Empty for a violation that belongs to no submission.
    std::string submission;
    std::string executor;
};

/// \brief Counts of what a checked history contained.
struct HistorySummary
{
    std::uint64_t events = 0;
    std::uint64_t submissions = 0;
    std::uint64_t attempts = 0;
    std::uint64_t starts = 0;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t connectionsLost = 0;
    /// Submissions evicted from memory to stay within HistoryCheckerOptions::submissionLimit.
    std::uint64_t evicted = 0;
};

struct HistoryCheckerOptions
{
    /// Time after the notice that an executor is leaving during which it may still start tasks.
    Duration leaveGrace = std::chrono::seconds(3);
    /// Number of submissions kept in memory. Above it, the oldest ended ones are evicted.
    std::size_t submissionLimit = 2'000'000;
    /// False for a history that contains only events of callers. The checker then doesn't require
    /// that executors finished the tasks of an answer.
    bool hasExecutorEvents = true;
};

/// \brief Checks the recorded events of a test run against the guarantees, one event at a time.
///
/// Ended submissions are evicted above HistoryCheckerOptions::submissionLimit. A start of an
/// evicted submission is reported as a violation of Guarantee::StartWasRequested.
///
/// Thread safety: one thread at a time.
class HistoryChecker
{
public:
    explicit HistoryChecker(HistoryCheckerOptions options = {});
    ~HistoryChecker();
    HistoryChecker(const HistoryChecker &) = delete;
    HistoryChecker &operator=(const HistoryChecker &) = delete;

    /// \brief Processes the next event. Returns the violation that it reveals, if any.
    ///
    /// Events must be added in the order of their times. An event that is malformed or older than
    /// its predecessor is ignored; the error describes the defect.
    [[nodiscard]] Result<std::optional<Violation>> add(const HistoryEvent &event);

    /// \brief Reports an attempt without a final answer, if any. To be called after the last event.
    [[nodiscard]] std::optional<Violation> finish() const;

    [[nodiscard]] const HistorySummary &summary() const noexcept;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace anvilmill
