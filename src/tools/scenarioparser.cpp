#include "scenarioparser.h"

#include <map>
#include <sstream>
#include <stdexcept>

namespace anvilmill::tools {

namespace {

/// Describes a malformed line; caught by parseScenario().
struct LineError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Reads the tokens of one line from left to right.
class TokenReader
{
public:
    explicit TokenReader(const std::string &line)
    {
        std::istringstream stream(line.substr(0, line.find('#')));
        for (std::string token; stream >> token;)
            m_tokens.push_back(token);
    }

    [[nodiscard]] bool isAtEnd() const { return m_next == m_tokens.size(); }

    std::string next(const std::string &expected)
    {
        if (isAtEnd())
            throw LineError("expected " + expected + " at the end of the line");
        return m_tokens[m_next++];
    }

    void expectToken(const std::string &token)
    {
        const std::string found = next("'" + token + "'");
        if (found != token)
            throw LineError("expected '" + token + "', found '" + found + "'");
    }

    bool consumeIf(const std::string &token)
    {
        if (isAtEnd() || m_tokens[m_next] != token)
            return false;
        ++m_next;
        return true;
    }

    double nextNumber(const std::string &expected)
    {
        const std::string token = next(expected);
        std::size_t parsedLength = 0;
        const double number = parseNumber(token, parsedLength);
        if (parsedLength != token.size() || number < 0)
            throw LineError("expected " + expected + ", found '" + token + "'");
        return number;
    }

    int nextCount(const std::string &expected)
    {
        const double number = nextNumber(expected);
        if (number > 100'000 || number != static_cast<int>(number))
            throw LineError("expected " + expected + " as a whole number up to 100000");
        return static_cast<int>(number);
    }

    Duration nextDuration()
    {
        const std::string token = next("a time such as 250ms or 3s");
        std::size_t parsedLength = 0;
        const double number = parseNumber(token, parsedLength);
        const std::string unit = token.substr(parsedLength);
        if (parsedLength == 0 || number < 0 || (unit != "ms" && unit != "s"))
            throw LineError("expected a time such as 250ms or 3s, found '" + token + "'");
        const std::chrono::duration<double, std::milli> time(unit == "s" ? number * 1000 : number);
        return std::chrono::duration_cast<Duration>(time);
    }

    void expectEnd() const
    {
        if (!isAtEnd())
            throw LineError("unexpected '" + m_tokens[m_next] + "'");
    }

private:
    static double parseNumber(const std::string &token, std::size_t &parsedLength)
    {
        try {
            return std::stod(token, &parsedLength);
        } catch (const std::exception &) {
            parsedLength = 0;
            return 0;
        }
    }

    std::vector<std::string> m_tokens;
    std::size_t m_next = 0;
};

class Parser
{
public:
    explicit Parser(std::string file) { m_scenario.file = std::move(file); }

    void parseLine(int line, TokenReader &tokens)
    {
        m_line = line;
        using Handler = void (Parser::*)(TokenReader &);
        static const std::map<std::string, Handler> handlers = {
                {"dispatcher", &Parser::dispatcher}, {"length", &Parser::length},
                {"executor", &Parser::executor},     {"at", &Parser::action},
                {"expect", &Parser::expectation},
        };
        const std::string token = tokens.next("a statement");
        const auto handler = handlers.find(token);
        if (handler == handlers.end())
            throw LineError("unknown statement '" + token + "'");
        (this->*handler->second)(tokens);
        tokens.expectEnd();
    }

    Scenario finish()
    {
        if (m_scenario.executors.empty())
            throw LineError("no executor");
        if (m_scenario.expectations.empty())
            throw LineError("no expectation");
        return std::move(m_scenario);
    }

private:
    void dispatcher(TokenReader &tokens)
    {
        const std::string name = tokens.next("adaptive or firstCome");
        if (name != "adaptive" && name != "firstCome")
            throw LineError("expected adaptive or firstCome, found '" + name + "'");
        m_scenario.isAdaptive = name == "adaptive";
    }

    void length(TokenReader &tokens) { m_scenario.length = tokens.nextDuration(); }

    void executor(TokenReader &tokens)
    {
        ScenarioExecutor executor;
        executor.name = tokens.next("a name");
        if (tokens.consumeIf("slots"))
            executor.slots = tokens.nextCount("slots");
        if (tokens.consumeIf("speed"))
            executor.speed = tokens.nextNumber("a speed");
        if (executor.slots < 1 || executor.speed <= 0)
            throw LineError("slots and speed must be above 0");
        m_isExecutor[executor.name] = true;
        m_scenario.executors.push_back(executor);
    }

