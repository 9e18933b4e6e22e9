#pragma once

#include "fakes/fakebatchoutput.h"

#include "anvilmill/manualclock.h"
#include "anvilmill/randomsource.h"
#include "anvilmill/scheduling/batchscheduler.h"
#include "anvilmill/scheduling/capacityoffers.h"
#include "anvilmill/scheduling/capacityreportintervals.h"
#include "anvilmill/scheduling/capacityview.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::tests {

/// Simulation of the entry hosts of one data centre that share its executors. Each executor has a
/// holder that accepts or refuses starts; the other hosts receive reports of its free capacity some
/// milliseconds later. The jobs are those of a users' site: many short tasks, several long tasks,
/// or few tasks; the first kind is the most urgent.
class SharedExecutors
{
public:
    /// What the hosts tell each other of the urgency of waiting jobs.
    enum class Urgency { Shared, NotShared };
    enum class Priorities { Equal, ByKind };

    SharedExecutors(std::size_t hosts, std::size_t executors,
                    Priorities priorities = Priorities::Equal, Urgency urgency = Urgency::Shared)
        : m_urgency(urgency)
    {
        for (std::size_t i = 0; i < executors; ++i)
            m_free.push_back(CpuPerExecutor);
        m_hosts.resize(hosts);
        for (std::size_t i = 0; i < hosts; ++i)
            addHost(m_hosts[i], i);
        RoutePolicy policy;
        policy.service = "desk";
        policy.stretch = 2.0;
        policy.target = std::chrono::milliseconds(60);
        for (int priority = 0; priority < Kinds; ++priority) {
            policy.route = "kind" + std::to_string(priority);
            policy.priority = priorities == Priorities::ByKind ? priority : 0;
            m_policies.push_back(std::make_shared<const RoutePolicy>(policy));
        }
    }

    /// Simulates jobs that together need \p load times the capacity of all executors.
    void run(double load, Duration length)
    {
        m_jobsPerSecond =
                load * static_cast<double>(m_free.size()) * TasksPerExecutor / MeanJobWork;
        scheduleNextJob();
        reportAll();
        const MonotonicTime end = m_clock.now() + length;
        while (m_clock.now() < end) {
            m_clock.advance(Step);
            fireDue();
            shareUrgency();
            place();
            measureUse();
        }
    }

    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t remoteStarts() const { return m_remoteStarts; }
    [[nodiscard]] std::size_t refusals() const { return m_refusals; }
    /// Response time within which \p share of the completed jobs of the most urgent kind ended.
    [[nodiscard]] Duration urgentResponseTime(double share)
    {
        std::sort(m_urgentTimes.begin(), m_urgentTimes.end());
        return m_urgentTimes.at(
                static_cast<std::size_t>(share * static_cast<double>(m_urgentTimes.size() - 1)));
    }
    /// Mean share of the capacity that was in use.
    [[nodiscard]] double use() const { return m_usedSteps / static_cast<double>(m_steps); }

private:
    static constexpr std::int64_t CpuPerExecutor = 32000;
    static constexpr std::int64_t CpuPerTask = 16000;
    static constexpr double SlowestSpeed = 0.75;
    static constexpr double SpeedRange = 0.5;
    static constexpr std::size_t SpeedCycle = 11;
    static constexpr int Kinds = 3;
    static constexpr double TasksPerExecutor = 2.0;
    static constexpr Duration Step = std::chrono::milliseconds(1);
    static constexpr Duration HostDelay = std::chrono::milliseconds(1);
    /// Delay after which changed capacity is offered to a waiting host.
    static constexpr Duration OfferDelay = std::chrono::milliseconds(4);
    /// Interval of the reports of all capacity, changed or not.
    static constexpr Duration FullReportInterval = std::chrono::milliseconds(250);
    /// Work of an average job in task-seconds, for the jobs of submit().
    static constexpr double MeanJobWork = (181 * 8 * 0.051 + 33 * 4 * 0.76 + 528 * 2 * 0.17) / 742;

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
            // All hosts have the same speed estimates.
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

