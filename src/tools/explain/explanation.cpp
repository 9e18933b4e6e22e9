#include "explain/explanation.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <filesystem>
#include <set>
#include <sstream>

namespace anvilmill::tools {

namespace {

/// Covers a lease of 3 s plus the 1.5 s after which a missing host counts as lost, since both may
/// precede a job that they affect.
constexpr Duration ContextBefore = std::chrono::seconds(5);
constexpr Duration ContextAfter = std::chrono::seconds(1);
/// Limit of the context lines; the lines of the job itself are all printed.
constexpr std::size_t MaxContextLines = 60;
constexpr std::size_t MaxSeconds = 10;
/// Number of characters of a timestamp up to the seconds.
constexpr std::size_t SecondPrefixLength = 19;

std::optional<Duration> timeOf(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time,
                                        zone))
        return std::nullopt;
    return std::chrono::microseconds(time.timestamp().epochMicroseconds());
}

/// Host and data centre that wrote the lines of a source, taken from its `host.started` event.
///
/// Until that event, the host is the file's stem and the data centre is `unknown`.
class LogOrigin
{
public:
    explicit LogOrigin(const std::string &source)
        : m_host(std::filesystem::path(source).stem().string())
    {
    }

    void update(const LogLine &line)
    {
        if (line.value("event") != "host.started")
            return;
        m_host = line.value("host");
        m_dataCentre = line.value("dataCentre");
    }

    [[nodiscard]] const std::string &host() const noexcept { return m_host; }
    [[nodiscard]] const std::string &dataCentre() const noexcept { return m_dataCentre; }

private:
    std::string m_host;
    std::string m_dataCentre = "unknown";
};

using ParsedHandler = std::function<void(const LogLine &, std::string_view, const LogOrigin &)>;

/// Parses the lines that \p isWanted selects and each `host.started` event; calls \p handler for
/// the selected ones.
UnreadableLines readParsed(const LogSources &logs,
                           const std::function<bool(std::string_view)> &isWanted,
                           const ParsedHandler &handler)
{
    UnreadableLines unreadable;
    std::map<std::string, LogOrigin> origins;
    logs.read([&](std::string_view text, const std::string &source, std::size_t number) {
        const bool isStart = text.find("event=host.started") != std::string_view::npos;
        const bool hasEvent = text.find("event=") != std::string_view::npos;
        if (hasEvent && !isStart && !isWanted(text))
            return;
        const auto line = parseLogLine(text);
        if (!line) {
            if (unreadable.count++ == 0)
                unreadable.first = source + ":" + std::to_string(number);
            return;
        }
        LogOrigin &origin = origins.emplace(source, LogOrigin(source)).first->second;
        origin.update(*line);
        if (isWanted(text))
            handler(*line, text, origin);
    });
    return unreadable;
}

void sortByTime(std::vector<TimelineEntry> &entries)
{
    std::stable_sort(entries.begin(), entries.end(),
                     [](const TimelineEntry &left, const TimelineEntry &right) {
                         return left.time < right.time;
                     });
}

bool concernsJob(const LogLine &line, const std::string &job)
{
    const std::string &task = line.value("task");
    return line.value("job") == job || task == job || task.rfind(job + ".", 0) == 0;
}

/// Criteria for context lines: the time range, the executors and the hosts of a job.
struct JobContext
{
    std::set<std::string> executors;
    std::set<std::string> hosts;
    Duration from{};
    Duration until{};

    [[nodiscard]] bool contains(const LogLine &line, const std::string &origin) const
    {
        const auto time = timeOf(line.value("time"));
        if (!time || *time < from || *time > until)
            return false;
        if (executors.count(line.value("executor")) > 0)
            return true;
        const std::string &event = line.value("event");
        const bool isOfHost = event.rfind("host", 0) == 0 || event.rfind("store.", 0) == 0
                              || event.rfind("peer.", 0) == 0 || event == "configuration.inForce";
        return isOfHost && hosts.count(origin) > 0;
    }
};

JobContext contextOf(const std::vector<LogLine> &lines, const std::vector<TimelineEntry> &job)
{
    JobContext context;
    for (const LogLine &line : lines) {
        for (const char *const key : {"executor", "lastExecutor"}) {
            if (!line.value(key).empty())
                context.executors.insert(line.value(key));
        }
        if (!line.value("dispatcher").empty())
            context.hosts.insert(line.value("dispatcher"));
    }
    for (const TimelineEntry &entry : job)
        context.hosts.insert(entry.host);
    if (!job.empty()) {
        context.from = timeOf(job.front().time).value_or(Duration()) - ContextBefore;
        context.until = timeOf(job.back().time).value_or(Duration()) + ContextAfter;
    }
    return context;
}

