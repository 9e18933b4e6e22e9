#include "reportformat.h"

#include "anvilmill/objectives/burnreport.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace anvilmill::tools {

namespace {

using wire::burn::ServiceBurn;

constexpr double ChartWidth = 640;
constexpr double ChartHeight = 120;
constexpr double BarsBottom = 96;
constexpr double LabelBaseline = 114;
constexpr double GoodShareOfBar = 0.86;

constexpr const char *Style = R"(
:root { color-scheme: light dark; --ink: #1b1f24; --soft: #59636e; --line: #d1d9e0; --card: #fff;
  --back: #f6f8fa; --good: #4c8dd6; --bad: #d1242f; --ticket: #9a6700; --ok: #1a7f37; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6edf3; --soft: #9198a1; --line: #3d444d;
  --card: #151b23; --back: #0d1117; --good: #4493f8; --bad: #f85149; --ticket: #d29922;
  --ok: #3fb950; } }
body { margin: 0 auto; padding: 24px; max-width: 1040px; background: var(--back);
  color: var(--ink); font: 15px/1.5 system-ui, sans-serif; }
h1 { font-size: 24px; margin: 0; } h2 { font-size: 18px; margin: 0 0 4px; }
h3 { font-size: 14px; margin: 16px 0 4px; }
p { margin: 4px 0; } .soft { color: var(--soft); }
.card { background: var(--card); border: 1px solid var(--line); border-radius: 8px;
  padding: 16px 20px; margin-top: 16px; }
.warn { border-color: var(--bad); }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: 4px 12px 4px 0; border-bottom: 1px solid var(--line); }
th { font-weight: 600; color: var(--soft); font-size: 13px; }
tr:last-child td { border-bottom: 0; }
.number { text-align: right; }
.state { display: inline-block; padding: 0 8px; border-radius: 10px; color: #fff;
  font-size: 13px; font-weight: 600; }
.page { background: var(--bad); } .ticket { background: var(--ticket); }
.ok { background: var(--ok); }
.columns { display: grid; grid-template-columns: 1fr 1fr; gap: 0 32px; }
@media (max-width: 760px) { .columns { grid-template-columns: 1fr; } .wide { overflow-x: auto; } }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--soft); font: 11px system-ui, sans-serif; }
.bar-good { fill: var(--good); } .bar-bad { fill: var(--bad); } .axis { stroke: var(--line); }
.track { fill: var(--line); }
)";

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char symbol : text) {
        switch (symbol) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += symbol;
        }
    }
    return safe;
}

std::string percent(double share, int digits)
{
    return asFixed(share * 100, digits) + "%";
}

std::string badge(const std::string &state)
{
    return "<span class=\"state " + state + "\">" + state + "</span>";
}

std::string rectangle(const char *type, double x, double y, double width, double height)
{
    return std::string("<rect class=\"") + type + "\" x=\"" + asFixed(x, 2) + "\" y=\""
           + asFixed(y, 2) + "\" width=\"" + asFixed(width, 2) + "\" height=\"" + asFixed(height, 2)
           + "\"";
}

std::string cell(const std::string &text, bool isNumber = false)
{
    return (isNumber ? "<td class=\"number\">" : "<td>") + text + "</td>";
}

/// Draws the remaining share of the error budget as a bar.
std::string budgetBar(double left)
{
    const double share = std::clamp(left, 0.0, 1.0) * 100;
    return "<svg viewBox=\"0 0 100 6\" preserveAspectRatio=\"none\" style=\"height:8px\" "
           "aria-hidden=\"true\">"
           + rectangle("track", 0, 0, 100, 6) + "/>"
           + rectangle(left > 0.25 ? "bar-good" : "bar-bad", 0, 0, share, 6) + "/></svg>";
}

bool isComplete(const BurnReport &report)
{
    return std::none_of(report.hosts.begin(), report.hosts.end(), [](const auto &host) {
        return host.error.has_value() || host.remark.has_value();
    });
}

