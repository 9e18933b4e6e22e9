#pragma once

#include "anvilmill/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Values of the labels of one metric, in the order of their names.
using MetricLabels = std::vector<std::string>;

/// \brief Counters and latency histograms of an entry host, in the text format of Prometheus.
///
/// The number of label values is bounded: further values are counted as `other`.
///
/// Thread safety: used by the loop's thread alone.
class BatchMetrics
{
public:
    /// \brief Records the end of a job; \p cause is empty if it was completed.
    void jobEnded(const std::string &route, const std::string &end, const std::string &cause,
                  Duration took, Duration waited);

    /// \brief Records the end of a run on an executor that this host holds.
    void runEnded(const std::string &outcome, Duration ran);

    /// \brief Records a decision about a run other than its end, such as a repeated stop.
    void runDecided(const std::string &decision);

    /// \brief Records that a limit of \p port has ended a request or a connection.
    void clientLimited(const std::string &port, const std::string &cause);

    /// \brief Records the outcome of a call to the platform's store.
    void storeCalled(const std::string &purpose, const std::string &outcome, Duration took);

    /// \brief Records the start of a task whose data is on a rack; \p hasWaited: for that rack, while
    /// executors elsewhere were free.
    void taskPlaced(bool isNear, bool hasWaited);

    /// \brief Records that an executor's lease was acquired, released or fenced, that it didn't
    /// answer, or that its circuit breaker opened.
    void executorChanged(const std::string &change);

    /// \brief Sets the current value of a gauge.
    void setGauge(const std::string &name, double value);

    /// \brief Sets the current value of a counter that is kept elsewhere.
    void setTotal(const std::string &name, std::uint64_t value);

    [[nodiscard]] std::string asText() const;

private:
    /// Upper bounds in seconds, from a local round trip to the longest client timeout.
    static constexpr std::array<double, 12> Bounds = {0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                      0.25,  0.5,   1.0,  2.5,   5.0,  10.0};
    struct Histogram
    {
        std::array<std::uint64_t, Bounds.size()> counts{};
        std::uint64_t count = 0;
        double sum = 0.0;

        void add(Duration duration);
    };
    struct Family
    {
        std::vector<std::string> labelNames;
        std::map<MetricLabels, Histogram> histograms;
        std::map<MetricLabels, std::uint64_t> counters;
    };

    Family &family(const std::string &name, const std::vector<std::string> &labelNames);
    void count(const std::string &name, const std::vector<std::string> &labelNames,
               MetricLabels labels);
    void time(const std::string &name, const std::vector<std::string> &labelNames,
              MetricLabels labels, Duration duration);

    std::map<std::string, Family> m_families;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::uint64_t> m_totals;
};

} // namespace anvilmill::daemon
