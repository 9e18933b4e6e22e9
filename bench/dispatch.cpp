#include "anvilmill/dispatch/adaptivedispatcher.h"
#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace anvilmill;

namespace {

constexpr std::size_t Teams = 200;
constexpr std::size_t Services = 8;
constexpr std::size_t TasksPerJob = 8;
constexpr std::size_t Decisions = 200'000;
constexpr Duration Step = std::chrono::microseconds(10);

struct Timings
{
    double meanMicroseconds = 0.0;
    double p99Microseconds = 0.0;
};

/// A dispatcher with all slots in use and a queue of constant length.
class DispatchBenchmark
{
public:
    DispatchBenchmark(std::size_t executors, std::size_t queuedTasks)
        : m_random(1)
        , m_dispatcher(makeAdaptiveDispatcher(m_clock, m_random, settings()))
    {
        std::vector<ExecutorInfo> infos;
        infos.reserve(executors);
        for (std::size_t i = 0; i < executors; ++i)
            infos.push_back({"executor" + std::to_string(i), 8, {}, false});
        m_dispatcher->setExecutors(infos);
        for (int round = 0; round < 8; ++round) {
            fill(executors * 8);
            startAndEndAll();
        }
        fill(executors * 8);
        while (const auto start = m_dispatcher->nextStart())
            m_inFlight.push_back(*start);
        fill(queuedTasks);
    }

    /// Measures decisions; each is one ended start, the next start, and its share of a submission.
    Timings run()
    {
        std::vector<double> times;
        times.reserve(Decisions);
        for (std::size_t i = 0; i < Decisions; ++i) {
            m_clock.advance(Step);
            const auto begin = std::chrono::steady_clock::now();
            decide(i);
            const std::chrono::duration<double, std::micro> elapsed =
                    std::chrono::steady_clock::now() - begin;
            times.push_back(elapsed.count());
        }
        Timings timings;
        for (const double time : times)
            timings.meanMicroseconds += time / static_cast<double>(Decisions);
        const auto tail = times.begin() + static_cast<std::ptrdiff_t>(Decisions * 99 / 100);
        std::nth_element(times.begin(), tail, times.end());
        timings.p99Microseconds = *tail;
        return timings;
    }

private:
    static DispatchSettings settings()
    {
        DispatchSettings settings;
        settings.maxQueueTime = std::chrono::hours(24);
        for (std::size_t team = 0; team < Teams; ++team)
            settings.quotas.push_back({"team" + std::to_string(team), 2.0 / Teams});
        return settings;
    }

    void submitOne()
    {
        JobSpec spec;
        spec.service = "service" + std::to_string(m_random.nextBelow(Services));
        spec.team = "team" + std::to_string(m_random.nextBelow(Teams));
        spec.tasks.resize(TasksPerJob);
        (void)m_dispatcher->submit(m_nextJob++, spec);
    }

    void fill(std::size_t tasks)
    {
        while (m_dispatcher->queuedTasks() < tasks)
            submitOne();
    }

    void startAndEndAll()
    {
        std::vector<Start> starts;
        while (const auto start = m_dispatcher->nextStart())
            starts.push_back(*start);
        m_clock.advance(std::chrono::milliseconds(100));
        for (const Start &start : starts)
            m_dispatcher->recordOutcome(start, StartOutcome::Done);
    }

    void decide(std::size_t decision)
    {
        if (decision % TasksPerJob == 0)
            submitOne();
        m_dispatcher->recordOutcome(m_inFlight.front(), StartOutcome::Done);
        m_inFlight.pop_front();
        while (const auto start = m_dispatcher->nextStart())
            m_inFlight.push_back(*start);
    }

    ManualClock m_clock;
    SeededRandom m_random;
    std::unique_ptr<AdaptiveDispatcher> m_dispatcher;
    std::deque<Start> m_inFlight;
    JobNumber m_nextJob = 1;
};

void measure(std::size_t executors, std::size_t queuedTasks)
{
    const Timings timings = DispatchBenchmark(executors, queuedTasks).run();
    std::cout << std::setw(10) << executors << std::setw(10) << queuedTasks << std::fixed
              << std::setprecision(2) << std::setw(12) << timings.meanMicroseconds << std::setw(12)
              << timings.p99Microseconds << std::endl;
}

} // namespace

/// Prints the time of one decision (an ended start, the next start, and its share of a submission)
/// with 200 teams, by number of executors and of queued tasks.
int main()
{
    std::cout << " executors    queued     mean us      p99 us\n";
    for (const std::size_t executors : {100, 400, 1600, 6300})
        measure(executors, 1000);
    for (const std::size_t queued : {10, 100, 1000, 10'000, 100'000})
        measure(6300, queued);
    return 0;
}
