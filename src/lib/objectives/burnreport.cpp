#include "anvilmill/objectives/burnreport.h"

#include <algorithm>
#include <map>

namespace anvilmill {

namespace {

using wire::burn::ServiceBurn;
using wire::objectives::ServiceCounts;

// Avoids a division by zero for an objective of 1, which leaves no error budget.
constexpr double MinBudget = 1e-9;
// Wall clock difference to an entry host above which the report has a remark.
constexpr std::int64_t ClockToleranceMs = 5'000;

/// A host's counts of one service.
struct HostCounts
{
    const HostObjectives *host = nullptr;
    const ServiceCounts *counts = nullptr;
};

std::int64_t requestCount(const ServiceCounts &counts)
{
    std::int64_t most = 0;
    for (const auto &window : counts.windows)
        most = std::max(most, window.good + window.bad);
    return most;
}

bool canBeMerged(const ServiceCounts &left, const ServiceCounts &right)
{
    const auto sameLength = [](const auto &one, const auto &other) {
        return one.lengthMs == other.lengthMs;
    };
    return left.windowMs == right.windowMs && left.series.stepMs == right.series.stepMs
           && std::equal(left.windows.begin(), left.windows.end(), right.windows.begin(),
                         right.windows.end(), sameLength);
}

wire::burn::Verdict asBurnVerdict(wire::objectives::Verdict verdict)
{
    switch (verdict) {
    case wire::objectives::Verdict::Answered:
        return wire::burn::Verdict::Answered;
    case wire::objectives::Verdict::NotRun:
        return wire::burn::Verdict::NotRun;
    case wire::objectives::Verdict::Ran:
        return wire::burn::Verdict::Ran;
    case wire::objectives::Verdict::MayHaveRun:
        break;
    }
    return wire::burn::Verdict::MayHaveRun;
}

/// Adds up the counts of one service over hosts.
class ServiceMerger
{
public:
    explicit ServiceMerger(const std::vector<HostCounts> &allCounts)
        : m_first(*std::max_element(allCounts.begin(), allCounts.end(),
                                    [](const HostCounts &left, const HostCounts &right) {
                                        return requestCount(*left.counts)
                                               < requestCount(*right.counts);
                                    })
                           ->counts)
    {
        m_burn.service = m_first.service;
        m_burn.objective = m_first.objective;
        m_burn.latencyMs = m_first.latencyMs;
        m_burn.windowMs = m_first.windowMs;
        m_burn.series.stepMs = m_first.series.stepMs;
        for (const auto &window : m_first.windows)
            m_burn.windows.push_back({0, 0, 0, window.lengthMs});
        for (const HostCounts &hostCounts : allCounts)
            add(hostCounts);
    }

    ServiceBurn result()
    {
        finishWindows();
        finishCauses();
        finishSeries();
        for (const BurnRule &rule : burnRules())
            addAlert(rule);
        return std::move(m_burn);
    }

private:
    void add(const HostCounts &hostCounts)
    {
        const ServiceCounts &counts = *hostCounts.counts;
        if (!canBeMerged(counts, m_first)) {
            m_burn.remarks.push_back(hostCounts.host->host
                                     + " uses another window and is left out");
            return;
        }
        if (counts.objective != m_first.objective || counts.latencyMs != m_first.latencyMs)
            m_burn.remarks.push_back(hostCounts.host->host + " uses another objective");
        for (std::size_t i = 0; i < counts.windows.size(); ++i) {
            m_burn.windows[i].good += counts.windows[i].good;
            m_burn.windows[i].bad += counts.windows[i].bad;
        }
        for (const auto &cause : counts.causes)
            m_causes[{cause.cause, cause.verdict}] += cause.count;
        addSeries(counts.series);
        m_burn.worstMedianMs = std::max(m_burn.worstMedianMs, counts.medianMs);
        m_burn.worstP99Ms = std::max(m_burn.worstP99Ms, counts.p99Ms);
        m_coveredMs = std::max(m_coveredMs, hostCounts.host->coveredMs);
    }

    void addSeries(const wire::objectives::Series &series)
    {
        const std::size_t steps = std::min(series.good.size(), series.bad.size());
        for (std::size_t i = 0; i < steps; ++i) {
            auto &point = m_points[series.firstMs + static_cast<std::int64_t>(i) * series.stepMs];
            point.first += series.good[i];
            point.second += series.bad[i];
        }
    }

