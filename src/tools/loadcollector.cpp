#include "loadcollector.h"

#include "reportformat.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace anvilmill::tools {

namespace {

constexpr const char *Answered = "answered";
constexpr std::size_t NameWidth = 26;
constexpr std::size_t FigureWidth = 14;

double asMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string row(const std::string &name, const std::vector<std::string> &cells)
{
    std::string text = name + std::string(NameWidth - std::min(NameWidth, name.size()), ' ');
    for (const std::string &cell : cells)
        text += std::string(FigureWidth - std::min(FigureWidth, cell.size()), ' ') + cell;
    return text + "\n";
}

/// Names and values of all figures, in output order.
std::vector<std::pair<std::string, double>> figuresOf(const LoadResult &result)
{
    const auto add = [](auto &figures, const std::string &name, const auto &quantiles) {
        figures.emplace_back(name + " p50", quantiles.p50);
        figures.emplace_back(name + " p90", quantiles.p90);
        figures.emplace_back(name + " p99", quantiles.p99);
        figures.emplace_back(name + " p99.9", quantiles.p999);
        figures.emplace_back(name + " largest", quantiles.largest);
    };
    std::vector<std::pair<std::string, double>> figures;
    add(figures, "response ms", result.responseMs);
    add(figures, "ratio to ideal", result.ratioToIdeal);
    figures.emplace_back("good tasks/s", result.goodTasksPerSecond);
    figures.emplace_back("late sends", static_cast<double>(result.lateSends));
    return figures;
}

std::int64_t countOf(const LoadResult &result, const std::string &outcome)
{
    for (const auto &entry : result.outcomes)
        if (entry.outcome == outcome)
            return entry.count;
    return 0;
}

} // namespace

void LoadCollector::add(const LoadSample &sample)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    ++m_ended;
    ++m_outcomes[sample.outcome];
    m_lateSends += sample.wasSentLate ? 1 : 0;
    if (!sample.isFirstAttempt)
        return;
    ++m_jobs;
    m_tasks += static_cast<std::int64_t>(sample.tasks);
    if (sample.outcome != Answered)
        return;
    m_goodTasks += static_cast<std::int64_t>(sample.tasks);
    if (sample.wasCancelled)
        return;
    m_responseMs.push_back(asMs(sample.response));
    if (sample.ideal > Duration::zero())
        m_ratios.push_back(asMs(sample.response) / asMs(sample.ideal));
}

std::size_t LoadCollector::requestsEnded() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_ended;
}

LoadResult LoadCollector::result(const LoadSettings &settings,
                                 const std::vector<std::string> &targets, Duration length) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    LoadResult result;
    result.seed = static_cast<std::int64_t>(settings.seed);
    result.targets = targets;
    result.durationMs = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    result.jobs = m_jobs;
    result.tasks = m_tasks;
    result.resubmissions = static_cast<std::int64_t>(m_ended) - m_jobs;
    result.lateSends = m_lateSends;
    for (const auto &[outcome, count] : m_outcomes)
        result.outcomes.push_back({count, outcome});
    result.responseMs = quantilesOf(m_responseMs);
    result.ratioToIdeal = quantilesOf(m_ratios);
    const double seconds = std::max(asMs(length) / 1000, 1e-3);
    result.goodTasksPerSecond = static_cast<double>(m_goodTasks) / seconds;
    return result;
}

wire::loadresult::Quantiles quantilesOf(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    const auto at = [&](double share) {
        if (samples.empty())
            return 0.0;
        const double rank = std::ceil(share * static_cast<double>(samples.size()));
        return samples[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    };
    wire::loadresult::Quantiles quantiles;
    quantiles.samples = static_cast<std::int64_t>(samples.size());
    quantiles.p50 = at(0.5);
    quantiles.p90 = at(0.9);
    quantiles.p99 = at(0.99);
    quantiles.p999 = at(0.999);
    quantiles.largest = at(1);
    return quantiles;
}

std::string asText(const LoadResult &result)
{
    std::ostringstream out;
    out << "jobs " << result.jobs << ", tasks " << result.tasks << ", resubmissions "
        << result.resubmissions << ", seed " << result.seed << ", "
        << asDurationText(result.durationMs) << "\n";
    for (const auto &outcome : result.outcomes)
        out << row("outcome " + outcome.outcome, {std::to_string(outcome.count)});
    for (const auto &[name, value] : figuresOf(result))
        out << row(name, {asFixed(value, 2)});
    return out.str();
}

std::string asComparison(const LoadResult &first, const LoadResult &second)
{
    std::string text = row("", {"first", "second", "second/first"});
    std::set<std::string> outcomes;
    for (const auto &entry : first.outcomes)
        outcomes.insert(entry.outcome);
    for (const auto &entry : second.outcomes)
        outcomes.insert(entry.outcome);
    for (const std::string &outcome : outcomes)
        text += row("outcome " + outcome, {std::to_string(countOf(first, outcome)),
                                           std::to_string(countOf(second, outcome)), ""});
    const auto left = figuresOf(first);
    const auto right = figuresOf(second);
    for (std::size_t i = 0; i < left.size(); ++i) {
        const bool hasRatio = left[i].second > 0;
        text += row(left[i].first, {asFixed(left[i].second, 2), asFixed(right[i].second, 2),
                                    hasRatio ? asFixed(right[i].second / left[i].second, 3) : "-"});
    }
    return text;
}

} // namespace anvilmill::tools
