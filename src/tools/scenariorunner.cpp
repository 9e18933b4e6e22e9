#include "scenariorunner.h"

#include "anvilmill/admission/jobtable.h"
#include "anvilmill/dispatch/adaptivedispatcher.h"
#include "anvilmill/history/bodydigest.h"
#include "anvilmill/history/historychecker.h"
#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>

namespace anvilmill::tools {

namespace {

using Action = ScenarioAction;
using Kind = ScenarioActionKind;
using EventKind = HistoryEventKind;

// Round-trip time to an executor, and the time without a reply after which a start counts as lost.
constexpr Duration RoundTrip = std::chrono::milliseconds(1);
constexpr Duration LossTimeout = std::chrono::seconds(10);

enum class Condition { Healthy, Killed, Frozen, Refusing, Failing };

struct Executor
{
    ScenarioExecutor description;
    Condition condition = Condition::Healthy;
    double slowdownFactor = 1;
    bool isLeaving = false;
    /// Running tasks by start number.
    std::map<std::uint64_t, Start> running;
};

struct Job
{
    Action action;
    JobNumber number = 0;
    int attempts = 0;
    /// Numbers of the attempts without an answer yet.
    std::vector<int> waitingAttempts;
    std::string outcome;
    Verdict verdict = Verdict::MayHaveRun;
    Duration endedAt{};
};

struct StartRecord
{
    Duration at{};
    std::string executor;
    std::string job;
};

class Runner
{
public:
    Runner(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
    {
        if (scenario.isAdaptive)
            m_dispatcher = makeAdaptiveDispatcher(m_clock, m_random, DispatchSettings{});
        else
            m_dispatcher = makeFifoDispatcher();
        for (const ScenarioExecutor &executor : scenario.executors)
            m_executors[executor.name].description = executor;
        for (const Action &action : scenario.actions)
            schedule(action.at, [this, &action] { perform(action); });
    }

    std::optional<Error> run()
    {
        announceExecutors();
        while (!m_events.empty() && m_events.top().at <= m_scenario.length) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.advance(event.at - now());
            event.perform();
            dispatch();
            if (m_error)
                return m_error;
        }
        if (const auto violation = m_checker.finish())
            return Error{violation->submission + ": " + violation->reason, {m_scenario.file, 0, 0}};
        return findUnmetExpectation();
    }

private:
    struct Event
    {
        Duration at{};
        std::uint64_t sequence = 0;
        std::function<void()> perform;

        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    [[nodiscard]] Duration now() const { return m_clock.now().time_since_epoch(); }

    void schedule(Duration at, std::function<void()> perform)
    {
        m_events.push({at, ++m_sequence, std::move(perform)});
    }

    void announceExecutors()
    {
        std::vector<ExecutorInfo> infos;
        for (const auto &[name, executor] : m_executors)
            infos.push_back({name, executor.description.slots, {}, executor.isLeaving});
        m_dispatcher->setExecutors(infos);
    }

    void record(EventKind kind, const std::string &actor, const std::string &submission,
                const std::function<void(HistoryEvent &)> &fill = {})
    {
        HistoryEvent event;
        event.timeNs = now().count();
        event.actor = actor;
        event.event = kind;
        if (!submission.empty())
            event.submission = submission;
        if (fill)
            fill(event);
        const auto found = m_checker.add(event);
        if (!found)
            m_error = Error{found.error().reason, {m_scenario.file, 0, 0}};
        else if (*found && !m_error)
            m_error = Error{std::string(asString((*found)->guarantee)) + ": " + (*found)->reason,
                            {m_scenario.file, 0, 0}};
    }

    void perform(const Action &action)
    {
        switch (action.kind) {
        case Kind::Submit:
            m_jobs[action.subject].action = action;
            return request(m_jobs[action.subject]);
        case Kind::Resubmit:
            return request(m_jobs[action.subject]);
        case Kind::Cancel:
            return cancel(m_jobs[action.subject], "cancelled by the caller");
        default:
            return perform(action, m_executors[action.subject]);
        }
    }

    void perform(const Action &action, Executor &executor)
    {
        static const std::map<Kind, Condition> conditions = {
                {Kind::Kill, Condition::Killed},     {Kind::Freeze, Condition::Frozen},
                {Kind::Refuse, Condition::Refusing}, {Kind::Fail, Condition::Failing},
                {Kind::Heal, Condition::Healthy},
        };
        if (action.kind == Kind::Slow)
            executor.slowdownFactor = action.factor;
        if (action.kind == Kind::Leave || action.kind == Kind::Heal)
            setLeaving(executor, action.kind == Kind::Leave);
        const auto condition = conditions.find(action.kind);
        if (condition == conditions.end())
            return;
        executor.condition = condition->second;
        if (executor.condition == Condition::Killed)
            abortRunning(executor);
    }

    void setLeaving(Executor &executor, bool isLeaving)
    {
        executor.isLeaving = isLeaving;
        record(isLeaving ? EventKind::Leaving : EventKind::Returning, executor.description.name,
               "");
        announceExecutors();
    }

