#pragma once

#include "loadplan.h"

#include <loadresult.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace anvilmill::tools {

using LoadResult = wire::loadresult::LoadResult;

/// \brief Outcome of one request of a load run.
struct LoadSample
{
    /// `answered`, the wire name of a verdict, `cancelled`, `connectionLost`, `wrongAnswer` or
    /// `unknown`.
    std::string outcome;
    /// Measured from the scheduled time of the request, which avoids coordinated omission if the
    /// system stalls.
    Duration response{};
    Duration ideal{};
    std::size_t tasks = 0;
    bool isFirstAttempt = true;
    /// True if the caller cancelled the job; its response time is then not counted.
    bool wasCancelled = false;
    bool wasSentLate = false;
};

/// \brief Collects the samples of a run.
///
/// Thread safety: all methods may be called from any thread.
class LoadCollector
{
public:
    void add(const LoadSample &sample);

    [[nodiscard]] std::size_t requestsEnded() const;

    /// \brief Aggregates all samples; \p length is the duration of the run.
    [[nodiscard]] LoadResult result(const LoadSettings &settings,
                                    const std::vector<std::string> &targets, Duration length) const;

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::int64_t> m_outcomes;
    std::vector<double> m_responseMs;
    std::vector<double> m_ratios;
    std::size_t m_ended = 0;
    std::int64_t m_jobs = 0;
    std::int64_t m_tasks = 0;
    std::int64_t m_goodTasks = 0;
    std::int64_t m_lateSends = 0;
};

/// \brief Nearest-rank quantiles of \p samples; zeros if there are none.
[[nodiscard]] wire::loadresult::Quantiles quantilesOf(std::vector<double> samples);

/// \brief Formats a result for a terminal.
[[nodiscard]] std::string asText(const LoadResult &result);

/// \brief Formats two results side by side with the ratio of each figure.
[[nodiscard]] std::string asComparison(const LoadResult &first, const LoadResult &second);

} // namespace anvilmill::tools
