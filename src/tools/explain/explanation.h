#pragma once

#include "anvilmill/clock.h"
#include "explain/logsource.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief A log line of a job or of its context.
struct TimelineEntry
{
    std::string time;
    std::string host;
    std::string text;
};

/// \brief Number of lines that could not be parsed, with source and number of the first one.
struct UnreadableLines
{
    std::size_t count = 0;
    std::string first;
};

/// \brief Log lines of several hosts that concern one job, in order of time.
struct JobExplanation
{
    /// Lines that name the job or one of its tasks.
    std::vector<TimelineEntry> job;
    /// Lines of the involved executors and hosts shortly before, during and after the job.
    std::vector<TimelineEntry> context;
    UnreadableLines unreadable;
};

/// \brief Counts of the jobs that were not completed, by several criteria.
struct FailureSummary
{
    struct Count
    {
        std::size_t jobs = 0;
        /// One of these jobs.
        std::string example;
    };

    std::size_t completed = 0;
    std::map<std::string, Count> byCause;
    std::map<std::string, Count> byRoute;
    std::map<std::string, Count> byDataCentre;
    std::map<std::string, Count> bySecond;
    UnreadableLines unreadable;
};

/// \brief Collects the lines of \p job and those of its context.
[[nodiscard]] JobExplanation explainJob(const LogSources &logs, const std::string &job);

[[nodiscard]] FailureSummary summarizeFailures(const LogSources &logs);

[[nodiscard]] std::string asText(const JobExplanation &explanation);
[[nodiscard]] std::string asText(const FailureSummary &summary);

} // namespace anvilmill::tools
