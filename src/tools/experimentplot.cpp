#include "experimentplot.h"

#include "experimentreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace anvilmill::tools {

namespace {

constexpr double Width = 720.0;
constexpr double Height = 440.0;
constexpr double Margin = 50.0;
constexpr double LegendWidth = 170.0;
constexpr double Decades = 3.0;
constexpr double LowestMs = 10.0;
constexpr double HighestMs = 100000.0;
constexpr int Steps = 120;
constexpr double LineHeight = 18.0;

constexpr std::array<const char *, 9> Colours = {"#000000", "#d62728", "#ff7f0e",
                                                 "#9467bd", "#8c564b", "#1f77b4",
                                                 "#17becf", "#7f7f7f", "#2ca02c"};

double xOf(double quantile)
{
    const double decades = -std::log10(1.0 - quantile);
    return Margin + (Width - 2.0 * Margin - LegendWidth) * decades / Decades;
}

double yOf(double milliseconds)
{
    const double bounded = std::clamp(milliseconds, LowestMs, HighestMs);
    const double share = std::log(bounded / LowestMs) / std::log(HighestMs / LowestMs);
    return Height - Margin - (Height - 2.0 * Margin) * share;
}

void drawText(std::ostream &out, double x, double y, const std::string &text)
{
    out << "<text x='" << x << "' y='" << y << "'>" << text << "</text>\n";
}

void drawAxes(std::ostream &out)
{
    for (double ms = LowestMs; ms <= HighestMs; ms *= 10.0) {
        out << "<line x1='" << Margin << "' x2='" << Width - Margin - LegendWidth << "' y1='"
            << yOf(ms) << "' y2='" << yOf(ms) << "' stroke='#ddd'/>\n";
        drawText(out, 2.0, yOf(ms), std::to_string(static_cast<int>(ms)) + " ms");
    }
    for (const double quantile : {0.0, 0.5, 0.9, 0.99, 0.999}) {
        std::ostringstream label;
        label << "p" << quantile * 100.0;
        drawText(out, xOf(quantile) - 8.0, Height - Margin / 2.0, label.str());
    }
}

void drawSeries(std::ostream &out, const PlotSeries &series, std::size_t index)
{
    const char *colour = Colours[index % Colours.size()];
    out << "<polyline fill='none' stroke-width='1.6' stroke='" << colour << "' points='";
    for (int step = 0; step <= Steps; ++step) {
        const double quantile = 1.0 - std::pow(10.0, -Decades * step / Steps);
        out << xOf(quantile) << "," << yOf(quantileOf(series.values, quantile)) << " ";
    }
    out << "'/>\n<g fill='" << colour << "'>";
    drawText(out, Width - LegendWidth - Margin / 2.0,
             Margin + LineHeight * static_cast<double>(index), series.name);
    out << "</g>\n";
}

} // namespace

std::string quantilePlot(const std::string &title, const std::vector<PlotSeries> &series)
{
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width << "' height='" << Height
        << "' font-family='sans-serif' font-size='12'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    drawText(out, Margin, Margin / 2.0, title);
    drawAxes(out);
    for (std::size_t i = 0; i < series.size(); ++i)
        drawSeries(out, series[i], i);
    out << "</svg>\n";
    return out.str();
}

} // namespace anvilmill::tools
