#pragma once

#include <string>
#include <vector>

namespace anvilmill::tools {

/// \brief A named set of response times in milliseconds.
struct PlotSeries
{
    std::string name;
    std::vector<double> values;
};

/// \brief An SVG plot of the quantiles of each series with two logarithmic axes.
///
/// The horizontal axis is one minus the quantile, which gives the tail half of the width.
[[nodiscard]] std::string quantilePlot(const std::string &title,
                                       const std::vector<PlotSeries> &series);

} // namespace anvilmill::tools
