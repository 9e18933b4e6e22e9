#include "loadplan.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace anvilmill::tools {

namespace {

// With this exponent, a share of 1/k of the jobs has at least k tasks.
constexpr double TailExponent = 2.0;
constexpr Duration ResubmitSpread = std::chrono::milliseconds(500);

class Planner
{
public:
    explicit Planner(const LoadSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    std::vector<PlannedJob> plan()
    {
        std::vector<PlannedJob> jobs;
        for (Duration at = drawInterarrivalTime(Duration::zero()); at < m_settings.length;
             at += drawInterarrivalTime(at))
            jobs.push_back(drawJob(at));
        return jobs;
    }

private:
    [[nodiscard]] bool isInBurst(Duration at) const
    {
        const Duration burstBegin = m_settings.burstPeriod - m_settings.burstLength;
        return m_settings.burstFactor > 1 && at % m_settings.burstPeriod >= burstBegin;
    }

    /// Draws an exponential interarrival time for the arrival rate at \p at.
    Duration drawInterarrivalTime(Duration at)
    {
        const double rate = m_settings.jobsPerSecond * (isInBurst(at) ? m_settings.burstFactor : 1);
        const std::chrono::duration<double> drawn(-std::log(1 - m_random.nextUnit()) / rate);
        return std::chrono::duration_cast<Duration>(drawn) + Duration(1);
    }

    bool drawn(double share) { return m_random.nextUnit() < share; }

    PlannedJob drawJob(Duration at)
    {
        PlannedJob job;
        job.arrival = at;
        job.target = m_random.nextBelow(m_settings.targets);
        job.isNotRepeatable = drawn(m_settings.notRepeatableShare);
        const int count = drawTaskCount();
        for (int i = 0; i < count; ++i)
            job.tasks.push_back(runTime());
        if (drawn(m_settings.resubmitShare))
            job.resubmission = at + Duration(m_random.nextBelow(ResubmitSpread.count()));
        const bool isInWave = at / m_settings.burstPeriod % 2 == 1;
        if (drawn(m_settings.cancelShare) && isInWave)
            job.cancellation = (at / m_settings.burstPeriod + 1) * m_settings.burstPeriod;
        return job;
    }

    int drawTaskCount()
    {
        const double uniform = 1 - m_random.nextUnit();
        const double tail = std::pow(uniform, -1 / (TailExponent - 1));
        return static_cast<int>(std::min<double>(tail, m_settings.tasksLimit));
    }

    Duration runTime()
    {
        const Duration spread = m_settings.longestTask - m_settings.shortestTask;
        const std::chrono::duration<double, std::nano> more(m_random.nextUnit()
                                                            * static_cast<double>(spread.count()));
        const Duration time = m_settings.shortestTask + std::chrono::duration_cast<Duration>(more);
        return drawn(m_settings.stragglerShare) ? time * m_settings.stragglerFactor : time;
    }

    const LoadSettings &m_settings;
    SeededRandom m_random;
};

} // namespace

Duration PlannedJob::longestTask() const
{
    return tasks.empty() ? Duration::zero() : *std::max_element(tasks.begin(), tasks.end());
}

Duration PlannedJob::work() const
{
    return std::accumulate(tasks.begin(), tasks.end(), Duration::zero());
}

Duration PlannedJob::ideal(int slots) const
{
    return std::max(longestTask(), work() / slots);
}

std::vector<PlannedJob> makeLoadPlan(const LoadSettings &settings)
{
    return Planner(settings).plan();
}

std::string loadPayload(Duration runTime, const std::string &echo)
{
    const auto whole = std::chrono::round<std::chrono::milliseconds>(runTime);
    return "sleep:" + std::to_string(whole.count()) + ":" + echo;
}

} // namespace anvilmill::tools
