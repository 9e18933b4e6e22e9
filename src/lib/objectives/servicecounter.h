#pragma once

#include "anvilmill/objectives/objectiverecorder.h"
#include "countring.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <optional>
#include <utility>

namespace anvilmill {

/// \brief Request counts of one service within the window of its objective.
///
/// Thread safety: one thread at a time.
class ObjectiveRecorder::Service
{
public:
    explicit Service(ServiceObjective objective);

    void setObjective(const ServiceObjective &objective);

    void record(WallTime now, const RequestEnd &request);

    [[nodiscard]] wire::objectives::ServiceCounts counts(WallTime now) const;

private:
    using Quantile = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                               boost::accumulators::tag::max,
                                               boost::accumulators::tag::count>>;
    /// Cause, and the verdict of a failure.
    using CauseKey = std::pair<std::string, std::optional<Verdict>>;

    void reset();
    [[nodiscard]] static double valueOf(const Quantile &quantile);
    void recordCause(WallTime now, const RequestEnd &request);
    [[nodiscard]] RequestCounts sum(WallTime now, Duration length) const;
    [[nodiscard]] wire::objectives::Series series(WallTime now) const;
    [[nodiscard]] std::vector<wire::objectives::CauseCount> causes(WallTime now) const;

    ServiceObjective m_objective;
    CountRing m_fine;
    CountRing m_coarse;
    std::map<CauseKey, CountRing> m_causes;
    Quantile m_median;
    Quantile m_p99;
};

} // namespace anvilmill
