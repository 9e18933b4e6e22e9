#pragma once

#include "experimentsimulation.h"

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief Value at the index nearest to \p quantile in the sorted \p values; 0 if there is none.
[[nodiscard]] double quantileOf(std::vector<double> values, double quantile);

/// \brief Figures of one policy on one seed.
struct Figures
{
    double ratioP50 = 0.0;
    double ratioP99 = 0.0;
    double perJobRatioP99 = 0.0;
    /// In milliseconds.
    double responseP99 = 0.0;
    /// 99th percentile, in milliseconds, of the time until a task of a short job was sent.
    double shortWaitP99 = 0.0;
    double utilisation = 0.0;
    /// Work done in the busiest phase for jobs answered in time, divided by the phase's capacity.
    double goodput = 0.0;
    double urgentInTime = 0.0;
    double wastedShare = 0.0;
    double peerShare = 0.0;
    double failedShare = 0.0;
    double refusedShare = 0.0;
};

/// \brief Compares \p run with the reference's \p responses on the same arrivals.
[[nodiscard]] Figures figuresOf(const Workload &workload, const RunResult &run,
                                const std::vector<Duration> &responses);

/// \brief A policy's name and its figures, one per seed.
using PolicyFigures = std::pair<std::string, std::vector<Figures>>;

/// \brief Prints one line per policy with the median and the range over all seeds.
void printFigures(std::ostream &out, const std::string &scenario,
                  const std::vector<PolicyFigures> &figures);

/// \brief Prints the ratio of \p figures to those of the workload \p baselineName, seed by seed.
///
/// Precondition: both hold the same policies and seeds.
void printComparison(std::ostream &out, const std::string &baselineName,
                     const std::vector<PolicyFigures> &figures,
                     const std::vector<PolicyFigures> &baseline);

} // namespace anvilmill::tools