void writeHosts(std::ostream &out, const BurnReport &report)
{
    out << "<section class=\"card" << (isComplete(report) ? "" : " warn")
        << "\"><h2>Entry hosts</h2>"
        << "<div class=\"wide\"><table><tr><th>Address</th><th>Host</th><th>Counted for</th>"
        << "<th>State</th></tr>";
    for (const auto &host : report.hosts) {
        std::string state = host.error ? "not reached: " + *host.error : "in the report";
        if (host.remark)
            state += "; " + *host.remark;
        out << "<tr>" << cell(escaped(host.address)) << cell(escaped(host.host.value_or("-")))
            << cell(host.coveredMs ? asDurationText(*host.coveredMs) : "-") << cell(escaped(state))
            << "</tr>";
    }
    out << "</table></div>";
    if (!isComplete(report))
        out << "<p>Hosts that were not reached are left out of all figures.</p>";
    out << "</section>";
}

void writeOverview(std::ostream &out, const BurnReport &report)
{
    out << "<section class=\"card\"><h2>Services</h2><div class=\"wide\"><table><tr>"
        << "<th>Service</th><th>State</th><th class=\"number\">Objective</th>"
        << "<th class=\"number\">Good</th><th class=\"number\">Bad</th>"
        << "<th class=\"number\">Budget left</th><th style=\"width:22%\"></th></tr>";
    for (const ServiceBurn &service : report.services)
        out << "<tr>" << cell("<strong>" + escaped(service.service) + "</strong>")
            << cell(badge(stateOf(service)))
            << cell(percent(service.objective, 3) + " in " + asDurationText(service.latencyMs),
                    true)
            << cell(std::to_string(service.good), true) << cell(std::to_string(service.bad), true)
            << cell(percent(service.budgetLeft, 1), true) << cell(budgetBar(service.budgetLeft))
            << "</tr>";
    out << "</table></div></section>";
}

std::int64_t largestPoint(const wire::burn::Series &series)
{
    std::int64_t largest = 1;
    for (std::size_t i = 0; i < series.good.size(); ++i)
        largest = std::max(largest, series.good[i] + series.bad[i]);
    return largest;
}

void writeBar(std::ostream &out, const wire::burn::Series &series, std::size_t index, double pitch)
{
    const double scale = BarsBottom / static_cast<double>(largestPoint(series));
    const double good = static_cast<double>(series.good[index]) * scale;
    const double bad = static_cast<double>(series.bad[index]) * scale;
    const double x = static_cast<double>(index) * pitch;
    const std::string title =
            "><title>"
            + asUtcTime(series.firstMs + static_cast<std::int64_t>(index) * series.stepMs) + ": "
            + std::to_string(series.good[index]) + " good, " + std::to_string(series.bad[index])
            + " bad</title></rect>";
    const double width = pitch * GoodShareOfBar;
    out << rectangle("bar-good", x, BarsBottom - good, width, good) << title;
    // A minimum height keeps a single bad request visible among many good ones.
    const double visible = bad > 0 ? std::max(bad, 2.0) : 0;
    out << rectangle("bar-bad", x, BarsBottom - good - visible, width, visible) << title;
}

void writeSeries(std::ostream &out, const ServiceBurn &service)
{
    const wire::burn::Series &series = service.series;
    out << "<h3>Requests by " << asDurationText(series.stepMs) << "</h3>";
    if (series.good.empty()) {
        out << "<p class=\"soft\">None yet.</p>";
        return;
    }
    out << "<svg viewBox=\"0 -12 " << ChartWidth << " " << ChartHeight + 12
        << "\" role=\"img\" aria-label=\"good and bad requests over time\">";
    // Limits the width of the bars if there are few points.
    const double points = std::max<double>(static_cast<double>(series.good.size()), 24);
    for (std::size_t i = 0; i < series.good.size(); ++i)
        writeBar(out, series, i, ChartWidth / points);
    out << "<line class=\"axis\" x1=\"0\" y1=\"" << BarsBottom << "\" x2=\"" << ChartWidth
        << "\" y2=\"" << BarsBottom << "\"/><text x=\"0\" y=\"" << LabelBaseline << "\">from "
        << asUtcTime(series.firstMs) << "</text><text x=\"" << ChartWidth << "\" y=\""
        << LabelBaseline << "\" text-anchor=\"end\">highest: " << largestPoint(series)
        << " requests</text></svg>";
    out << "<p class=\"soft\"><span style=\"color:var(--good)\">&#9632;</span> good "
        << "<span style=\"color:var(--bad)\">&#9632;</span> bad</p>";
}

