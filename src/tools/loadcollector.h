#pragma once

#include "loadplan.h"

#include <loadresult.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace anvilmill::tools {

using LoadResult = wire::loadresult::LoadResult;

/// \brief How one request of a load run ended.
struct LoadSample
{
    /// `answered`, the spelling of a verdict, `cancelled`, `connectionLost`, `wrongAnswer`.
    std::string outcome;
    /// From the scheduled time, so that a stalled system isn't flattered.
    Duration response{};
    Duration ideal{};
    std::size_t tasks = 0;
    bool isFirstAttempt = true;
    /// True if the caller gave up on the job, which ends its measure of response time.
    bool wasGivenUp = false;
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

    /// \brief The sums over all samples; \p length is the time that the run took.
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

/// \brief Nearest-rank quantiles of \p samples; zeros without any.
[[nodiscard]] wire::loadresult::Quantiles quantilesOf(std::vector<double> samples);

/// \brief The result for a terminal.
[[nodiscard]] std::string asText(const LoadResult &result);

/// \brief Two results side by side with the ratio of each figure.
[[nodiscard]] std::string asComparison(const LoadResult &first, const LoadResult &second);

} // namespace anvilmill::tools
