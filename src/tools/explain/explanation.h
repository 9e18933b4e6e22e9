#pragma once

#include "anvilmill/clock.h"
#include "explain/logsource.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief A line that has to do with what is explained.
struct TimelineEntry
{
    std::string time;
    std::string host;
    std::string text;
};

/// \brief Lines that could not be taken apart; the first of them by source and number.
struct UnreadableLines
{
    std::size_t count = 0;
    std::string first;
};

/// \brief All that the logs of several hosts say of one job, in order of time.
struct JobExplanation
{
    /// Lines that name the job or one of its tasks.
    std::vector<TimelineEntry> job;
    /// Lines within some seconds of it on the executors and hosts that it had to do with.
    std::vector<TimelineEntry> around;
    UnreadableLines unreadable;
};

/// \brief What became of the jobs that were not completed.
struct FailureSummary
{
    struct Count
    {
        std::size_t jobs = 0;
        /// One of them, to be explained.
        std::string example;
    };

    std::size_t completed = 0;
    std::map<std::string, Count> byCause;
    std::map<std::string, Count> byRoute;
    std::map<std::string, Count> byDataCentre;
    std::map<std::string, Count> bySecond;
    UnreadableLines unreadable;
};

/// \brief Gathers the lines of \p job, and those around it.
[[nodiscard]] JobExplanation explainJob(const LogSources &logs, const std::string &job);

[[nodiscard]] FailureSummary summarizeFailures(const LogSources &logs);

[[nodiscard]] std::string asText(const JobExplanation &explanation);
[[nodiscard]] std::string asText(const FailureSummary &summary);

} // namespace anvilmill::tools