void writeAlerts(std::ostream &out, const ServiceBurn &service)
{
    out << "<div><h3>Burn rates</h3><div class=\"wide\"><table><tr><th>Alert</th><th>Long</th>"
        << "<th class=\"number\">Burn</th><th>Short</th><th class=\"number\">Burn</th>"
        << "<th class=\"number\">At</th></tr>";
    for (const auto &alert : service.alerts) {
        const bool isPage = alert.severity == wire::burn::Severity::Page;
        const std::string name = isPage ? "page" : "ticket";
        out << "<tr>" << cell(alert.firing ? badge(name) + " firing" : name)
            << cell(asDurationText(alert.longMs)) << cell(asFixed(alert.longBurn, 2), true)
            << cell(asDurationText(alert.shortMs)) << cell(asFixed(alert.shortBurn, 2), true)
            << cell(asFixed(alert.threshold, 1), true) << "</tr>";
    }
    out << "</table></div></div>";
}

void writeCauses(std::ostream &out, const ServiceBurn &service)
{
    out << "<div><h3>Bad requests by cause</h3>";
    if (service.causes.empty()) {
        out << "<p class=\"soft\">None.</p></div>";
        return;
    }
    out << "<div class=\"wide\"><table><tr><th>Cause</th><th>Verdict</th>"
        << "<th class=\"number\">Count</th><th style=\"width:30%\"></th></tr>";
    const auto most = static_cast<double>(std::max<std::int64_t>(1, service.causes.front().count));
    for (const auto &cause : service.causes) {
        const double share = static_cast<double>(cause.count) / most * 100;
        out << "<tr>" << cell(escaped(cause.cause)) << cell(asString(cause.verdict))
            << cell(std::to_string(cause.count), true)
            << cell("<svg viewBox=\"0 0 100 6\" preserveAspectRatio=\"none\" style=\"height:8px\" "
                    "aria-hidden=\"true\">"
                    + rectangle("bar-bad", 0, 0, share, 6) + "/></svg>")
            << "</tr>";
    }
    out << "</table></div></div>";
}

void writeService(std::ostream &out, const ServiceBurn &service)
{
    out << "<section class=\"card\"><h2>" << escaped(service.service) << " "
        << badge(stateOf(service)) << "</h2><p class=\"soft\">" << percent(service.objective, 3)
        << " of requests answered within " << asDurationText(service.latencyMs) << ", over "
        << asDurationText(service.windowMs) << ". Slowest entry host since its start: median "
        << asFixed(service.worstMedianMs, 1) << " ms, 99th percentile "
        << asFixed(service.worstP99Ms, 1) << " ms.</p>";
    writeSeries(out, service);
    out << "<div class=\"columns\">";
    writeAlerts(out, service);
    writeCauses(out, service);
    out << "</div>";
    for (const std::string &remark : service.remarks)
        out << "<p class=\"soft\">Note: " << escaped(remark) << ".</p>";
    out << "</section>";
}

} // namespace

std::string asHtml(const BurnReport &report)
{
    std::ostringstream out;
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        << "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
        << "<title>Service-level burn</title><style>" << Style << "</style></head><body>"
        << "<h1>Service-level burn</h1><p class=\"soft\">" << asUtcTime(report.timeMs)
        << ". A burn rate of 1 spends the error budget in exactly the objective's window; an "
        << "alert fires while both of its windows reach its threshold.</p>";
    // Unreachable hosts are listed first, since all figures below lack their counts.
    if (!isComplete(report))
        writeHosts(out, report);
    writeOverview(out, report);
    for (const ServiceBurn &service : report.services)
        writeService(out, service);
    if (isComplete(report))
        writeHosts(out, report);
    out << "</body></html>\n";
    return out.str();
}

} // namespace anvilmill::tools