void print(std::ostream &out, const std::vector<TimelineEntry> &entries)
{
    for (const TimelineEntry &entry : entries)
        out << entry.host << ": " << entry.text << "\n";
}

void print(std::ostream &out, const UnreadableLines &unreadable)
{
    if (unreadable.count > 0)
        out << "Lines that can't be read: " << unreadable.count << ", the first at "
            << unreadable.first << "\n";
}

void print(std::ostream &out, const std::string &title,
           const std::map<std::string, FailureSummary::Count> &counts, std::size_t maxEntries)
{
    std::vector<std::pair<std::string, FailureSummary::Count>> sorted(counts.begin(), counts.end());
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
        return left.second.jobs > right.second.jobs;
    });
    sorted.resize(std::min(sorted.size(), maxEntries));
    out << title << "\n";
    for (const auto &[name, count] : sorted)
        out << "  " << count.jobs << "  " << name << "  (" << count.example << ")\n";
}

} // namespace

JobExplanation explainJob(const LogSources &logs, const std::string &job)
{
    JobExplanation explanation;
    std::vector<LogLine> lines;
    explanation.unreadable = readParsed(
            logs, [&](std::string_view text) { return text.find(job) != std::string_view::npos; },
            [&](const LogLine &line, std::string_view text, const LogOrigin &origin) {
                if (!concernsJob(line, job))
                    return;
                lines.push_back(line);
                explanation.job.push_back({line.value("time"), origin.host(), std::string(text)});
            });
    sortByTime(explanation.job);
    const JobContext context = contextOf(lines, explanation.job);
    readParsed(
            logs,
            [&](std::string_view text) {
                return text.find("event=job.") == std::string_view::npos;
            },
            [&](const LogLine &line, std::string_view text, const LogOrigin &origin) {
                if (!concernsJob(line, job) && context.contains(line, origin.host()))
                    explanation.context.push_back(
                            {line.value("time"), origin.host(), std::string(text)});
            });
    sortByTime(explanation.context);
    return explanation;
}

FailureSummary summarizeFailures(const LogSources &logs)
{
    FailureSummary summary;
    const auto count = [](std::map<std::string, FailureSummary::Count> &counts,
                          const std::string &name, const std::string &job) {
        FailureSummary::Count &entry = counts[name];
        if (entry.jobs++ == 0)
            entry.example = job;
    };
    summary.unreadable = readParsed(
            logs,
            [](std::string_view text) {
                return text.find("event=job.ended") != std::string_view::npos;
            },
            [&](const LogLine &line, std::string_view, const LogOrigin &origin) {
                if (line.value("end") == "completed") {
                    ++summary.completed;
                    return;
                }
                const std::string &job = line.value("job");
                count(summary.byCause, line.value("end") + " " + line.value("cause"), job);
                count(summary.byRoute, line.value("route"), job);
                count(summary.byDataCentre, origin.dataCentre(), job);
                count(summary.bySecond, line.value("time").substr(0, SecondPrefixLength), job);
            });
    return summary;
}

std::string asText(const JobExplanation &explanation)
{
    std::ostringstream out;
    if (explanation.job.empty())
        out << "No line names this job: its client reached no host, its host stopped while "
               "it ran, or it ended while log lines were over budget (job.linesOmitted).\n";
    else
        out << "The job:\n";
    print(out, explanation.job);
    if (!explanation.context.empty()) {
        std::vector<TimelineEntry> shown = explanation.context;
        const std::size_t left = shown.size() - std::min(shown.size(), MaxContextLines);
        shown.erase(shown.begin(), shown.begin() + static_cast<std::ptrdiff_t>(left));
        out << "Its executors and hosts, from " << ContextBefore / std::chrono::seconds(1)
            << " s before it";
        if (left > 0)
            out << " (" << left << " earlier lines omitted)";
        out << ":\n";
        print(out, shown);
    }
    print(out, explanation.unreadable);
    return out.str();
}

std::string asText(const FailureSummary &summary)
{
    std::ostringstream out;
    std::size_t failed = 0;
    for (const auto &[cause, count] : summary.byCause)
        failed += count.jobs;
    out << failed << " jobs were not completed; " << summary.completed
        << " completed jobs have a log line.\n";
    if (failed > 0) {
        print(out, "By end and cause (with an example):", summary.byCause, summary.byCause.size());
        print(out, "By route:", summary.byRoute, summary.byRoute.size());
        print(out, "By data centre of the host:", summary.byDataCentre,
              summary.byDataCentre.size());
        print(out, "Worst seconds:", summary.bySecond, MaxSeconds);
    }
    print(out, summary.unreadable);
    return out.str();
}

} // namespace anvilmill::tools
