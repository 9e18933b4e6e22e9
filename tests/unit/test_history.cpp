#include "anvilmill/history/bodydigest.h"
#include "anvilmill/history/historychecker.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <vector>

using namespace anvilmill;
using Kind = HistoryEventKind;
using History = std::vector<HistoryEvent>;

namespace {

constexpr std::int64_t Millisecond = 1'000'000;

HistoryEvent event(std::int64_t timeNs, std::string actor, Kind kind, std::string submission)
{
    HistoryEvent made;
    made.timeNs = timeNs;
    made.actor = std::move(actor);
    made.event = kind;
    made.submission = std::move(submission);
    return made;
}

/// Generates histories without violations: jobs of several tasks, with refused attempts, lost
/// connections and retries, and an executor that is leaving.
class HistoryGenerator
{
public:
    explicit HistoryGenerator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    History generate(int submissions)
    {
        for (int i = 0; i < submissions; ++i)
            addSubmission("s" + std::to_string(i));
        m_events.push_back(event(0, "e9", Kind::Leaving, ""));
        std::stable_sort(m_events.begin(), m_events.end(), [](const auto &left, const auto &right) {
            return left.timeNs < right.timeNs;
        });
        return m_events;
    }

private:
    void addSubmission(const std::string &name)
    {
        m_name = name;
        m_tasks = 1 + static_cast<std::int64_t>(m_random.nextBelow(5));
        m_notRepeatable = m_random.nextBelow(2) == 0;
        m_time = static_cast<std::int64_t>(m_random.nextBelow(10'000)) * Millisecond;
        std::int64_t attempt = 1;
        if (m_random.nextBelow(3) == 0)
            refused(attempt++);
        if (m_random.nextBelow(3) == 0)
            lost(attempt++);
        request(attempt);
        runTasks();
        HistoryEvent answer = next(Kind::Answer);
        answer.attempt = attempt;
        answer.taskCount = m_tasks;
        answer.digest = "d" + name;
        m_events.push_back(answer);
    }

    HistoryEvent next(Kind kind)
    {
        m_time += 1 + static_cast<std::int64_t>(m_random.nextBelow(50)) * Millisecond;
        return event(m_time, "c1", kind, m_name);
    }

    void request(std::int64_t attempt)
    {
        HistoryEvent made = next(Kind::Invoke);
        made.attempt = attempt;
        made.taskCount = m_tasks;
        made.digest = "d" + m_name;
        made.notRepeatable = m_notRepeatable;
        m_events.push_back(made);
    }

    void refused(std::int64_t attempt)
    {
        request(attempt);
        HistoryEvent made = next(Kind::Refuse);
        made.attempt = attempt;
        made.verdict = wire::history::Verdict::NotRun;
        m_events.push_back(made);
    }

    void lost(std::int64_t attempt)
    {
        request(attempt);
        HistoryEvent made = next(Kind::ConnectionLost);
        made.attempt = attempt;
        m_events.push_back(made);
    }

    void runTasks()
    {
        for (std::int64_t task = 0; task < m_tasks; ++task) {
            const std::string executor = "e" + std::to_string(m_random.nextBelow(4));
            for (const Kind kind : {Kind::Start, Kind::ExecutorAnswer}) {
                HistoryEvent made = next(kind);
                made.actor = executor;
                made.task = task;
                m_events.push_back(made);
            }
        }
    }

    SeededRandom m_random;
    History m_events;
    std::string m_name;
    std::int64_t m_tasks = 0;
    std::int64_t m_time = 0;
    bool m_notRepeatable = false;
};

std::optional<Violation> check(const History &history, HistoryCheckerOptions options = {})
{
    HistoryChecker checker(options);
    for (const HistoryEvent &entry : history) {
        const auto found = checker.add(entry);
        CPPUNIT_ASSERT_MESSAGE(found ? "" : found.error().asString(), found.hasValue());
        if (*found)
            return *found;
    }
    return checker.finish();
}

/// Returns the index of a random event of \p kind.
std::size_t pick(const History &history, Kind kind, SeededRandom &random)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < history.size(); ++i)
        if (history[i].event == kind)
            found.push_back(i);
    CPPUNIT_ASSERT(!found.empty());
    return found[random.nextBelow(found.size())];
}

void insertAfter(History &history, std::size_t index, HistoryEvent added)
{
    history.insert(history.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(added));
}

/// A change that turns a valid history into that of a faulty system.
struct Mutation
{
    std::vector<Guarantee> violated;
    std::function<void(History &, SeededRandom &)> apply;
};

void startTwice(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Start, random);
    HistoryEvent again = history[index];
    again.actor = "e8";
    insertAfter(history, index, again);
}

