#pragma once

#include "loop/limitreport.h"

#include "anvilmill/clock.h"
#include "anvilmill/verdict.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Counts and response times of the jobs of one entry host, by service.
///
/// Thread safety: all methods may be called from any thread. State is kept in shards by service,
/// each under its own lock.
class RequestMetrics
{
public:
    RequestMetrics();
    ~RequestMetrics();

    /// \brief Records a successful job, or a failed one if \p failure is set.
    void record(const std::string &service, Duration response, std::optional<Verdict> failure);

    /// \brief Appends the metrics in the Prometheus text format.
    void append(std::string &text) const;

private:
    struct Shard;

    std::vector<std::unique_ptr<Shard>> m_shards;
};

/// \brief Appends how often each limit of a port was reached.
void appendLimits(std::string &text, const LimitReport &limits);

/// \brief Appends one metric without labels in the Prometheus text format.
void appendMetric(std::string &text, const std::string &name, const std::string &type,
                  double value);

} // namespace anvilmill::daemon