    void scheduleNextJob()
    {
        const double seconds = -std::log(1.0 - m_random.nextUnit()) / m_jobsPerSecond;
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this] {
            submit();
            scheduleNextJob();
        });
    }

    void submit()
    {
        const double kind = m_random.nextUnit() * 742;
        BatchJob job;
        job.id = "job" + std::to_string(++m_lastJob);
        const int priority = kind < 181 ? 0 : kind < 214 ? 2 : 1;
        job.route = m_policies[static_cast<std::size_t>(priority)];
        if (priority == 0)
            m_urgentArrivals[m_lastJob] = m_clock.now();
        const std::size_t tasks = kind < 181 ? 8 : kind < 214 ? 4 : 2;
        const int millis = kind < 181 ? 51 : kind < 214 ? 760 : 170;
        job.spec = std::make_shared<const std::string>(std::to_string(millis));
        job.tasks.assign(tasks, {{CpuPerTask, 0, 0}, std::chrono::milliseconds(millis)});
        job.arrived = m_clock.now();
        job.deadline = job.arrived + std::chrono::milliseconds(1500);
        Host &host = m_hosts[m_lastJob % m_hosts.size()];
        (void)host.scheduler->submit(m_lastJob, std::move(job));
    }

    void recordEnds(Host &host)
    {
        for (const auto &[job, result] : host.output->ends) {
            const auto arrival = m_urgentArrivals.find(job);
            if (arrival != m_urgentArrivals.end() && result.end == BatchEnd::Completed)
                m_urgentTimes.push_back(m_clock.now() - arrival->second);
        }
        host.output->ends.clear();
    }

    /// Each host knows the most urgent waiting jobs of the others a moment later.
    void shareUrgency()
    {
        if (m_urgency == Urgency::NotShared)
            return;
        for (Host &host : m_hosts) {
            std::optional<WaitingUrgency> most;
            for (const Host &other : m_hosts) {
                const auto urgency = other.scheduler->waitingUrgency();
                if (&other != &host && urgency && (!most || urgency->isBefore(*most)))
                    most = urgency;
            }
            after(HostDelay, [&host, most] { host.scheduler->setOthersUrgency(most); });
        }
    }

    /// The hosts whose waiting jobs are the most urgent, other than \p holder.
    [[nodiscard]] std::vector<std::string> mostUrgentHosts(const Host &holder) const
    {
        std::vector<std::string> hosts;
        std::optional<WaitingUrgency> most;
        for (const Host &host : m_hosts) {
            const auto urgency = host.scheduler->waitingUrgency();
            if (&host == &holder || !urgency)
                continue;
            const bool isMoreUrgent =
                    m_urgency == Urgency::Shared && most && urgency->isBefore(*most);
            if (isMoreUrgent)
                hosts.clear();
            if (!most || isMoreUrgent)
                most = urgency;
            if (m_urgency == Urgency::NotShared || *urgency == *most)
                hosts.push_back(host.name);
        }
        return hosts;
    }

    void place()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].scheduler->expire();
            m_hosts[i].scheduler->place();
            const std::vector<TaskStart> starts = std::move(m_hosts[i].output->starts);
            m_hosts[i].output->starts.clear();
            for (const TaskStart &start : starts)
                sendStart(i, start);
        }
    }

    void sendStart(std::size_t host, const TaskStart &start)
    {
        ++m_starts;
        if (holderOf(start.executor) == host) {
            handleStart(host, start, {});
            return;
        }
        ++m_remoteStarts;
        after(HostDelay, [this, host, start] { handleStart(host, start, HostDelay); });
    }

    void handleStart(std::size_t host, const TaskStart &start, Duration delay)
    {
        std::int64_t &free = m_free[start.executor];
        if (free < start.demand.milliCores) {
            ++m_refusals;
            after(delay, [this, host, start] { startRefused(host, start); });
            return;
        }
        free -= start.demand.milliCores;
        reportCapacity(start.executor, delay);
        after(delay,
              [this, host, run = start.run] { m_hosts[host].scheduler->startAccepted(run); });
        after(workOf(start), [this, host, start, delay] {
            m_free[start.executor] += start.demand.milliCores;
            reportCapacity(start.executor, delay);
            after(delay, [this, host, run = start.run] {
                m_hosts[host].scheduler->runEnded({run, RunOutcome::Done, std::nullopt});
                recordEnds(m_hosts[host]);
            });
        });
    }

    /// The refusal carries the free capacity of all executors of the holder.
    void startRefused(std::size_t host, const TaskStart &start)
    {
        m_hosts[host].scheduler->startRefused(start.run);
        for (std::size_t i = 0; i < m_free.size(); ++i) {
            if (holderOf(i) == holderOf(start.executor))
                m_hosts[host].view->report(
                        {"e" + std::to_string(i), {m_free[i], 0, 0}, holderName(i)});
        }
    }

    /// Reports to the holder's own view immediately, to a waiting host after OfferDelay, to the
    /// others after the interval of the reports of changes.
    void reportCapacity(std::size_t executor, Duration delay)
    {
        const CapacityReport report{
                "e" + std::to_string(executor), {m_free[executor], 0, 0}, holderName(executor)};
        Host &holder = m_hosts[holderOf(executor)];
        holder.view->report(report);
        after(OfferDelay, [this, &holder, executor] { offer(holder, executor); });
        after(changeReportInterval(m_hosts.size() - 1) + HostDelay + delay, [this, report] {
            const std::vector<std::string> urgent =
                    mostUrgentHosts(m_hosts[std::stoul(report.holder.substr(1))]);
            for (Host &host : m_hosts) {
                const bool isOffered =
                        std::find(urgent.begin(), urgent.end(), host.name) != urgent.end()
                        && report.freeCapacity.milliCores > 0;
                if (host.name != report.holder && !isOffered)
                    host.view->report(report);
            }
        });
    }

    void reportAll()
    {
        for (std::size_t i = 0; i < m_free.size(); ++i) {
            const CapacityReport report{"e" + std::to_string(i), {m_free[i], 0, 0}, holderName(i)};
            after(HostDelay, [this, report] {
                for (Host &host : m_hosts)
                    host.view->report(report);
            });
        }
        after(FullReportInterval, [this] { reportAll(); });
    }

    void offer(Host &holder, std::size_t executor)
    {
        const CapacityReport report{
                "e" + std::to_string(executor), {m_free[executor], 0, 0}, holder.name};
        for (const auto &[name, capacities] : holder.offers.distribute(
                     {{report.executor, report.freeCapacity}}, mostUrgentHosts(holder))) {
            Host &host = m_hosts[std::stoul(name.substr(1))];
            after(HostDelay, [&host, report] { host.view->report(report); });
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
    Urgency m_urgency;
    std::vector<std::shared_ptr<const RoutePolicy>> m_policies;
    std::map<JobNumber, MonotonicTime> m_urgentArrivals;
    std::vector<Duration> m_urgentTimes;
    std::vector<std::int64_t> m_free;
    std::vector<Host> m_hosts;
    std::multimap<MonotonicTime, std::function<void()>> m_due;
    double m_jobsPerSecond = 0.0;
    double m_usedSteps = 0.0;
    std::size_t m_steps = 0;
    std::size_t m_starts = 0;
    std::size_t m_remoteStarts = 0;
    std::size_t m_refusals = 0;
    JobNumber m_lastJob = 0;
};

} // namespace anvilmill::tests
