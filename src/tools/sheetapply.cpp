#include "sheetapply.h"

#include "anvilmill/configuration/revisionstore.h"
#include "inforcewait.h"
#include "platform/httpplatform.h"
#include "sheetfile.h"

#include <Poco/Environment.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace anvilmill::tools {

namespace {

using wire::configuration::ChangeRecord;

constexpr int DefaultWaitSeconds = 13;
constexpr int DefaultGraceSeconds = 30;

void sleepFor(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

/// Flags of every action that accesses the platform.
struct PlatformArguments
{
    explicit PlatformArguments(TCLAP::CmdLine &line)
        : address("p", "platform", "Address of the platform's service.", true, "", "HOST:PORT",
                  line)
    {
    }

    TCLAP::ValueArg<std::string> address;
};

/// Flags of every action that changes the sheet.
struct ChangeArguments
{
    explicit ChangeArguments(TCLAP::CmdLine &line)
        : platform(line)
        , author("a", "author", "Author recorded in the history.", false,
                 Poco::Environment::get("USER", "operator"), "NAME", line)
        , changeId("", "change-id", "Id of an earlier attempt, to retry the same change.", false,
                   "", "ID", line)
        , wait("w", "wait", "Wait until the change is in force everywhere.", line)
        , waitLimit("", "wait-limit", "Longest wait, in seconds.", false, DefaultWaitSeconds,
                    "SECONDS", line)
    {
    }

    PlatformArguments platform;
    TCLAP::ValueArg<std::string> author;
    TCLAP::ValueArg<std::string> changeId;
    TCLAP::SwitchArg wait;
    TCLAP::ValueArg<int> waitLimit;
};

SheetChange changeOf(const ChangeArguments &arguments, Sheet sheet)
{
    SheetChange change;
    change.sheet = std::move(sheet);
    change.author = arguments.author.getValue();
    change.at = SystemClock().wallNow();
    change.changeId = arguments.changeId.getValue();
    if (change.changeId.empty())
        change.changeId = Poco::UUIDGenerator().createRandom().toString();
    return change;
}

int printOutcome(const SheetChange &change, const ApplyOutcome &outcome)
{
    using State = ApplyOutcome::State;
    const std::string revision = std::to_string(outcome.id.revision);
    switch (outcome.state) {
    case State::Applied:
        if (outcome.lostRevisions > 0)
            std::cerr << "the platform has lost " << outcome.lostRevisions
                      << " revisions that are in force; this sheet replaces them\n";
        std::cout << "applied revision=" << revision << " digest=" << outcome.id.digest
                  << " change=" << change.changeId << "\n"
                  << asText(outcome.changes);
        return Success;
    case State::Unchanged:
        std::cout << "unchanged revision=" << revision << "\n";
        return Success;
    case State::Conflict:
        std::cerr << "conflict: " << outcome.reason << "; this sheet would change it by:\n"
                  << asText(outcome.changes);
        return Failure;
    case State::NotApplied:
        std::cerr << "not applied: " << outcome.reason << "\n";
        return Unavailable;
    case State::Unknown:
        std::cerr << "unknown whether the sheet was applied: " << outcome.reason
                  << "; retry with --change-id " << change.changeId << "\n";
        return Unavailable;
    }
    return Failure;
}

int printInForceResult(const std::vector<NotInForce> &missing, Revision revision)
{
    if (missing.empty()) {
        std::cout << "in force everywhere revision=" << revision << "\n";
        return Success;
    }
    std::cerr << "revision " << revision << " is not in force everywhere:\n";
    for (const NotInForce &each : missing)
        std::cerr << "  " << each.where << ": " << each.reason << "\n";
    return Failure;
}

int applyAndWait(const ChangeArguments &arguments, SheetChange change,
                 daemon::HttpPlatform &platform, RevisionStore &revisions)
{
    change.highestInForce = highestInForce(revisions, platform);
    const ApplyOutcome outcome = revisions.apply(change);
    const int code = printOutcome(change, outcome);
    if (code != Success || !arguments.wait.getValue())
        return code;
    const SystemClock clock;
    const auto limit = std::chrono::seconds(arguments.waitLimit.getValue());
    const Revision revision = outcome.id.revision;
    return printInForceResult(waitForForce(revisions, platform, revision, clock, sleepFor, limit),
                              revision);
}

void printHistory(const std::vector<ChangeRecord> &changes)
{
    for (auto record = changes.rbegin(); record != changes.rend(); ++record)
        std::cout << record->revision << " " << record->at << " " << record->author << " "
                  << record->summary << " digest=" << record->digest
                  << " change=" << record->changeId << "\n";
}

void addStop(Sheet &sheet, const StopRow &stop)
{
    const auto isSame = [&](const StopRow &row) { return row.name == stop.name; };
    sheet.stops.erase(std::remove_if(sheet.stops.begin(), sheet.stops.end(), isSame),
                      sheet.stops.end());
    const auto place = std::find_if(sheet.stops.begin(), sheet.stops.end(),
                                    [&](const StopRow &row) { return stop.name < row.name; });
    sheet.stops.insert(place, stop);
}

int drainHost(TCLAP::CmdLine &line, std::vector<std::string> arguments)
{
    const ChangeArguments change(line);
    TCLAP::UnlabeledValueArg<std::string> host("host", "The host to drain.", true, "",
                                               "DATACENTRE/HOST", line);
    TCLAP::SwitchArg worker("", "worker", "The host is a worker, not an entry host.", line);
    TCLAP::SwitchArg cancel("", "cancel", "Remove the planned stop.", line);
    TCLAP::ValueArg<int> grace("g", "grace", "Time allowed for work in flight, in seconds.", false,
                               DefaultGraceSeconds, "SECONDS", line);
    line.parse(arguments);
    daemon::HttpPlatform platform(change.platform.address.getValue());
    RevisionStore revisions(platform, sleepFor);
    const Result<Configuration> current = revisions.readConfiguration();
    if (!current) {
        std::cerr << "not applied: " << current.error().reason << "\n";
        return Unavailable;
    }
    StopRow stop;
    stop.name = host.getValue();
    stop.role = worker.getValue() ? StopKind::Worker : StopKind::EntryHost;
    stop.grace = std::chrono::seconds(grace.getValue());
    stop.at = std::chrono::time_point_cast<std::chrono::seconds>(SystemClock().wallNow())
              + stop.grace;
    Sheet sheet = current->sheet;
    addStop(sheet, stop);
    if (cancel.getValue())
        sheet.stops.erase(std::find(sheet.stops.begin(), sheet.stops.end(), stop));
    // The resulting sheet is validated like any other.
    const SheetParse parse = parseSheet(canonicalText(sheet), "sheet in force");
    for (const Error &error : parse.errors)
        std::cerr << error.asString() << "\n";
    if (!parse.sheet)
        return Failure;
    SheetChange next = changeOf(change, std::move(sheet));
    next.base = current->id.revision;
    return applyAndWait(change, std::move(next), platform, revisions);
}

} // namespace

int runApply(TCLAP::CmdLine &line, std::vector<std::string> &arguments)
{
    const ChangeArguments change(line);
    TCLAP::UnlabeledValueArg<std::string> file("sheet", "The sheet; - reads standard input.", true,
                                               "", "FILE", line);
    TCLAP::ValueArg<int> base("b", "base", "The revision that the sheet was made from.", false, 0,
                              "REVISION", line);
    line.parse(arguments);
    std::optional<Sheet> sheet = loadSheet(file.getValue());
    if (!sheet)
        return Failure;
    daemon::HttpPlatform platform(change.platform.address.getValue());
    RevisionStore revisions(platform, sleepFor);
    SheetChange next = changeOf(change, std::move(*sheet));
    if (base.isSet())
        next.base = static_cast<Revision>(base.getValue());
    return applyAndWait(change, std::move(next), platform, revisions);
}

int runHistory(TCLAP::CmdLine &line, std::vector<std::string> &arguments)
{
    const PlatformArguments platformArguments(line);
    line.parse(arguments);
    daemon::HttpPlatform platform(platformArguments.address.getValue());
    RevisionStore revisions(platform, sleepFor);
    const auto changes = revisions.history();
    if (!changes) {
        std::cerr << changes.error().reason << "\n";
        return Unavailable;
    }
    printHistory(*changes);
    return Success;
}

int runDrain(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("plans the stop of one host, at once", ' ', "0.1.0");
    line.setExceptionHandling(false);
    try {
        return drainHost(line, arguments);
    } catch (const TCLAP::ArgException &error) {
        std::cerr << arguments[0] << ": " << error.argId() << ": " << error.error() << "\n";
        return UsageError;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
}

} // namespace anvilmill::tools