    void action(TokenReader &tokens)
    {
        static const std::map<std::string, ScenarioActionKind> kinds = {
                {"submit", ScenarioActionKind::Submit}, {"resubmit", ScenarioActionKind::Resubmit},
                {"cancel", ScenarioActionKind::Cancel}, {"kill", ScenarioActionKind::Kill},
                {"freeze", ScenarioActionKind::Freeze}, {"refuse", ScenarioActionKind::Refuse},
                {"fail", ScenarioActionKind::Fail},     {"slow", ScenarioActionKind::Slow},
                {"leave", ScenarioActionKind::Leave},   {"heal", ScenarioActionKind::Heal},
        };
        ScenarioAction action;
        action.line = m_line;
        action.at = tokens.nextDuration();
        const std::string token = tokens.next("an action");
        const auto kind = kinds.find(token);
        if (kind == kinds.end())
            throw LineError("unknown action '" + token + "'");
        action.kind = kind->second;
        action.subject = tokens.next("a job or an executor");
        if (action.kind == ScenarioActionKind::Submit)
            parseSubmission(tokens, action);
        else if (action.kind == ScenarioActionKind::Slow)
            action.factor = tokens.nextNumber("a factor");
        checkSubject(action);
        m_scenario.actions.push_back(action);
    }

    void parseSubmission(TokenReader &tokens, ScenarioAction &action)
    {
        while (!tokens.isAtEnd()) {
            if (tokens.consumeIf("tasks"))
                action.tasks = tokens.nextCount("a number of tasks");
            else if (tokens.consumeIf("run"))
                action.runTime = tokens.nextDuration();
            else if (tokens.consumeIf("deadline"))
                action.deadline = tokens.nextDuration();
            else if (tokens.consumeIf("service"))
                action.service = tokens.next("a service");
            else if (tokens.consumeIf("urgent"))
                action.isUrgent = true;
            else if (tokens.consumeIf("notRepeatable"))
                action.isNotRepeatable = true;
            else
                throw LineError("unknown property '" + tokens.next("a property") + "'");
        }
        m_isExecutor[action.subject] = false;
    }

    void checkSubject(const ScenarioAction &action) const
    {
        const bool isOfJob = action.kind == ScenarioActionKind::Submit
                             || action.kind == ScenarioActionKind::Resubmit
                             || action.kind == ScenarioActionKind::Cancel;
        const auto found = m_isExecutor.find(action.subject);
        if (found == m_isExecutor.end() || found->second == isOfJob)
            throw LineError("'" + action.subject + "' is not a known "
                            + (isOfJob ? "job" : "executor"));
    }

    void expectation(TokenReader &tokens)
    {
        ScenarioExpectation expectation;
        expectation.line = m_line;
        if (tokens.consumeIf("starts"))
            starts(tokens, expectation);
        else
            outcome(tokens, expectation);
        m_scenario.expectations.push_back(expectation);
    }

    void starts(TokenReader &tokens, ScenarioExpectation &expectation) const
    {
        expectation.subject = tokens.next("an executor, a job or all");
        if (expectation.subject != "all" && m_isExecutor.count(expectation.subject) == 0)
            throw LineError("'" + expectation.subject + "' is not known");
        if (tokens.consumeIf("atMost"))
            expectation.startsAtMost = tokens.nextCount("a number");
        if (tokens.consumeIf("atLeast"))
            expectation.startsAtLeast = tokens.nextCount("a number");
        if (!expectation.startsAtMost && !expectation.startsAtLeast)
            throw LineError("expected atMost or atLeast");
        if (tokens.consumeIf("after"))
            expectation.startsAfter = tokens.nextDuration();
    }

    void outcome(TokenReader &tokens, ScenarioExpectation &expectation) const
    {
        expectation.subject = tokens.next("a job");
        const auto job = m_isExecutor.find(expectation.subject);
        if (job == m_isExecutor.end() || job->second)
            throw LineError("'" + expectation.subject + "' is not a known job");
        expectation.outcome = tokens.next("an outcome");
        for (const char *known : {"finished", "failed", "cancelled", "refused"})
            if (expectation.outcome == known)
                return outcomeDetails(tokens, expectation);
        throw LineError("unknown outcome '" + expectation.outcome + "'");
    }

    static void outcomeDetails(TokenReader &tokens, ScenarioExpectation &expectation)
    {
        for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran})
            if (tokens.consumeIf(std::string(asString(verdict))))
                expectation.verdict = verdict;
        if (tokens.consumeIf("by"))
            expectation.by = tokens.nextDuration();
    }

    Scenario m_scenario;
    /// Whether a declared name is an executor (true) or a job (false).
    std::map<std::string, bool> m_isExecutor;
    int m_line = 0;
};

} // namespace

Result<Scenario> parseScenario(const std::string &file, const std::string &text)
{
    Parser parser(file);
    std::istringstream stream(text);
    int number = 0;
    try {
        for (std::string line; std::getline(stream, line);) {
            ++number;
            TokenReader tokens(line);
            if (!tokens.isAtEnd())
                parser.parseLine(number, tokens);
        }
        return parser.finish();
    } catch (const LineError &error) {
        return Error{error.what(), {file, number, 0}};
    }
}

} // namespace anvilmill::tools
