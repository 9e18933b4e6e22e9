#include "batchmetrics.h"

#include <sstream>

namespace anvilmill::daemon {

namespace {

/// Covers the routes times the job ends of the largest configuration; about 200 bytes each.
constexpr std::size_t MaxLabelValues = 2000;

std::string labelText(const std::vector<std::string> &names, const MetricLabels &values,
                      const std::string &extra = "")
{
    std::string text = "{";
    for (std::size_t i = 0; i < names.size(); ++i)
        text += (i > 0 ? "," : "") + names[i] + "=\"" + values[i] + "\"";
    if (!extra.empty())
        text += (names.empty() ? "" : ",") + extra;
    return text + "}";
}

template <typename Values>
typename Values::mapped_type &boundedEntry(Values &values, MetricLabels labels)
{
    const auto found = values.find(labels);
    if (found != values.end())
        return found->second;
    if (values.size() >= MaxLabelValues)
        labels.assign(labels.size(), "other");
    return values[std::move(labels)];
}

} // namespace

void BatchMetrics::Histogram::add(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    for (std::size_t i = 0; i < Bounds.size(); ++i)
        counts[i] += seconds <= Bounds[i] ? 1 : 0;
    ++count;
    sum += seconds;
}

BatchMetrics::Family &BatchMetrics::family(const std::string &name,
                                           const std::vector<std::string> &labelNames)
{
    Family &found = m_families[name];
    if (found.labelNames.empty())
        found.labelNames = labelNames;
    return found;
}

void BatchMetrics::count(const std::string &name, const std::vector<std::string> &labelNames,
                         MetricLabels labels)
{
    ++boundedEntry(family(name, labelNames).counters, std::move(labels));
}

void BatchMetrics::time(const std::string &name, const std::vector<std::string> &labelNames,
                        MetricLabels labels, Duration duration)
{
    boundedEntry(family(name, labelNames).histograms, std::move(labels)).add(duration);
}

void BatchMetrics::jobEnded(const std::string &route, const std::string &end,
                            const std::string &cause, Duration took, Duration waited)
{
    count("anvilmill_jobs_total", {"route", "end", "cause"}, {route, end, cause});
    time("anvilmill_job_response_seconds", {"route", "end"}, {route, end}, took);
    time("anvilmill_job_wait_seconds", {"route"}, {route}, waited);
}

void BatchMetrics::runEnded(const std::string &outcome, Duration ran)
{
    time("anvilmill_run_seconds", {"outcome"}, {outcome}, ran);
}

void BatchMetrics::runDecided(const std::string &decision)
{
    count("anvilmill_run_decisions_total", {"decision"}, {decision});
}

void BatchMetrics::clientLimited(const std::string &port, const std::string &cause)
{
    count("anvilmill_clients_limited_total", {"port", "cause"}, {port, cause});
}

void BatchMetrics::storeCalled(const std::string &purpose, const std::string &outcome,
                               Duration took)
{
    time("anvilmill_store_call_seconds", {"purpose", "outcome"}, {purpose, outcome}, took);
}

void BatchMetrics::taskPlaced(bool isNear, bool hasWaited)
{
    count("anvilmill_rack_placements_total", {"place", "waited"},
          {isNear ? "near" : "remote", hasWaited ? "yes" : "no"});
}

void BatchMetrics::executorChanged(const std::string &change)
{
    count("anvilmill_executor_changes_total", {"change"}, {change});
}

void BatchMetrics::setGauge(const std::string &name, double value)
{
    m_gauges[name] = value;
}

void BatchMetrics::setTotal(const std::string &name, std::uint64_t value)
{
    m_totals[name] = value;
}

std::string BatchMetrics::asText() const
{
    std::ostringstream text;
    for (const auto &[name, value] : m_totals)
        text << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    for (const auto &[name, value] : m_gauges)
        text << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    for (const auto &[name, family] : m_families) {
        const std::vector<std::string> &names = family.labelNames;
        text << "# TYPE " << name << (family.counters.empty() ? " histogram\n" : " counter\n");
        for (const auto &[labels, value] : family.counters)
            text << name << labelText(names, labels) << ' ' << value << '\n';
        for (const auto &[labels, histogram] : family.histograms) {
            for (std::size_t i = 0; i < Bounds.size(); ++i) {
                std::ostringstream bound;
                bound << "le=\"" << Bounds[i] << '"';
                text << name << "_bucket" << labelText(names, labels, bound.str()) << ' '
                     << histogram.counts[i] << '\n';
            }
            text << name << "_bucket" << labelText(names, labels, "le=\"+Inf\"") << ' '
                 << histogram.count << '\n'
                 << name << "_sum" << labelText(names, labels) << ' ' << histogram.sum << '\n'
                 << name << "_count" << labelText(names, labels) << ' ' << histogram.count << '\n';
        }
    }
    return text.str();
}

} // namespace anvilmill::daemon