    void finishWindows()
    {
        for (auto &window : m_burn.windows) {
            window.burnRate = burnRate(m_burn.objective, window.good, window.bad);
            if (window.lengthMs != m_burn.windowMs)
                continue;
            m_burn.good = window.good;
            m_burn.bad = window.bad;
            m_burn.budgetLeft = 1 - window.burnRate;
        }
        if (m_coveredMs < m_burn.windowMs)
            m_burn.remarks.push_back("no host has counted for the whole window; the oldest for "
                                     + std::to_string(m_coveredMs / 1000) + " s");
    }

    void finishCauses()
    {
        for (const auto &[key, count] : m_causes)
            m_burn.causes.push_back({key.first, count, asBurnVerdict(key.second)});
        std::stable_sort(
                m_burn.causes.begin(), m_burn.causes.end(),
                [](const auto &left, const auto &right) { return left.count > right.count; });
    }

    void finishSeries()
    {
        if (m_points.empty() || m_burn.series.stepMs <= 0)
            return;
        m_burn.series.firstMs = m_points.begin()->first;
        const std::int64_t lastMs = m_points.rbegin()->first;
        // More points than fit into the window can only come from a host with a wrong wall clock.
        const std::int64_t oldestMs = lastMs - m_burn.windowMs;
        m_burn.series.firstMs = std::max(m_burn.series.firstMs, oldestMs);
        for (std::int64_t at = m_burn.series.firstMs; at <= lastMs; at += m_burn.series.stepMs) {
            const auto found = m_points.find(at);
            const bool isKnown = found != m_points.end();
            m_burn.series.good.push_back(isKnown ? found->second.first : 0);
            m_burn.series.bad.push_back(isKnown ? found->second.second : 0);
        }
    }

    [[nodiscard]] double burnRateOf(std::int64_t lengthMs) const
    {
        const auto found =
                std::find_if(m_burn.windows.begin(), m_burn.windows.end(),
                             [&](const auto &window) { return window.lengthMs == lengthMs; });
        return found == m_burn.windows.end() ? 0 : found->burnRate;
    }

    void addAlert(const BurnRule &rule)
    {
        wire::burn::BurnAlert alert;
        alert.severity = rule.severity;
        alert.longMs = m_burn.windowMs / rule.longPart;
        alert.shortMs = m_burn.windowMs / rule.shortPart;
        alert.threshold = rule.threshold;
        alert.longBurn = burnRateOf(alert.longMs);
        alert.shortBurn = burnRateOf(alert.shortMs);
        alert.firing = std::min(alert.longBurn, alert.shortBurn) >= rule.threshold;
        m_burn.alerts.push_back(alert);
    }

    const ServiceCounts &m_first;
    ServiceBurn m_burn{};
    std::int64_t m_coveredMs = 0;
    std::map<std::pair<std::string, wire::objectives::Verdict>, std::int64_t> m_causes;
    /// Good and bad requests by the start of their step.
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> m_points;
};

wire::burn::HostReach hostReachOf(const HostReply &reply, std::int64_t nowMs)
{
    wire::burn::HostReach reach;
    reach.address = reply.address;
    if (!reply.objectives) {
        reach.error = reply.objectives.error().asString();
        return reach;
    }
    reach.host = reply.objectives->host;
    reach.coveredMs = reply.objectives->coveredMs;
    const std::int64_t skewMs = reply.objectives->timeMs - nowMs;
    if (std::abs(skewMs) > ClockToleranceMs)
        reach.remark = "its wall clock is off by " + std::to_string(skewMs / 1000) + " s";
    return reach;
}

} // namespace

double burnRate(double objective, std::int64_t good, std::int64_t bad) noexcept
{
    const auto total = static_cast<double>(good + bad);
    if (total <= 0)
        return 0;
    const double budget = std::max(1 - objective, MinBudget);
    return static_cast<double>(bad) / total / budget;
}

BurnReport makeBurnReport(const std::vector<HostReply> &replies, WallTime now)
{
    BurnReport report;
    report.timeMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    std::map<std::string, std::vector<HostCounts>> services;
    for (const HostReply &reply : replies) {
        report.hosts.push_back(hostReachOf(reply, report.timeMs));
        if (!reply.objectives)
            continue;
        for (const ServiceCounts &counts : reply.objectives->services)
            services[counts.service].push_back({&*reply.objectives, &counts});
    }
    for (const auto &entry : services)
        report.services.push_back(ServiceMerger(entry.second).result());
    return report;
}

} // namespace anvilmill
