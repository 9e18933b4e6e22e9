#include "loadcommand.h"

#include "commandline.h"
#include "historyfile.h"
#include "loadrunner.h"
#include "options.h"

#include <fstream>
#include <iostream>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace anvilmill::tools {

namespace {

constexpr double MaxRunSeconds = 600;
constexpr double MaxJobs = 1'000'000;
constexpr int MaxConnections = 1024;
constexpr int MaxTasks = 10'000;

/// The options of `load`.
class LoadOptions
{
public:
    [[nodiscard]] std::optional<int> parse(const std::vector<std::string> &arguments)
    {
        return parseOptions(m_line, arguments);
    }

    /// \brief The error of the first option that is out of range, if any.
    [[nodiscard]] std::optional<Error> check() const
    {
        if (m_seconds.getValue() <= 0 || m_seconds.getValue() > MaxRunSeconds)
            return Error{"--seconds must be above 0 and at most 600", {}};
        const double jobs = m_seconds.getValue() * m_rate.getValue() * m_burstFactor.getValue();
        if (m_rate.getValue() <= 0 || m_burstFactor.getValue() < 1 || jobs > MaxJobs)
            return Error{"--rate must be above 0, --crest at least 1, and the run of at most "
                         "1000000 jobs",
                         {}};
        for (const auto *share : {&m_resubmit, &m_cancel, &m_notRepeatable, &m_stragglers})
            if (share->getValue() < 0 || share->getValue() > 1)
                return Error{"--" + share->getName() + " must lie in 0..1", {}};
        if (m_connections.getValue() < 1 || m_connections.getValue() > MaxConnections)
            return Error{"--connections must lie in 1..1024", {}};
        if (m_tasks.getValue() < 1 || m_tasks.getValue() > MaxTasks || m_slots.getValue() < 1)
            return Error{"--tasks must lie in 1..10000, --slots be at least 1", {}};
        if (m_shortest.getValue() < 1 || m_longest.getValue() < m_shortest.getValue())
            return Error{"--shortest-ms must be at least 1 and not above --longest-ms", {}};
        return checkTargets();
    }

    [[nodiscard]] LoadSettings settings() const
    {
        LoadSettings settings;
        settings.seed = m_seed.getValue();
        settings.length = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(m_seconds.getValue()));
        settings.jobsPerSecond = m_rate.getValue();
        settings.burstFactor = m_burstFactor.getValue();
        settings.tasksLimit = m_tasks.getValue();
        settings.shortestTask = std::chrono::milliseconds(m_shortest.getValue());
        settings.longestTask = std::chrono::milliseconds(m_longest.getValue());
        settings.stragglerShare = m_stragglers.getValue();
        settings.resubmitShare = m_resubmit.getValue();
        settings.cancelShare = m_cancel.getValue();
        settings.notRepeatableShare = m_notRepeatable.getValue();
        settings.targets = m_targets.getValue().size();
        return settings;
    }

    [[nodiscard]] LoadTargets targets() const
    {
        LoadTargets targets;
        targets.addresses = m_targets.getValue();
        targets.service = m_service.getValue();
        targets.team = m_team.getValue();
        targets.connections = static_cast<std::size_t>(m_connections.getValue());
        targets.slots = m_slots.getValue();
        return targets;
    }

    [[nodiscard]] std::string resultPath() const { return m_result.getValue(); }
    [[nodiscard]] std::string historyPath() const { return m_history.getValue(); }

private:
    [[nodiscard]] std::optional<Error> checkTargets() const
    {
        for (const std::string &target : m_targets.getValue()) {
            try {
                const Poco::Net::SocketAddress address(target);
                if (!address.host().isLoopback() && !m_remote.getValue())
                    return Error{target + " is not a loopback address; --allow-remote permits it",
                                 {}};
            } catch (const Poco::Exception &error) {
                return Error{target + ": " + error.displayText(), {}};
            }
        }
        return std::nullopt;
    }

    using Number = TCLAP::ValueArg<double>;
    using Integer = TCLAP::ValueArg<int>;
    using Text = TCLAP::ValueArg<std::string>;

