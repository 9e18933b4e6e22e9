#include "anvilmill/history/historychecker.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <unordered_map>
#include <vector>

namespace anvilmill {

namespace {

constexpr std::int64_t TaskLimit = 1'000'000;

using Kind = HistoryEventKind;
using Found = std::optional<Violation>;

enum class TaskState : std::uint8_t { Idle, Started, Done };

struct Attempt
{
    std::int64_t number = 0;
    std::int64_t taskCount = 0;
    std::string digest;
    bool isEnded = false;
    bool wasConnectionLost = false;
};

struct Submission
{
    std::vector<Attempt> attempts;
    std::vector<TaskState> tasks;
    /// Lowest attempt number among the starts so far, where a start without a number counts as the
    /// newest attempt at its time; 0 before any start. The first start can't belong to a later one.
    std::int64_t firstStartAttempt = 0;
    /// Newest attempt that was refused with "not run"; 0 if there is none.
    std::int64_t notRunAttempt = 0;
    std::int64_t newestAttempt = 0;
    bool isRepeatable = true;

    [[nodiscard]] Attempt *find(std::int64_t number)
    {
        const auto found =
                std::find_if(attempts.begin(), attempts.end(),
                             [number](const Attempt &entry) { return entry.number == number; });
        return found == attempts.end() ? nullptr : &*found;
    }

    [[nodiscard]] bool isEnded() const
    {
        return std::all_of(attempts.begin(), attempts.end(),
                           [](const Attempt &entry) { return entry.isEnded; });
    }
};

std::string withNumber(const char *text, std::int64_t number)
{
    return std::string(text) + " " + std::to_string(number);
}

} // namespace

class HistoryChecker::State
{
public:
    explicit State(const HistoryCheckerOptions &options)
        : m_options(options)
    {
    }

    Result<Found> add(const HistoryEvent &event)
    {
        if (std::optional<Error> error = eventError(event))
            return *error;
        m_lastTime = event.timeNs;
        ++m_summary.events;
        return (this->*handlerOf(event.event))(event);
    }

