#include "experimentworkload.h"

#include "anvilmill/randomsource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace anvilmill::tools {

namespace {

constexpr double LogNormalSigma = 0.4;
constexpr double ShortestTaskSeconds = 0.05;
constexpr double LongestTaskSeconds = 1.0;
constexpr double ShortestLongTaskSeconds = 2.0;
constexpr double LongestLongTaskSeconds = 6.0;
constexpr std::uint32_t LargestLongJob = 32;
constexpr Duration CancelDelay = std::chrono::milliseconds(200);

struct ServiceProfile
{
    const char *name;
    double medianSeconds;
};

constexpr std::array<ServiceProfile, 6> ShortServices = {{
        {"lease", 0.06},
        {"stock", 0.1},
        {"swap", 0.18},
        {"booking", 0.3},
        {"harvest", 0.5},
        {"quote", 0.8},
}};

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Generates random jobs; the random number generator is its only state.
class JobGenerator
{
public:
    JobGenerator(const WorkloadSettings &settings, RandomSource &random)
        : m_settings(settings)
        , m_random(random)
    {
    }

    SimulatedJob draw()
    {
        SimulatedJob job;
        job.isLong = m_random.nextUnit() < m_settings.longJobShare;
        job.isUrgent = !job.isLong && m_random.nextUnit() < m_settings.urgentShare;
        job.deadline = job.isUrgent ? m_settings.urgentDeadline : m_settings.deadline;
        job.team = "team" + std::to_string(m_random.nextBelow(m_settings.teams));
        job.host = m_random.nextBelow(m_settings.hosts);
        const ServiceProfile &profile = ShortServices[m_random.nextBelow(ShortServices.size())];
        job.service = job.isLong ? "export" : profile.name;
        const std::uint32_t largest = job.isLong ? LargestLongJob : m_settings.largestJob;
        // Urgent jobs are alerts and checks with few tasks, not bulk work.
        const std::uint32_t tasks = drawTaskCount(job.isUrgent ? UrgentLargestJob : largest);
        for (std::uint32_t i = 0; i < tasks; ++i)
            job.tasks.push_back(job.isLong ? drawLongTask() : drawTask(profile));
        return job;
    }

private:
    static constexpr std::uint32_t UrgentLargestJob = 8;

    /// Bounded Pareto distribution with index 1: mostly single tasks, few jobs of the largest size.
    std::uint32_t drawTaskCount(std::uint32_t largest)
    {
        const double top = static_cast<double>(largest) + 1.0;
        const double size = 1.0 / (1.0 - m_random.nextUnit() * (1.0 - 1.0 / top));
        return std::clamp(static_cast<std::uint32_t>(size), 1U, largest);
    }

    double drawNormal()
    {
        constexpr double TwoPi = 6.283185307179586;
        const double radius = std::sqrt(-2.0 * std::log(1.0 - m_random.nextUnit()));
        return radius * std::cos(TwoPi * m_random.nextUnit());
    }

    SimulatedTask drawTask(const ServiceProfile &profile)
    {
        const double drawnSeconds = profile.medianSeconds * std::exp(LogNormalSigma * drawNormal());
        double seconds = std::clamp(drawnSeconds, ShortestTaskSeconds, LongestTaskSeconds);
        SimulatedTask task;
        task.declared = drawDeclaration(seconds);
        if (m_random.nextUnit() < m_settings.stragglerShare)
            seconds *= m_settings.stragglerFactor;
        task.work = asDuration(seconds);
        return task;
    }

    SimulatedTask drawLongTask()
    {
        const double span = LongestLongTaskSeconds - ShortestLongTaskSeconds;
        const double seconds = ShortestLongTaskSeconds + span * m_random.nextUnit();
        return {asDuration(seconds), drawDeclaration(seconds)};
    }

    std::optional<Duration> drawDeclaration(double seconds)
    {
        if (m_settings.declarationError <= 0.0)
            return std::nullopt;
        const bool isOver = m_random.nextUnit() < 0.5;
        return asDuration(isOver ? seconds * m_settings.declarationError
                                 : seconds / m_settings.declarationError);
    }

