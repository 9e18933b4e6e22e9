#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmill::testing {

/// \brief One attempt as a caller sent it.
struct Attempt
{
    std::string key;
    std::uint32_t number = 1;
    std::string body;
    std::uint32_t tasks = 0;
    MonotonicTime invokedAt;
};

/// \brief Records the events observed by executors and callers, and finds violated guarantees.
class SubmissionHistory
{
public:
    /// \brief Records that an executor started a task.
    void started(MonotonicTime at, const Attempt &attempt, std::uint32_t task);

    /// \brief Records that a caller received the answer of a finished job.
    void answered(const Attempt &attempt, const std::vector<std::string> &outputs);

    /// \brief Records that a caller received a failure with a verdict.
    ///
    /// "Not run" is correct if at some time between the invocation and now no task had started, and
    /// if no attempt up to this one ever starts. A start before the invocation violates the first
    /// condition. Later starts may belong to a retry whose request was processed before this answer
    /// arrived.
    void failed(const Attempt &attempt, Verdict verdict);

    /// \brief The output that an executor returns for a task.
    [[nodiscard]] static std::string outputOf(const Attempt &attempt, std::uint32_t task);

    /// \brief One line for each violated guarantee.
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t starts() const { return m_starts.size(); }
    [[nodiscard]] std::size_t answers() const { return m_answers.size(); }
    [[nodiscard]] std::size_t verdicts(Verdict verdict) const;

private:
    struct Start
    {
        MonotonicTime at;
        Attempt attempt;
        std::uint32_t task = 0;
    };
    struct Answer
    {
        Attempt attempt;
        std::vector<std::string> outputs;
    };
    struct Failure
    {
        Attempt attempt;
        Verdict verdict = Verdict::MayHaveRun;
    };

    void findDoubleStarts(std::vector<std::string> &found) const;
    void findWrongAnswers(std::vector<std::string> &found) const;
    void findFalseNotRun(std::vector<std::string> &found) const;

    std::vector<Start> m_starts;
    std::vector<Answer> m_answers;
    std::vector<Failure> m_failures;
};

} // namespace anvilmill::testing