    void abortRunning(Executor &executor)
    {
        const auto running = std::move(executor.running);
        executor.running.clear();
        for (const auto &[number, start] : running) {
            record(EventKind::Cut, executor.description.name, m_names[start.task.job]);
            handleLost(start);
        }
    }

    /// Handles a request of the caller: the first attempt of a submission, or a resubmission.
    void request(Job &job)
    {
        const int attempt = ++job.attempts;
        BodyDigest digest;
        for (int i = 0; i < job.action.tasks; ++i)
            digest.add(payload(job, i));
        record(EventKind::Invoke, "caller", job.action.subject, [&](HistoryEvent &event) {
            event.attempt = attempt;
            event.taskCount = job.action.tasks;
            event.digest = digest.asString();
            event.notRepeatable = job.action.isNotRepeatable;
        });
        job.waitingAttempts.push_back(attempt);
        const bool mayRetry = job.outcome == "refused";
        if (attempt == 1 || mayRetry)
            return submit(job);
        if (!job.outcome.empty())
            answerWaiting(job);
    }

    static std::string payload(const Job &job, int task)
    {
        return job.action.subject + "-" + std::to_string(task);
    }

    void submit(Job &job)
    {
        job.outcome.clear();
        job.number = ++m_jobNumbers;
        m_names[job.number] = job.action.subject;
        JobSpec spec;
        spec.submission = job.action.subject;
        spec.service = job.action.service;
        spec.isUrgent = job.action.isUrgent;
        spec.isRepeatable = !job.action.isNotRepeatable;
        for (int i = 0; i < job.action.tasks; ++i)
            spec.tasks.push_back({payload(job, i), std::nullopt});
        if (job.action.deadline)
            spec.deadline = m_clock.now() + *job.action.deadline;
        m_table.add(job.number, spec.tasks.size());
        if (m_dispatcher->submit(job.number, spec))
            return end(job, "refused", Verdict::NotRun);
        if (job.action.deadline)
            schedule(now() + *job.action.deadline, [this, &job, number = job.number] {
                if (job.number == number)
                    cancel(job, "deadline");
            });
    }

    void cancel(Job &job, const std::string &reason)
    {
        record(EventKind::Cancel, "caller", job.action.subject);
        if (const auto outcome = m_table.cancel(job.number, reason))
            conclude(job, *outcome);
    }

    void conclude(Job &job, const JobOutcome &outcome)
    {
        static const std::map<JobOutcome::State, std::string> names = {
                {JobOutcome::State::Finished, "finished"},
                {JobOutcome::State::Failed, "failed"},
                {JobOutcome::State::Cancelled, "cancelled"},
        };
        m_dispatcher->cancel(job.number);
        m_outputs[job.action.subject] = outcome.outputs;
        end(job, names.at(outcome.state), outcome.verdict);
    }

    void end(Job &job, const std::string &outcome, Verdict verdict)
    {
        job.outcome = outcome;
        job.verdict = verdict;
        job.endedAt = now();
        answerWaiting(job);
    }

    void answerWaiting(Job &job)
    {
        for (const int attempt : job.waitingAttempts)
            answer(job, attempt);
        job.waitingAttempts.clear();
    }

    void answer(const Job &job, int attempt)
    {
        const bool isFinished = job.outcome == "finished";
        record(isFinished ? EventKind::Answer : EventKind::Refuse, "caller", job.action.subject,
               [&](HistoryEvent &event) {
                   event.attempt = attempt;
                   if (!isFinished) {
                       event.verdict =
                               nlohmann::json(asString(job.verdict)).get<wire::history::Verdict>();
                       return;
                   }
                   BodyDigest digest;
                   for (const std::string &output : m_outputs[job.action.subject])
                       digest.add(output);
                   event.digest = digest.asString();
                   event.taskCount =
                           static_cast<std::int64_t>(m_outputs[job.action.subject].size());
               });
    }

    void dispatch()
    {
        while (const std::optional<Start> start = m_dispatcher->nextStart())
            begin(*start);
        const auto wake = m_dispatcher->nextWakeTime();
        if (!wake || wake->time_since_epoch() <= now())
            return;
        if (m_wakes.insert(wake->time_since_epoch()).second)
            schedule(wake->time_since_epoch(), [] {});
    }

    void begin(const Start &start)
    {
        Executor &executor = m_executors.at(start.executor);
        const bool canStart = executor.condition != Condition::Killed
                              && executor.condition != Condition::Refusing;
        if (!m_table.beginStart(start.task))
            return m_dispatcher->recordOutcome(start, StartOutcome::NotStarted);
        if (!canStart)
            return schedule(now() + RoundTrip, [this, start] { refuse(start); });
        const std::string &job = m_names[start.task.job];
        m_starts.push_back({now(), start.executor, job});
        record(EventKind::Start, start.executor, job,
               [&](HistoryEvent &event) { event.task = start.task.index; });
        run(executor, start);
    }