    const WorkloadSettings &m_settings;
    RandomSource &m_random;
};

std::vector<SimulatedExecutor> makeExecutors(const WorkloadSettings &settings, RandomSource &random)
{
    std::vector<SimulatedExecutor> executors;
    const double steps = std::max<double>(1.0, static_cast<double>(settings.executors) - 1.0);
    for (std::size_t i = 0; i < settings.executors; ++i) {
        SimulatedExecutor executor;
        executor.name = "executor" + std::to_string(i);
        executor.speed = 1.0 + (settings.fastestSpeed - 1.0) * static_cast<double>(i) / steps;
        executors.push_back(executor);
    }
    const auto failing = static_cast<std::size_t>(settings.failingExecutorShare
                                                  * static_cast<double>(settings.executors));
    for (std::size_t i = 0; i < failing;) {
        SimulatedExecutor &executor = executors[random.nextBelow(executors.size())];
        i += executor.failsAll ? 0 : 1;
        executor.failsAll = true;
    }
    return executors;
}

std::vector<TeamQuota> makeQuotas(const WorkloadSettings &settings)
{
    const double share = 1.0 / (static_cast<double>(settings.teams) + 1.0);
    std::vector<TeamQuota> quotas = {{ExtraLoadTeam, share}};
    for (std::size_t i = 0; i < settings.teams; ++i)
        quotas.push_back({"team" + std::to_string(i), share});
    return quotas;
}

/// Appends jobs with uniform arrival times within \p phase until their work reaches its load.
void appendPhase(Workload &workload, JobGenerator &generator, RandomSource &random, Duration begin,
                 const LoadPhase &phase, const char *team)
{
    double remainingWork = phase.load * workload.capacity() * asSeconds(phase.length);
    while (remainingWork > 0.0) {
        SimulatedJob job = generator.draw();
        if (team)
            job.team = team;
        job.arrival = begin + asDuration(asSeconds(phase.length) * random.nextUnit());
        remainingWork -= asSeconds(job.totalWork());
        workload.jobs.push_back(std::move(job));
    }
}

void markCancellations(Workload &workload, const WorkloadSettings &settings, Duration begin,
                       RandomSource &random)
{
    for (SimulatedJob &job : workload.jobs) {
        const bool isInWave = job.arrival >= begin && job.arrival < begin + std::chrono::seconds(1);
        if (isInWave && random.nextUnit() < settings.cancelledShare)
            job.cancelAfter = CancelDelay;
    }
}

} // namespace

Duration SimulatedJob::totalWork() const
{
    return std::accumulate(tasks.begin(), tasks.end(), Duration{},
                           [](Duration sum, const SimulatedTask &task) { return sum + task.work; });
}

Duration SimulatedJob::longestWork() const
{
    Duration longest{};
    for (const SimulatedTask &task : tasks)
        longest = std::max(longest, task.work);
    return longest;
}

double Workload::capacity() const
{
    double sum = 0.0;
    for (const SimulatedExecutor &executor : executors)
        sum += executor.failsAll ? 0.0 : executor.slots * executor.speed;
    return sum;
}

bool Workload::isMeasured(const SimulatedJob &job) const
{
    return job.arrival >= warmUp && job.arrival < length;
}

Workload makeWorkload(const WorkloadSettings &settings, std::uint64_t seed)
{
    SeededRandom random(seed);
    JobGenerator generator(settings, random);
    Workload workload;
    workload.hosts = settings.hosts;
    workload.warmUp = settings.warmUp;
    workload.phases = settings.phases;
    workload.quotas = makeQuotas(settings);
    workload.executors = makeExecutors(settings, random);
    Duration begin{};
    Duration lastBegin{};
    for (const LoadPhase &phase : settings.phases) {
        appendPhase(workload, generator, random, begin, phase, nullptr);
        if (settings.extraTeamLoad > 0.0)
            appendPhase(workload, generator, random, begin, {phase.length, settings.extraTeamLoad},
                        ExtraLoadTeam);
        lastBegin = begin;
        begin += phase.length;
    }
    workload.length = begin;
    markCancellations(workload, settings, lastBegin, random);
    std::sort(workload.jobs.begin(), workload.jobs.end(),
              [](const auto &left, const auto &right) { return left.arrival < right.arrival; });
    return workload;
}

} // namespace anvilmill::tools
