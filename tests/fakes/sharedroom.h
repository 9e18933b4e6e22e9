#pragma once

#include "fakes/fakebatchoutput.h"

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityoffers.h"
#include "anvilmill/scheduling/capacityview.h"

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilmill::tests {

/// Entry hosts of one data centre that share its executors: each executor has a holder, whose
/// word counts, and the other hosts hear of its room some milliseconds later. Jobs are the mix of
/// a users' site: wide and short, wide and long, narrow.
class SharedRoom
{
public:
    SharedRoom(std::size_t hosts, std::size_t executors)
    {
        for (std::size_t i = 0; i < executors; ++i)
            m_free.push_back(CpuPerExecutor);
        m_hosts.resize(hosts);
        for (std::size_t i = 0; i < hosts; ++i)
            addHost(m_hosts[i], i);
        m_policy.route = "mix";
        m_policy.service = "desk";
        m_policy.stretch = 2.0;
        m_policy.target = std::chrono::milliseconds(60);
    }

    /// Plays jobs that would use \p load of all room.
    void run(double load, Duration length)
    {
        m_jobsASecond = load * static_cast<double>(m_free.size()) * TasksPerExecutor / MixWork;
        sendNext();
        tellAll();
        const MonotonicTime end = m_clock.now() + length;
        while (m_clock.now() < end) {
            m_clock.advance(Step);
            fireDue();
            place();
            measureUse();
        }
    }

    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t remoteStarts() const { return m_remoteStarts; }
    [[nodiscard]] std::size_t refusals() const { return m_refusals; }
    /// Mean share of the room that was in use.
    [[nodiscard]] double use() const { return m_usedSteps / static_cast<double>(m_steps); }

private:
    static constexpr std::int64_t CpuPerExecutor = 32000;
    static constexpr std::int64_t CpuPerTask = 16000;
    static constexpr double SlowestSpeed = 0.75;
    static constexpr double SpeedRange = 0.5;
    static constexpr std::size_t SpeedCycle = 11;
    static constexpr double TasksPerExecutor = 2.0;
    static constexpr Duration Step = std::chrono::milliseconds(1);
    static constexpr Duration Hop = std::chrono::milliseconds(1);
    /// Changes of this time are offered to waiting hosts together.
    static constexpr Duration OfferDelay = std::chrono::milliseconds(4);
    /// All room, changed or not.
    static constexpr Duration AllInterval = std::chrono::milliseconds(250);
    /// Interval of the tellings, and the way.
    static constexpr Duration RoomDelay = std::chrono::milliseconds(26);
    /// Executor-seconds of a mean job of the mix below.
    static constexpr double MixWork = (181 * 8 * 0.051 + 33 * 4 * 0.76 + 528 * 2 * 0.17) / 742;

    struct Host
    {
        std::string name;
        std::unique_ptr<CapacityView> view;
        std::unique_ptr<FakeBatchOutput> output;
        std::unique_ptr<BatchScheduler> scheduler;
        CapacityOffers offers;
    };

    void addHost(Host &host, std::size_t number)
    {
        host.name = "h" + std::to_string(number);
        host.view = std::make_unique<CapacityView>(m_clock, "a", std::chrono::hours(1));
        host.view->setOwnDataCentreFirst(true);
        host.view->setPreferredHost(host.name);
        host.output = std::make_unique<FakeBatchOutput>();
        host.scheduler =
                std::make_unique<BatchScheduler>(m_clock, m_random, *host.view, *host.output);
        host.scheduler->setShare(1.0 / static_cast<double>(m_hosts.size()));
        for (std::size_t i = 0; i < m_free.size(); ++i) {
            ExecutorRegistration registration;
            registration.id = "e" + std::to_string(i);
            registration.service = "desk";
            registration.dataCentre = "a";
            registration.capacity = {CpuPerExecutor, 0, 0};
            host.view->update(registration);
            host.view->report({registration.id, {CpuPerExecutor, 0, 0}, holderName(i)});
            // As hosts learn them: the same executors are fast for all.
            host.view->setSpeed(i, SlowestSpeed
                                           + SpeedRange * static_cast<double>(i % SpeedCycle)
                                                     / static_cast<double>(SpeedCycle));
        }
    }

    [[nodiscard]] std::size_t holderOf(std::size_t executor) const
    {
        return executor % m_hosts.size();
    }

    [[nodiscard]] std::string holderName(std::size_t executor) const
    {
        return "h" + std::to_string(holderOf(executor));
    }

    void after(Duration delay, std::function<void()> task)
    {
        m_due.emplace(m_clock.now() + delay, std::move(task));
    }

    void fireDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_clock.now()) {
            const auto task = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            task();
        }
    }

    void sendNext()
    {
        const double seconds = -std::log(1.0 - m_random.nextUnit()) / m_jobsASecond;
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this] {
            submit();
            sendNext();
        });
    }

    void submit()
    {
        const double kind = m_random.nextUnit() * 742;
        BatchJob job;
        job.id = "job" + std::to_string(++m_lastJob);
        job.route = std::make_shared<const RoutePolicy>(m_policy);
        const std::size_t tasks = kind < 181 ? 8 : kind < 214 ? 4 : 2;
        const int millis = kind < 181 ? 51 : kind < 214 ? 760 : 170;
        job.spec = std::make_shared<const std::string>(std::to_string(millis));
        job.tasks.assign(tasks, {{CpuPerTask, 0, 0}, std::chrono::milliseconds(millis)});
        job.arrived = m_clock.now();
        job.deadline = job.arrived + std::chrono::milliseconds(1500);
        Host &host = m_hosts[m_lastJob % m_hosts.size()];
        (void)host.scheduler->submit(m_lastJob, std::move(job));
    }

    void place()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].scheduler->expire();
            m_hosts[i].scheduler->place();
            const std::vector<TaskStart> starts = std::move(m_hosts[i].output->starts);
            m_hosts[i].output->starts.clear();
            for (const TaskStart &start : starts)
                order(i, start);
        }
    }

    void order(std::size_t host, const TaskStart &start)
    {
        ++m_starts;
        if (holderOf(start.executor) == host) {
            decide(host, start, {});
            return;
        }
        ++m_remoteStarts;
        after(Hop, [this, host, start] { decide(host, start, Hop); });
    }

    void decide(std::size_t host, const TaskStart &start, Duration way)
    {
        std::int64_t &free = m_free[start.executor];
        if (free < start.demand.milliCores) {
            ++m_refusals;
            after(way,
                  [this, host, run = start.run] { m_hosts[host].scheduler->startRefused(run); });
            return;
        }
        free -= start.demand.milliCores;
        tell(start.executor, way);
        after(way, [this, host, run = start.run] { m_hosts[host].scheduler->startAccepted(run); });
        after(workOf(start), [this, host, start, way] {
            m_free[start.executor] += start.demand.milliCores;
            tell(start.executor, way);
            after(way, [this, host, run = start.run] {
                m_hosts[host].scheduler->runEnded({run, RunOutcome::Done, std::nullopt});
            });
        });
    }

    /// The holder knows at once, a host whose jobs wait soon, the others later.
    void tell(std::size_t executor, Duration way)
    {
        const CapacityReport report{
                "e" + std::to_string(executor), {m_free[executor], 0, 0}, holderName(executor)};
        Host &holder = m_hosts[holderOf(executor)];
        holder.view->report(report);
        after(OfferDelay, [this, &holder, executor] { offer(holder, executor); });
        after(RoomDelay + way, [this, report] {
            for (Host &host : m_hosts) {
                const bool isOffered =
                        host.scheduler->waitingJobs() > 0 && report.room.milliCores > 0;
                if (host.name != report.holder && !isOffered)
                    host.view->report(report);
            }
        });
    }

    void tellAll()
    {
        for (std::size_t i = 0; i < m_free.size(); ++i) {
            const CapacityReport report{"e" + std::to_string(i), {m_free[i], 0, 0}, holderName(i)};
            after(Hop, [this, report] {
                for (Host &host : m_hosts)
                    host.view->report(report);
            });
        }
        after(AllInterval, [this] { tellAll(); });
    }

    void offer(Host &holder, std::size_t executor)
    {
        const CapacityReport report{
                "e" + std::to_string(executor), {m_free[executor], 0, 0}, holder.name};
        std::vector<std::string> waiting;
        for (const Host &host : m_hosts) {
            if (host.name != holder.name && host.scheduler->waitingJobs() > 0)
                waiting.push_back(host.name);
        }
        for (const auto &[name, rooms] :
             holder.offers.distribute({{report.executor, report.room}}, waiting)) {
            Host &host = m_hosts[std::stoul(name.substr(1))];
            after(Hop, [&host, report] { host.view->report(report); });
        }
    }

    [[nodiscard]] static Duration workOf(const TaskStart &start)
    {
        return std::chrono::milliseconds(std::stol(*start.spec));
    }

    void measureUse()
    {
        double free = 0.0;
        for (const std::int64_t cpu : m_free)
            free += static_cast<double>(cpu);
        m_usedSteps +=
                1.0
                - free / static_cast<double>(CpuPerExecutor) / static_cast<double>(m_free.size());
        ++m_steps;
    }

    ManualClock m_clock;
    SeededRandom m_random{5};
    RoutePolicy m_policy;
    std::vector<std::int64_t> m_free;
    std::vector<Host> m_hosts;
    std::multimap<MonotonicTime, std::function<void()>> m_due;
    double m_jobsASecond = 0.0;
    double m_usedSteps = 0.0;
    std::size_t m_steps = 0;
    std::size_t m_starts = 0;
    std::size_t m_remoteStarts = 0;
    std::size_t m_refusals = 0;
    JobNumber m_lastJob = 0;
};

} // namespace anvilmill::tests