    void run(Executor &executor, const Start &start)
    {
        const std::uint64_t number = ++m_startNumbers;
        executor.running[number] = start;
        const Action &action = m_jobs[m_names[start.task.job]].action;
        const std::chrono::duration<double, std::nano> nominal = action.runTime;
        const Duration time = std::chrono::duration_cast<Duration>(
                nominal * (executor.slowdownFactor / executor.description.speed));
        const bool isFailing = executor.condition == Condition::Failing;
        schedule(now() + RoundTrip + (isFailing ? Duration::zero() : time),
                 [this, &executor, number, isFailing] { finish(executor, number, isFailing); });
    }

    void finish(Executor &executor, std::uint64_t number, bool isFailing)
    {
        const auto found = executor.running.find(number);
        if (found == executor.running.end())
            return;
        const Start start = found->second;
        executor.running.erase(found);
        if (executor.condition == Condition::Frozen)
            return schedule(now() + LossTimeout, [this, start] { handleLost(start); });
        isFailing ? failTask(start) : answerTask(start);
    }

    void refuse(const Start &start)
    {
        m_table.revokeStart(start.task);
        m_dispatcher->recordOutcome(start, StartOutcome::NotStarted);
    }

    void handleLost(const Start &start)
    {
        m_dispatcher->recordOutcome(start, StartOutcome::Lost);
        concludeIfEnded(start, m_table.fail(start.task, Verdict::MayHaveRun, "executor lost"));
    }

    void failTask(const Start &start)
    {
        record(EventKind::ExecutorFail, start.executor, m_names[start.task.job]);
        m_dispatcher->recordOutcome(start, StartOutcome::Failed);
        concludeIfEnded(start, m_table.fail(start.task, Verdict::Ran, "task failed"));
    }

    void answerTask(const Start &start)
    {
        const Job &job = m_jobs[m_names[start.task.job]];
        record(EventKind::ExecutorAnswer, start.executor, job.action.subject,
               [&](HistoryEvent &event) { event.task = start.task.index; });
        m_dispatcher->recordOutcome(start, StartOutcome::Done);
        const int index = static_cast<int>(start.task.index);
        concludeIfEnded(start, m_table.answer(start.task, payload(job, index)));
    }

    void concludeIfEnded(const Start &start, const std::optional<JobOutcome> &outcome)
    {
        if (outcome)
            conclude(m_jobs[m_names[start.task.job]], *outcome);
    }

    [[nodiscard]] std::optional<Error> findUnmetExpectation()
    {
        for (const ScenarioExpectation &expectation : m_scenario.expectations) {
            const std::string unmet = expectation.outcome.empty() ? checkStarts(expectation)
                                                                  : checkOutcome(expectation);
            if (!unmet.empty())
                return Error{unmet, {m_scenario.file, expectation.line, 0}};
        }
        return std::nullopt;
    }

    std::string checkOutcome(const ScenarioExpectation &expectation)
    {
        const Job &job = m_jobs[expectation.subject];
        if (job.outcome != expectation.outcome)
            return expectation.subject + " is '" + job.outcome + "'";
        if (expectation.verdict && job.verdict != *expectation.verdict)
            return expectation.subject + " has verdict " + std::string(asString(job.verdict));
        if (expectation.by && job.endedAt > *expectation.by)
            return expectation.subject + " ended at "
                   + std::to_string(job.endedAt / std::chrono::milliseconds(1)) + " ms";
        return "";
    }

    [[nodiscard]] std::string checkStarts(const ScenarioExpectation &expectation) const
    {
        const auto starts =
                std::count_if(m_starts.begin(), m_starts.end(), [&](const StartRecord &start) {
                    const bool isOfSubject = expectation.subject == "all"
                                             || expectation.subject == start.executor
                                             || expectation.subject == start.job;
                    return isOfSubject && start.at >= expectation.startsAfter;
                });
        const bool isMet = starts <= expectation.startsAtMost.value_or(starts)
                           && starts >= expectation.startsAtLeast.value_or(0);
        return isMet ? "" : expectation.subject + " has " + std::to_string(starts) + " starts";
    }

    const Scenario &m_scenario;
    ManualClock m_clock;
    SeededRandom m_random;
    JobTable m_table;
    HistoryChecker m_checker;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::map<std::string, Executor> m_executors;
    std::map<std::string, Job> m_jobs;
    std::map<JobNumber, std::string> m_names;
    std::map<std::string, std::vector<std::string>> m_outputs;
    std::vector<StartRecord> m_starts;
    std::priority_queue<Event> m_events;
    std::set<Duration> m_wakes;
    std::optional<Error> m_error;
    JobNumber m_jobNumbers = 0;
    std::uint64_t m_startNumbers = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace

std::optional<Error> runScenario(const Scenario &scenario, std::uint64_t seed)
{
    return Runner(scenario, seed).run();
}

} // namespace anvilmill::tools
