#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/heldexecutor.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tests {

/// Simulates an executor of the platform: one lease and one highest fence for all of its runs, and
/// numbered ends that are kept until they are acknowledged. Does not check its free capacity.
class FakeExecutor
{
public:
    explicit FakeExecutor(const Clock &clock, Resources capacity)
        : m_clock(clock)
        , m_capacity(capacity)
    {
        restart();
    }

    /// Drops all runs, ends, the lease and the fence, and starts a new incarnation.
    void restart()
    {
        m_born = m_clock.now();
        ++m_incarnation;
        m_fence = 0;
        m_runs.clear();
        m_ends.clear();
        m_highestRunNumbers.clear();
        m_lastEnd = 0;
        m_leaseUntil = ExecutorTime{};
    }

    StartAnswer start(const StartOrder &order, const Resources &demand)
    {
        endLapsedRuns();
        if (order.fence < m_fence)
            return StartAnswer::Fenced;
        m_fence = order.fence;
        if (m_runs.count(order.run) > 0)
            return StartAnswer::Started;
        if (order.leaseUntil)
            extendLease(*order.leaseUntil);
        if (order.run.number <= m_highestRunNumbers[order.run.task])
            return StartAnswer::Superseded;
        if (!order.leaseUntil || *order.leaseUntil <= now())
            return StartAnswer::Refused;
        m_runs[order.run] = demand;
        m_highestUse = std::max(m_highestUse, use());
        return StartAnswer::Started;
    }

    void stop(const StopOrder &order)
    {
        endLapsedRuns();
        if (order.fence < m_fence)
            return;
        m_fence = order.fence;
        auto &highest = m_highestRunNumbers[order.run.task];
        highest = std::max(highest, order.run.number);
        if (m_runs.count(order.run) > 0)
            end(order.run, RunOutcome::Stopped);
    }

    /// Returns std::nullopt if the order's fence is lower than the highest one.
    std::optional<HoldReport> hold(const HoldOrder &order)
    {
        endLapsedRuns();
        if (order.fence < m_fence)
            return std::nullopt;
        m_fence = order.fence;
        if (order.leaseUntil)
            extendLease(*order.leaseUntil);
        m_ends.erase(m_ends.begin(), m_ends.upper_bound(order.acknowledgedThrough));
        HoldReport report{now(), m_incarnation, {}, {}};
        for (const auto &[run, demand] : m_runs)
            report.active.push_back(run);
        for (const auto &[number, each] : m_ends)
            report.ends.push_back({number, each});
        return report;
    }

    void end(const RunId &run, RunOutcome outcome)
    {
        m_runs.erase(run);
        auto &highest = m_highestRunNumbers[run.task];
        highest = std::max(highest, run.number);
        m_ends[++m_lastEnd] = {run, outcome, std::nullopt};
    }

    [[nodiscard]] bool runs(const RunId &run)
    {
        endLapsedRuns();
        return m_runs.count(run) > 0;
    }

    /// The active runs of a task, whatever their numbers.
    [[nodiscard]] std::size_t runsOf(const std::string &task)
    {
        endLapsedRuns();
        return static_cast<std::size_t>(
                std::count_if(m_runs.begin(), m_runs.end(),
                              [&](const auto &run) { return run.first.task == task; }));
    }

    /// Highest CPU use so far, in thousandths of a core.
    [[nodiscard]] std::int64_t highestUse() const { return m_highestUse; }
    [[nodiscard]] const Resources &capacity() const { return m_capacity; }
    [[nodiscard]] std::size_t unacknowledged() const { return m_ends.size(); }

private:
    [[nodiscard]] ExecutorTime now() const
    {
        return std::chrono::duration_cast<ExecutorTime>(m_clock.now() - m_born);
    }

    [[nodiscard]] std::int64_t use() const
    {
        std::int64_t sum = 0;
        for (const auto &[run, demand] : m_runs)
            sum += demand.milliCores;
        return sum;
    }

    void extendLease(ExecutorTime until)
    {
        constexpr ExecutorTime MaxLease{1000};
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, now() + MaxLease));
    }

    void endLapsedRuns()
    {
        if (now() < m_leaseUntil)
            return;
        while (!m_runs.empty())
            end(RunId(m_runs.begin()->first), RunOutcome::Lapsed);
    }

    const Clock &m_clock;
    Resources m_capacity;
    MonotonicTime m_born;
    std::uint64_t m_incarnation = 0;
    Fence m_fence = 0;
    ExecutorTime m_leaseUntil{};
    std::map<RunId, Resources> m_runs;
    std::map<std::uint64_t, RunEnd> m_ends;
    std::map<std::string, std::uint64_t> m_highestRunNumbers;
    std::uint64_t m_lastEnd = 0;
    std::int64_t m_highestUse = 0;
};

} // namespace anvilmill::tests