    TCLAP::CmdLine m_line{"Sends a seeded open-loop schedule of jobs. 'load compare A B' compares "
                          "two result files."};
    TCLAP::ValueArg<std::uint64_t> m_seed{"", "seed", "of the schedule", false, 1, "n", m_line};
    Number m_seconds{"", "seconds", "length of the schedule", false, 10, "s", m_line};
    Number m_rate{"", "rate", "jobs per second outside of bursts", false, 20, "jobs/s", m_line};
    Number m_burstFactor{"",    "crest", "factor of the rate in the last of every five seconds",
                         false, 1,       "factor",
                         m_line};
    Integer m_tasks{"", "tasks", "maximum number of tasks of a job", false, 20, "n", m_line};
    Integer m_shortest{"", "shortest-ms", "shortest run time of a task", false, 50, "ms", m_line};
    Integer m_longest{"", "longest-ms", "longest run time of a task", false, 200, "ms", m_line};
    Number m_stragglers{"",    "stragglers", "share of tasks that run 20 times as long",
                        false, 0.01,         "share",
                        m_line};
    Number m_resubmit{"",      "resubmit", "share of jobs resubmitted to the next target", false, 0,
                      "share", m_line};
    Number m_cancel{
            "",    "cancel", "share of jobs cancelled together, in every second period of 5 s",
            false, 0,        "share",
            m_line};
    Number m_notRepeatable{
            "", "not-repeatable", "share of jobs that run at most once", false, 0, "share", m_line};
    Integer m_slots{"",  "slots", "slots of the system, for the ideal response time", false, 8,
                    "n", m_line};
    Integer m_connections{"",  "connections", "maximum number of requests in flight", false, 64,
                          "n", m_line};
    Text m_service{"", "service", "of all jobs", false, "demo", "name", m_line};
    Text m_team{"", "team", "of all jobs", false, "", "name", m_line};
    Text m_result{"", "result", "write the result as JSON", false, "", "file", m_line};
    Text m_history{"", "history", "record events for check-history", false, "", "file", m_line};
    TCLAP::SwitchArg m_remote{"", "allow-remote", "permit targets other than loopback", m_line};
    TCLAP::UnlabeledMultiArg<std::string> m_targets{"target", "addresses of entry hosts", true,
                                                    "host:port", m_line};
};

int fail(const std::string &reason, int code)
{
    std::cerr << "anvilmill load: " << reason << "\n";
    return code;
}

std::int64_t countOf(const LoadResult &result, const std::string &outcome)
{
    for (const auto &entry : result.outcomes)
        if (entry.outcome == outcome)
            return entry.count;
    return 0;
}

Result<LoadResult> readResult(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error{"can't be read", {path, 0, 0}};
    try {
        return nlohmann::json::parse(file).get<LoadResult>();
    } catch (const std::exception &error) {
        return Error{std::string("not a result of load: ") + error.what(), {path, 0, 0}};
    }
}

int compare(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 4)
        return fail("usage: anvilmill load compare FIRST SECOND", UsageError);
    const Result<LoadResult> first = readResult(arguments[2]);
    const Result<LoadResult> second = readResult(arguments[3]);
    for (const Result<LoadResult> *result : {&first, &second})
        if (!*result)
            return fail(result->error().asString(), UsageError);
    std::cout << asComparison(*first, *second);
    return Success;
}

int run(const LoadOptions &options)
{
    std::optional<FileHistorySink> history;
    if (!options.historyPath().empty())
        history.emplace(options.historyPath());
    if (history && !history->isOpen())
        return fail(options.historyPath() + ": can't be written", Failure);
    const LoadSettings settings = options.settings();
    const LoadResult result = runLoad(settings, makeLoadPlan(settings), options.targets(),
                                      history ? &*history : nullptr);
    std::cout << asText(result);
    if (!options.resultPath().empty()) {
        std::ofstream file(options.resultPath(), std::ios::trunc);
        file << nlohmann::json(result).dump(2) << "\n";
        file.flush();
        if (!file)
            return fail(options.resultPath() + ": can't be written", Failure);
    }
    if (countOf(result, "wrongAnswer") > 0)
        return fail("an answer did not belong to its request", Failure);
    return countOf(result, "answered") > 0 ? Success : Unavailable;
}

} // namespace

int runLoadCommand(const std::vector<std::string> &arguments)
{
    if (arguments.size() > 1 && arguments[1] == "compare")
        return compare(arguments);
    LoadOptions options;
    if (const std::optional<int> code = options.parse(arguments))
        return *code;
    if (const std::optional<Error> error = options.check())
        return fail(error->asString(), UsageError);
    return run(options);
}

} // namespace anvilmill::tools
