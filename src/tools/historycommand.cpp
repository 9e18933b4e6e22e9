#include "historycommand.h"

#include "anvilmill/history/historychecker.h"
#include "commandline.h"
#include "historyfile.h"
#include "options.h"

#include <deque>
#include <iostream>

namespace anvilmill::tools {

namespace {

/// Number of events printed before and after the one that violates a guarantee.
constexpr std::size_t ContextBefore = 20;
constexpr std::size_t ContextAfter = 5;

int fail(const Error &error)
{
    std::cerr << "anvilmill check-history: " << error.asString() << "\n";
    return UsageError;
}

bool belongsTo(const Violation &violation, const HistoryEvent &event)
{
    if (event.submission == violation.submission)
        return true;
    const bool isOfHost =
            event.event == HistoryEventKind::Leaving || event.event == HistoryEventKind::Returning;
    return isOfHost && event.actor == violation.executor;
}

void print(const LocatedEvent &event, bool isViolation)
{
    std::cout << (isViolation ? "> " : "  ") << event.position.asString() << ": " << event.line
              << "\n";
}

/// Reads the files a second time and prints the events that concern the submission and the
/// executor of the violation.
void printContext(const std::vector<std::string> &paths, const Violation &violation,
                  const SourcePosition &violationPosition)
{
    Result<HistoryReader> reader = HistoryReader::open(paths);
    std::deque<LocatedEvent> before;
    std::size_t after = 0;
    bool wasPrinted = false;
    while (reader && after < ContextAfter) {
        const Result<std::optional<LocatedEvent>> next = reader->next();
        if (!next || !*next)
            break;
        const LocatedEvent &event = **next;
        const bool isViolation = event.position.file == violationPosition.file
                                 && event.position.line == violationPosition.line;
        if (!isViolation && !belongsTo(violation, event.event))
            continue;
        if (wasPrinted) {
            print(event, false);
            ++after;
            continue;
        }
        before.push_back(event);
        if (before.size() > ContextBefore)
            before.pop_front();
        wasPrinted = isViolation;
        if (!wasPrinted)
            continue;
        for (const LocatedEvent &earlier : before)
            print(earlier, earlier.position.line == violationPosition.line
                                   && earlier.position.file == violationPosition.file);
    }
    if (!wasPrinted)
        for (const LocatedEvent &earlier : before)
            print(earlier, false);
}

int report(const std::vector<std::string> &paths, const Violation &violation,
           const SourcePosition &position)
{
    std::cout << "broken: " << asString(violation.guarantee) << "\n";
    std::cout << "where: " << (position.isKnown() ? position.asString() : "end of history") << "\n";
    std::cout << "submission: " << violation.submission << "\n";
    std::cout << "reason: " << violation.reason << "\n";
    std::cout << "events around it:\n";
    printContext(paths, violation, position);
    return Failure;
}

void print(const HistorySummary &summary)
{
    std::cout << "all promises hold\n"
              << "events " << summary.events << ", submissions " << summary.submissions
              << ", attempts " << summary.attempts << ", starts " << summary.starts << ", answers "
              << summary.answers << ", refusals " << summary.refusals << ", connections lost "
              << summary.connectionsLost << "\n";
    if (summary.evicted > 0)
        std::cout << "evicted to bound memory: " << summary.evicted
                  << " submissions; a resubmission of one of these counted as a new submission\n";
}

int check(const std::vector<std::string> &paths, const HistoryCheckerOptions &options)
{
    Result<HistoryReader> reader = HistoryReader::open(paths);
    if (!reader)
        return fail(reader.error());
    HistoryChecker checker(options);
    while (true) {
        const Result<std::optional<LocatedEvent>> next = reader->next();
        if (!next)
            return fail(next.error());
        if (!*next)
            break;
        const Result<std::optional<Violation>> found = checker.add((*next)->event);
        if (!found)
            return fail(Error{found.error().reason, (*next)->position});
        if (*found)
            return report(paths, **found, (*next)->position);
    }
    if (const std::optional<Violation> found = checker.finish())
        return report(paths, *found, {});
    print(checker.summary());
    return Success;
}

} // namespace

int runCheckHistory(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line(
            "Checks recorded events, merged by time, against the service's guarantees.");
    TCLAP::ValueArg<int> grace("", "leave-grace-ms",
                               "time during which a leaving executor may still receive starts",
                               false, 3000, "milliseconds", line);
    TCLAP::ValueArg<int> limit("", "submissions", "submissions kept in memory", false, 2'000'000,
                               "count", line);
    TCLAP::SwitchArg callersOnly("", "callers-only", "the history has no events of executors",
                                 line);
    TCLAP::UnlabeledMultiArg<std::string> files("file", "history files", true, "file", line);
    if (const std::optional<int> code = parseOptions(line, arguments))
        return *code;
    if (grace.getValue() < 0 || limit.getValue() < 1)
        return fail(Error{"--leave-grace-ms must be 0 or more, --submissions 1 or more", {}});
    HistoryCheckerOptions options;
    options.leaveGrace = std::chrono::milliseconds(grace.getValue());
    options.submissionLimit = static_cast<std::size_t>(limit.getValue());
    options.hasExecutorEvents = !callersOnly.getValue();
    return check(files.getValue(), options);
}

} // namespace anvilmill::tools