    [[nodiscard]] Found finish() const
    {
        for (const std::string &name : m_submissionOrder) {
            const Submission &submission = m_submissions.at(name);
            for (const Attempt &attempt : submission.attempts) {
                const bool isLast = attempt.number == submission.newestAttempt;
                if (!attempt.isEnded || (isLast && attempt.wasConnectionLost))
                    return Violation{Guarantee::OneFinalAnswer,
                                     withNumber("no final answer to attempt", attempt.number), name,
                                     ""};
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] const HistorySummary &summary() const noexcept { return m_summary; }

private:
    using Handler = Found (State::*)(const HistoryEvent &);

    static Handler handlerOf(Kind kind)
    {
        switch (kind) {
        case Kind::Invoke:
            return &State::onInvoke;
        case Kind::Answer:
            return &State::onAnswer;
        case Kind::Refuse:
            return &State::onRefuse;
        case Kind::ConnectionLost:
            return &State::onConnectionLost;
        case Kind::Start:
            return &State::onStart;
        case Kind::ExecutorAnswer:
            return &State::onExecutorAnswer;
        case Kind::Cut:
            return &State::onCut;
        case Kind::Leaving:
            return &State::onLeaving;
        case Kind::Returning:
            return &State::onReturning;
        case Kind::Cancel:
        case Kind::ExecutorRefuse:
        case Kind::ExecutorFail:
            break;
        }
        return &State::onOther;
    }

    [[nodiscard]] std::optional<Error> eventError(const HistoryEvent &event) const
    {
        if (event.timeNs < m_lastTime)
            return Error{"timeNs is lower than that of the previous event", {}};
        if (event.actor.empty())
            return Error{"actor is empty", {}};
        const Kind kind = event.event;
        const bool isHostEvent = kind == Kind::Leaving || kind == Kind::Returning;
        if (!isHostEvent && event.submission.value_or("").empty())
            return Error{"submission is missing", {}};
        const bool isTaskEvent = kind == Kind::Start || kind == Kind::ExecutorAnswer;
        if (isTaskEvent && !event.task)
            return Error{"task is missing", {}};
        if (event.task && (*event.task < 0 || *event.task >= TaskLimit))
            return Error{"task is out of range", {}};
        return callerEventError(event);
    }

    static std::optional<Error> callerEventError(const HistoryEvent &event)
    {
        const Kind kind = event.event;
        const bool hasBody = kind == Kind::Invoke || kind == Kind::Answer;
        const bool isAttemptEvent = hasBody || kind == Kind::Refuse || kind == Kind::ConnectionLost;
        if (isAttemptEvent && event.attempt.value_or(0) < 1)
            return Error{"attempt is missing or below 1", {}};
        if (hasBody && (!event.taskCount || !event.digest))
            return Error{"taskCount or digest is missing", {}};
        if (event.taskCount && (*event.taskCount < 0 || *event.taskCount > TaskLimit))
            return Error{"taskCount is out of range", {}};
        if (kind == Kind::Refuse && !event.verdict)
            return Error{"verdict is missing", {}};
        return std::nullopt;
    }

    static Violation violation(Guarantee guarantee, const HistoryEvent &event, std::string reason)
    {
        return Violation{guarantee, std::move(reason), event.submission.value_or(""), ""};
    }

    Found onOther(const HistoryEvent & /*event*/) { return std::nullopt; }

    Found onInvoke(const HistoryEvent &event)
    {
        Submission &submission = submissionOf(*event.submission);
        if (submission.find(*event.attempt))
            return violation(Guarantee::OneFinalAnswer, event,
                             withNumber("a second request with attempt", *event.attempt));
        ++m_summary.attempts;
        submission.attempts.push_back(
                {*event.attempt, *event.taskCount, *event.digest, false, false});
        submission.newestAttempt = std::max(submission.newestAttempt, *event.attempt);
        if (event.notRepeatable.value_or(false))
            submission.isRepeatable = false;
        return std::nullopt;
    }

    Submission &submissionOf(const std::string &name)
    {
        const auto [found, isNew] = m_submissions.try_emplace(name);
        if (isNew) {
            ++m_summary.submissions;
            m_submissionOrder.push_back(name);
            evictOldestEnded();
        }
        return found->second;
    }

    void evictOldestEnded()
    {
        // Moves submissions that are still open, and the newest one, to the back of the queue;
        // visits each entry at most once.
        for (std::size_t seen = 0;
             m_submissions.size() > m_options.submissionLimit && seen < m_submissionOrder.size();
             ++seen) {
            const std::string oldest = std::move(m_submissionOrder.front());
            m_submissionOrder.pop_front();
            const auto found = m_submissions.find(oldest);
            const bool isNewest = m_submissionOrder.empty();
            if (isNewest || !found->second.isEnded()) {
                m_submissionOrder.push_back(oldest);
                continue;
            }
            m_submissions.erase(found);
            ++m_summary.evicted;
        }
    }

    /// Marks the attempt that \p event answers as ended. Returns a violation if there is no such
    /// attempt or it had already ended.
    Found endAttempt(const HistoryEvent &event, Attempt *attempt)
    {
        if (!attempt)
            return violation(Guarantee::MatchingAnswer, event,
                             withNumber("an answer without a request, attempt", *event.attempt));
        if (attempt->isEnded)
            return violation(Guarantee::OneFinalAnswer, event,
                             withNumber("a second final answer to attempt", *event.attempt));
        attempt->isEnded = true;
        return std::nullopt;
    }

    Submission *find(const HistoryEvent &event)
    {
        const auto found = m_submissions.find(*event.submission);
        return found == m_submissions.end() ? nullptr : &found->second;
    }

    Found onAnswer(const HistoryEvent &event)
    {
        ++m_summary.answers;
        Submission *submission = find(event);
        Attempt *attempt = submission ? submission->find(*event.attempt) : nullptr;
        if (Found found = endAttempt(event, attempt))
            return found;
        if (*event.taskCount != attempt->taskCount)
            return violation(Guarantee::CompleteAnswer, event,
                             std::to_string(*event.taskCount) + " outputs for "
                                     + std::to_string(attempt->taskCount) + " tasks");
        if (*event.digest != attempt->digest)
            return violation(Guarantee::MatchingAnswer, event,
                             "the outputs are not those of the request's payloads");
        return checkAllTasksDone(event, *submission, attempt->taskCount);
    }

    [[nodiscard]] Found checkAllTasksDone(const HistoryEvent &event, const Submission &submission,
                                          std::int64_t taskCount) const
    {
        if (!m_options.hasExecutorEvents)
            return std::nullopt;
        for (std::int64_t task = 0; task < taskCount; ++task) {
            const auto index = static_cast<std::size_t>(task);
            if (index >= submission.tasks.size() || submission.tasks[index] != TaskState::Done)
                return violation(Guarantee::CompleteAnswer, event,
                                 withNumber("answered before any executor finished task", task));
        }
        return std::nullopt;
    }

    Found onRefuse(const HistoryEvent &event)
    {
        ++m_summary.refusals;
        Submission *submission = find(event);
        Attempt *attempt = submission ? submission->find(*event.attempt) : nullptr;
        if (Found found = endAttempt(event, attempt))
            return found;
        if (*event.verdict != wire::history::Verdict::NotRun)
            return std::nullopt;
        submission->notRunAttempt = std::max(submission->notRunAttempt, *event.attempt);
        const std::int64_t first = submission->firstStartAttempt;
        if (first > 0 && first <= *event.attempt)
            return violation(
                    Guarantee::NoStartIfNotRun, event,
                    withNumber("a task had started before \"not run\" to attempt", *event.attempt));
        return std::nullopt;
    }

    Found onConnectionLost(const HistoryEvent &event)
    {
        ++m_summary.connectionsLost;
        Submission *submission = find(event);
        Attempt *attempt = submission ? submission->find(*event.attempt) : nullptr;
        if (Found found = endAttempt(event, attempt))
            return found;
        attempt->wasConnectionLost = true;
        return std::nullopt;
    }

    Found onStart(const HistoryEvent &event)
    {
        ++m_summary.starts;
        Submission *submission = find(event);
        if (!submission)
            return violation(Guarantee::StartWasRequested, event,
                             "a start of a submission that no caller has sent");
        // A start without an attempt number is attributed to the newest attempt, so that an
        // ambiguous event does not cause a violation.
        const std::int64_t attempt = event.attempt.value_or(submission->newestAttempt);
        const bool isFirst = submission->firstStartAttempt == 0;
        submission->firstStartAttempt =
                isFirst ? attempt : std::min(submission->firstStartAttempt, attempt);
        if (Found found = checkSingleStart(event, *submission))
            return found;
        if (attempt <= submission->notRunAttempt)
            return violation(
                    Guarantee::NoStartIfNotRun, event,
                    withNumber("a start after \"not run\" to attempt", submission->notRunAttempt));
        return checkLeavingExecutor(event);
    }

    static Found checkSingleStart(const HistoryEvent &event, Submission &submission)
    {
        const auto index = static_cast<std::size_t>(*event.task);
        if (index >= submission.tasks.size())
            submission.tasks.resize(index + 1, TaskState::Idle);
        if (submission.tasks[index] == TaskState::Idle) {
            submission.tasks[index] = TaskState::Started;
            return std::nullopt;
        }
        const Guarantee guarantee =
                submission.isRepeatable ? Guarantee::SingleStart : Guarantee::NotRepeatable;
        return violation(guarantee, event, withNumber("a second start of task", *event.task));
    }

    [[nodiscard]] Found checkLeavingExecutor(const HistoryEvent &event) const
    {
        const auto notice = m_leavingSince.find(event.actor);
        if (notice == m_leavingSince.end())
            return std::nullopt;
        const Duration late = Duration(event.timeNs - notice->second);
        if (late <= m_options.leaveGrace)
            return std::nullopt;
        const auto lateMs = std::chrono::duration_cast<std::chrono::milliseconds>(late).count();
        Violation found = violation(Guarantee::NoStartOnLeavingExecutor, event,
                                    "a start " + std::to_string(lateMs)
                                            + " ms after the notice that the executor leaves");
        found.executor = event.actor;
        return found;
    }

    Found onExecutorAnswer(const HistoryEvent &event)
    {
        Submission *submission = find(event);
        const auto index = static_cast<std::size_t>(*event.task);
        const bool wasStarted = submission && index < submission->tasks.size()
                                && submission->tasks[index] != TaskState::Idle;
        if (!wasStarted)
            return violation(
                    Guarantee::StartWasRequested, event,
                    withNumber("an executor's answer without a start of task", *event.task));
        submission->tasks[index] = TaskState::Done;
        return std::nullopt;
    }

    Found onCut(const HistoryEvent &event)
    {
        if (m_leavingSince.count(event.actor) == 0)
            return std::nullopt;
        Violation found = violation(Guarantee::PlannedStopInterruptsNoTask, event,
                                    "a planned stop cut a task in flight");
        found.executor = event.actor;
        return found;
    }

    Found onLeaving(const HistoryEvent &event)
    {
        m_leavingSince.try_emplace(event.actor, event.timeNs);
        return std::nullopt;
    }

    Found onReturning(const HistoryEvent &event)
    {
        m_leavingSince.erase(event.actor);
        return std::nullopt;
    }

    HistoryCheckerOptions m_options;
    HistorySummary m_summary;
    std::int64_t m_lastTime = std::numeric_limits<std::int64_t>::min();
    std::unordered_map<std::string, Submission> m_submissions;
    std::deque<std::string> m_submissionOrder;
    std::unordered_map<std::string, std::int64_t> m_leavingSince;
};

HistoryChecker::HistoryChecker(HistoryCheckerOptions options)
    : m_state(std::make_unique<State>(options))
{
}

HistoryChecker::~HistoryChecker() = default;

Result<std::optional<Violation>> HistoryChecker::add(const HistoryEvent &event)
{
    return m_state->add(event);
}

std::optional<Violation> HistoryChecker::finish() const
{
    return m_state->finish();
}

const HistorySummary &HistoryChecker::summary() const noexcept
{
    return m_state->summary();
}

} // namespace anvilmill
