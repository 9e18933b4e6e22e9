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

/// A lease of 3 s and the 1.5 s until a missing host counts as gone lie before a job that meets them.
constexpr Duration ShownBefore = std::chrono::seconds(5);
constexpr Duration ShownAfter = std::chrono::seconds(1);
/// Lines around a job; a job's own are all shown.
constexpr std::size_t MostAround = 60;
constexpr std::size_t MostSeconds = 10;
/// Characters of a time up to its second.
constexpr std::size_t SecondLength = 19;

std::optional<Duration> timeOf(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time,
                                        zone))
        return std::nullopt;
    return std::chrono::microseconds(time.timestamp().epochMicroseconds());
}

/// Which host and data centre wrote the lines of a source, by its `host.started`.
class Writer
{
public:
    explicit Writer(const std::string &source)
        : m_host(std::filesystem::path(source).stem().string())
    {
    }

    void note(const LogLine &line)
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

using ParsedHandler = std::function<void(const LogLine &, std::string_view, const Writer &)>;

/// Takes apart the lines that \p isWanted chooses, and each start of a host.
UnreadableLines readParsed(const LogSources &logs,
                           const std::function<bool(std::string_view)> &isWanted,
                           const ParsedHandler &handler)
{
    UnreadableLines unreadable;
    std::map<std::string, Writer> writers;
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
        Writer &writer = writers.emplace(source, Writer(source)).first->second;
        writer.note(*line);
        if (isWanted(text))
            handler(*line, text, writer);
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

bool isOf(const LogLine &line, const std::string &job)
{
    const std::string &task = line.value("task");
    return line.value("job") == job || task == job || task.rfind(job + ".", 0) == 0;
}

/// What is looked for around a job: its time, its executors, the hosts that wrote of it.
struct Surroundings
{
    std::set<std::string> executors;
    std::set<std::string> hosts;
    Duration from{};
    Duration until{};

    [[nodiscard]] bool contain(const LogLine &line, const std::string &writer) const
    {
        const auto time = timeOf(line.value("time"));
        if (!time || *time < from || *time > until)
            return false;
        if (executors.count(line.value("executor")) > 0)
            return true;
        const std::string &event = line.value("event");
        const bool isOfHost = event.rfind("host", 0) == 0 || event.rfind("store.", 0) == 0
                              || event.rfind("peer.", 0) == 0 || event == "configuration.inForce";
        return isOfHost && hosts.count(writer) > 0;
    }
};

Surroundings surroundingsOf(const std::vector<LogLine> &lines,
                            const std::vector<TimelineEntry> &job)
{
    Surroundings around;
    for (const LogLine &line : lines) {
        for (const char *const key : {"executor", "lastExecutor"}) {
            if (!line.value(key).empty())
                around.executors.insert(line.value(key));
        }
        if (!line.value("dispatcher").empty())
            around.hosts.insert(line.value("dispatcher"));
    }
    for (const TimelineEntry &entry : job)
        around.hosts.insert(entry.host);
    if (!job.empty()) {
        around.from = timeOf(job.front().time).value_or(Duration()) - ShownBefore;
        around.until = timeOf(job.back().time).value_or(Duration()) + ShownAfter;
    }
    return around;
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
           const std::map<std::string, FailureSummary::Count> &counts, std::size_t most)
{
    std::vector<std::pair<std::string, FailureSummary::Count>> sorted(counts.begin(), counts.end());
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
        return left.second.jobs > right.second.jobs;
    });
    sorted.resize(std::min(sorted.size(), most));
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
            [&](const LogLine &line, std::string_view text, const Writer &writer) {
                if (!isOf(line, job))
                    return;
                lines.push_back(line);
                explanation.job.push_back({line.value("time"), writer.host(), std::string(text)});
            });
    sortByTime(explanation.job);
    const Surroundings around = surroundingsOf(lines, explanation.job);
    readParsed(
            logs,
            [&](std::string_view text) {
                return text.find("event=job.") == std::string_view::npos;
            },
            [&](const LogLine &line, std::string_view text, const Writer &writer) {
                if (!isOf(line, job) && around.contain(line, writer.host()))
                    explanation.around.push_back(
                            {line.value("time"), writer.host(), std::string(text)});
            });
    sortByTime(explanation.around);
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
            [&](const LogLine &line, std::string_view, const Writer &writer) {
                if (line.value("end") == "completed") {
                    ++summary.completed;
                    return;
                }
                const std::string &job = line.value("job");
                count(summary.byCause, line.value("end") + " " + line.value("cause"), job);
                count(summary.byRoute, line.value("route"), job);
                count(summary.byDataCentre, writer.dataCentre(), job);
                count(summary.bySecond, line.value("time").substr(0, SecondLength), job);
            });
    return summary;
}

std::string asText(const JobExplanation &explanation)
{
    std::ostringstream out;
    if (explanation.job.empty())
        out << "No line names this job: its client reached no host, its host died with it, or it "
               "was completed while lines were over budget (job.linesOmitted).\n";
    else
        out << "The job:\n";
    print(out, explanation.job);
    if (!explanation.around.empty()) {
        std::vector<TimelineEntry> shown = explanation.around;
        const std::size_t left = shown.size() - std::min(shown.size(), MostAround);
        shown.erase(shown.begin(), shown.begin() + static_cast<std::ptrdiff_t>(left));
        out << "Its executors and hosts, from " << ShownBefore / std::chrono::seconds(1)
            << " s before it";
        if (left > 0)
            out << " (" << left << " earlier lines left out)";
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
        << " completed ones have a line.\n";
    if (failed > 0) {
        print(out, "By end and cause (with one of them):", summary.byCause, summary.byCause.size());
        print(out, "By route:", summary.byRoute, summary.byRoute.size());
        print(out, "By data centre of the host:", summary.byDataCentre,
              summary.byDataCentre.size());
        print(out, "Worst seconds:", summary.bySecond, MostSeconds);
    }
    print(out, summary.unreadable);
    return out.str();
}

} // namespace anvilmill::tools