void loseOutput(History &history, SeededRandom &random)
{
    HistoryEvent &answer = history[pick(history, Kind::Answer, random)];
    answer.taskCount = *answer.taskCount - 1;
}

void skipTask(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::ExecutorAnswer, random);
    history.erase(history.begin() + static_cast<std::ptrdiff_t>(index));
}

void answerOtherRequest(History &history, SeededRandom &random)
{
    history[pick(history, Kind::Answer, random)].digest = "of another request";
}

void refuseAfterStart(History &history, SeededRandom &random)
{
    HistoryEvent &answer = history[pick(history, Kind::Answer, random)];
    answer.event = Kind::Refuse;
    answer.verdict = wire::history::Verdict::NotRun;
}

void startAfterRefusal(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Refuse, random);
    HistoryEvent start = history[index];
    start.event = Kind::Start;
    start.actor = "e1";
    start.task = 0;
    insertAfter(history, index, start);
}

void startOnLeaving(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Start, random);
    history[index].actor = "e9";
}

void cutTask(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Start, random);
    HistoryEvent cut = history[index];
    cut.event = Kind::Cut;
    cut.actor = "e9";
    insertAfter(history, index, cut);
}

void answerTwice(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Answer, random);
    insertAfter(history, index, history[index]);
}

void dropAnswer(History &history, SeededRandom &random)
{
    const std::size_t index = pick(history, Kind::Answer, random);
    history.erase(history.begin() + static_cast<std::ptrdiff_t>(index));
}

void loseLastConnection(History &history, SeededRandom &random)
{
    history[pick(history, Kind::Answer, random)].event = Kind::ConnectionLost;
}

void startWithoutRequest(History &history, SeededRandom &random)
{
    history[pick(history, Kind::Start, random)].submission = "unknown";
}

void delayAllStarts(History &history)
{
    // Moves all other events past the grace period of the executor that leaves at time zero.
    for (HistoryEvent &entry : history)
        if (entry.event != Kind::Leaving)
            entry.timeNs += 4000 * Millisecond;
}

const std::vector<Mutation> &mutations()
{
    static const std::vector<Mutation> all = {
            {{Guarantee::SingleStart, Guarantee::NotRepeatable}, startTwice},
            {{Guarantee::CompleteAnswer}, loseOutput},
            {{Guarantee::CompleteAnswer}, skipTask},
            {{Guarantee::MatchingAnswer}, answerOtherRequest},
            {{Guarantee::NoStartIfNotRun}, refuseAfterStart},
            {{Guarantee::NoStartIfNotRun}, startAfterRefusal},
            {{Guarantee::NoStartOnLeavingExecutor}, startOnLeaving},
            {{Guarantee::PlannedStopInterruptsNoTask}, cutTask},
            {{Guarantee::OneFinalAnswer}, answerTwice},
            {{Guarantee::OneFinalAnswer}, dropAnswer},
            {{Guarantee::OneFinalAnswer}, loseLastConnection},
            {{Guarantee::StartWasRequested}, startWithoutRequest},
    };
    return all;
}

} // namespace

class HistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryTest);
    CPPUNIT_TEST(validHistoriesPass);
    CPPUNIT_TEST(eachViolationIsDetected);
    CPPUNIT_TEST(secondStartOfNonRepeatableViolatesNotRepeatable);
    CPPUNIT_TEST(laterAttemptMayStartAfterNotRun);
    CPPUNIT_TEST(startWithinGraceIsAllowed);
    CPPUNIT_TEST(returningExecutorMayStart);
    CPPUNIT_TEST(malformedEventsAreErrors);
    CPPUNIT_TEST(endedSubmissionsAreEvictedAboveTheLimit);
    CPPUNIT_TEST(digestDependsOnBoundaries);
    CPPUNIT_TEST(eventRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void validHistoriesPass()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            const auto found = check(HistoryGenerator(seed).generate(20));
            CPPUNIT_ASSERT_MESSAGE(found ? found->reason : "", !found);
        }
    }

    void eachViolationIsDetected()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            for (std::size_t i = 0; i < mutations().size(); ++i) {
                const std::string name =
                        "mutation " + std::to_string(i) + ", seed " + std::to_string(seed);
                History history = HistoryGenerator(seed).generate(20);
                delayAllStarts(history);
                SeededRandom random(seed);
                mutations()[i].apply(history, random);
                const auto found = check(history);
                CPPUNIT_ASSERT_MESSAGE(name + " was not caught", found.has_value());
                const auto &violated = mutations()[i].violated;
                CPPUNIT_ASSERT_MESSAGE(
                        name + ": " + found->reason,
                        std::count(violated.begin(), violated.end(), found->guarantee) == 1);
            }
        }
    }

    void secondStartOfNonRepeatableViolatesNotRepeatable()
    {
        History history = singleTask(true);
        HistoryEvent again = history[1];
        history.insert(history.begin() + 2, again);
        CPPUNIT_ASSERT(check(history)->guarantee == Guarantee::NotRepeatable);
    }

    void laterAttemptMayStartAfterNotRun()
    {
        // The refusal of the first attempt reaches the caller after the second was sent.
        History history = singleTask(false);
        HistoryEvent second = history[0];
        second.attempt = 2;
        history.insert(history.begin() + 1, second);
        history.back().attempt = 2;
        HistoryEvent refusal = event(3, "c1", Kind::Refuse, "s");
        refusal.attempt = 1;
        refusal.verdict = wire::history::Verdict::NotRun;
        history.insert(history.begin() + 3, refusal);
        CPPUNIT_ASSERT(!check(history));
        history[2].attempt = 1;
        CPPUNIT_ASSERT(check(history)->guarantee == Guarantee::NoStartIfNotRun);
    }

    void startWithinGraceIsAllowed()
    {
        History history = singleTask(false);
        history.insert(history.begin(), event(0, "e1", Kind::Leaving, ""));
        CPPUNIT_ASSERT(!check(history));
        for (std::size_t i = 1; i < history.size(); ++i)
            history[i].timeNs += 3001 * Millisecond;
        CPPUNIT_ASSERT(check(history)->guarantee == Guarantee::NoStartOnLeavingExecutor);
    }

    void returningExecutorMayStart()
    {
        History history = singleTask(false);
        for (HistoryEvent &entry : history)
            entry.timeNs += 5000 * Millisecond;
        history.insert(history.begin(), event(1, "e1", Kind::Returning, ""));
        history.insert(history.begin(), event(0, "e1", Kind::Leaving, ""));
        CPPUNIT_ASSERT(!check(history));
    }

    void malformedEventsAreErrors()
    {
        HistoryChecker checker;
        CPPUNIT_ASSERT(!checker.add(event(1, "", Kind::Cancel, "s")));
        CPPUNIT_ASSERT(!checker.add(event(1, "c", Kind::Cancel, "")));
        CPPUNIT_ASSERT(!checker.add(event(1, "c", Kind::Invoke, "s")));
        CPPUNIT_ASSERT(!checker.add(event(1, "e", Kind::Start, "s")));
        HistoryEvent huge = event(1, "e", Kind::Start, "s");
        huge.task = std::int64_t{1} << 40U;
        CPPUNIT_ASSERT(!checker.add(huge));
        CPPUNIT_ASSERT(checker.add(event(5, "c", Kind::Cancel, "s")).hasValue());
        CPPUNIT_ASSERT(!checker.add(event(4, "c", Kind::Cancel, "s")));
    }

    void endedSubmissionsAreEvictedAboveTheLimit()
    {
        HistoryCheckerOptions options;
        options.submissionLimit = 10;
        HistoryChecker checker(options);
        std::int64_t time = 0;
        for (int i = 0; i < 1000; ++i) {
            for (HistoryEvent entry : singleTask(false)) {
                entry.timeNs = ++time;
                entry.submission = "s" + std::to_string(i);
                CPPUNIT_ASSERT(!*checker.add(entry));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{990}, checker.summary().evicted);
        CPPUNIT_ASSERT(!checker.finish());
    }

    void digestDependsOnBoundaries()
    {
        BodyDigest joined;
        joined.add("ab");
        BodyDigest split;
        split.add("a");
        split.add("b");
        CPPUNIT_ASSERT(joined.asString() != split.asString());
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, joined.asString().size());
    }

    void eventRoundTrips()
    {
        const HistoryEvent start = singleTask(true)[1];
        const auto read = nlohmann::json::parse(asLine(start)).get<HistoryEvent>();
        CPPUNIT_ASSERT_EQUAL(asLine(start), asLine(read));
        CPPUNIT_ASSERT(read.event == Kind::Start);
    }

private:
    /// Returns the request, start, executor's answer and caller's answer of a job of one task.
    static History singleTask(bool notRepeatable)
    {
        HistoryEvent request = event(1, "c1", Kind::Invoke, "s");
        request.attempt = 1;
        request.taskCount = 1;
        request.digest = "d";
        request.notRepeatable = notRepeatable;
        HistoryEvent start = event(2, "e1", Kind::Start, "s");
        start.task = 0;
        HistoryEvent done = event(3, "e1", Kind::ExecutorAnswer, "s");
        done.task = 0;
        HistoryEvent answer = event(4, "c1", Kind::Answer, "s");
        answer.attempt = 1;
        answer.taskCount = 1;
        answer.digest = "d";
        return {request, start, done, answer};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTest);
