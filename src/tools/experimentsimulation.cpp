#include "experimentsimulation.h"

#include "anvilmill/dispatch/peerdispatcher.h"
#include "anvilmill/manualclock.h"

#include <algorithm>
#include <queue>
#include <unordered_map>

namespace anvilmill::tools {

std::string hostName(std::size_t host)
{
    return "host" + std::to_string(host);
}

namespace {

std::size_t hostNumber(const std::string &name)
{
    return std::stoul(name.substr(hostName(0).size() - 1));
}

constexpr Duration ExecutorLatency = std::chrono::microseconds(400);
constexpr Duration PeerLatency = std::chrono::milliseconds(1);
constexpr Duration FailingRunTime = std::chrono::milliseconds(2);
constexpr double MillisecondsPerSecond = 1000.0;
constexpr std::uint64_t MessagesPerStart = 2;

struct Event
{
    Duration time;
    std::uint64_t sequence;
    std::function<void()> action;
};

struct IsLater
{
    bool operator()(const Event &left, const Event &right) const
    {
        return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
};

struct ExecutorState
{
    const SimulatedExecutor *info = nullptr;
    int running = 0;
};

struct EntryHost
{
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<Dispatcher> dispatcher;
    /// The same dispatcher if it exchanges messages with peers, otherwise nullptr.
    PeerDispatcher *peer = nullptr;
    std::optional<MonotonicTime> wake;
};

class Simulation
{
public:
    Simulation(const Workload &workload, const Policy &policy, std::uint64_t seed)
        : m_workload(workload)
    {
        m_result.jobs.resize(workload.jobs.size());
        m_jobsLeft = workload.jobs.size();
        for (const SimulatedJob &job : workload.jobs)
            m_unansweredTasks.push_back(job.tasks.size());
        for (const SimulatedExecutor &executor : workload.executors) {
            m_executors[executor.name] = {&executor, 0};
            m_infos.push_back({executor.name, executor.slots, {}, false});
        }
        m_workInBusiestPhase.resize(workload.jobs.size());
        findBusiestPhase();
        makeHosts(policy, seed);
        for (std::size_t job = 0; job < workload.jobs.size(); ++job)
            at(workload.jobs[job].arrival, [this, job] { arrive(job); });
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
            at({}, [this, host] { dispatch(host); });
    }

    RunResult run()
    {
        while (!m_events.empty() && m_jobsLeft > 0) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.advance(event.time - now());
            event.action();
        }
        countMessages();
        countGoodput();
        m_result.utilisation =
                m_work / m_workload.capacity() / toSeconds(m_workload.length - m_workload.warmUp);
        return std::move(m_result);
    }

private:
    static double toSeconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void findBusiestPhase()
    {
        Duration begin{};
        double highest = 0.0;
        for (const LoadPhase &phase : m_workload.phases) {
            if (phase.load > highest) {
                highest = phase.load;
                m_busiestBegin = begin;
                m_busiestEnd = begin + phase.length;
            }
            begin += phase.length;
        }
    }

    void makeHosts(const Policy &policy, std::uint64_t seed)
    {
        m_hosts.resize(policy.isCentral ? 1 : m_workload.hosts);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            EntryHost &host = m_hosts[i];
            host.random = std::make_unique<SeededRandom>(seed * m_hosts.size() + i);
            host.dispatcher = policy.make(
                    {m_clock, *host.random, i, m_hosts.size(), m_infos, m_workload.quotas});
            host.peer = dynamic_cast<PeerDispatcher *>(host.dispatcher.get());
        }
    }

    Duration now() const { return m_clock.now().time_since_epoch(); }

    void at(Duration time, std::function<void()> action)
    {
        m_events.push({time, m_sequence++, std::move(action)});
    }

    std::size_t hostOf(std::size_t job) const { return m_workload.jobs[job].host % m_hosts.size(); }

    JobSpec specOf(const SimulatedJob &job) const
    {
        JobSpec spec;
        spec.service = job.service;
        spec.team = job.team;
        spec.isUrgent = job.isUrgent;
        if (job.deadline)
            spec.deadline = m_clock.now() + *job.deadline;
        for (const SimulatedTask &task : job.tasks)
            spec.tasks.push_back({"", task.declared});
        return spec;
    }

    void arrive(std::size_t index)
    {
        const SimulatedJob &job = m_workload.jobs[index];
        const std::size_t host = hostOf(index);
        const auto refusal = m_hosts[host].dispatcher->submit(index, specOf(job));
        if (refusal)
            answer(index, JobResult::State::Refused);
        if (refusal)
            m_result.jobs[index].retryAfter = refusal->retryAfter;
        if (!refusal && job.deadline)
            at(now() + *job.deadline, [this, index] { cancel(index); });
        if (!refusal && job.cancelAfter)
            at(now() + *job.cancelAfter, [this, index] { cancel(index); });
        dispatch(host);
    }

    void cancel(std::size_t index)
    {
        if (m_result.jobs[index].state != JobResult::State::Unanswered)
            return;
        answer(index, JobResult::State::Cancelled);
        m_hosts[hostOf(index)].dispatcher->cancel(index);
    }

    void answer(std::size_t index, JobResult::State state)
    {
        JobResult &result = m_result.jobs[index];
        if (result.state != JobResult::State::Unanswered)
            return;
        --m_jobsLeft;
        result.state = state;
        result.response = now() - m_workload.jobs[index].arrival;
    }

    void dispatch(std::size_t host)
    {
        while (const auto start = m_hosts[host].dispatcher->nextStart())
            send(host, *start);
        if (m_hosts[host].peer)
            sendPeerMessages(host);
        const auto wake = m_hosts[host].dispatcher->nextWakeTime();
        if (!wake || (m_hosts[host].wake && *m_hosts[host].wake <= *wake))
            return;
        m_hosts[host].wake = wake;
        at(std::max(now(), wake->time_since_epoch()), [this, host] {
            m_hosts[host].wake.reset();
            dispatch(host);
        });
    }

    void sendPeerMessages(std::size_t host)
    {
        for (PeerBatch &message : m_hosts[host].peer->takeMessages()) {
            ++m_result.peerMessages;
            const std::size_t receiver = hostNumber(message.receiver);
            at(now() + PeerLatency, [this, host, receiver, batch = std::move(message.batch)] {
                m_hosts[receiver].peer->receive(hostName(host), batch);
                dispatch(receiver);
            });
        }
    }

    void send(std::size_t host, const Start &start)
    {
        const SimulatedJob &job = m_workload.jobs[start.task.job];
        if (!job.isLong && job.team != ExtraLoadTeam && m_workload.isMeasured(job))
            m_result.shortWaits.push_back(toSeconds(now() - job.arrival) * MillisecondsPerSecond);
        at(now() + ExecutorLatency, [this, host, start] { receive(host, start); });
    }

    void receive(std::size_t host, const Start &start)
    {
        ExecutorState &executor = m_executors[start.executor];
        if (executor.running >= executor.info->slots)
            return reply(host, start, StartOutcome::NotStarted);
        ++executor.running;
        const StartOutcome end =
                executor.info->failsAll ? StartOutcome::Failed : StartOutcome::Done;
        const Duration length = runTime(*executor.info, start.task);
        countWork(*executor.info, start.task.job, length);
        at(now() + length, [this, host, start, end] {
            --m_executors[start.executor].running;
            reply(host, start, end);
        });
    }

    Duration runTime(const SimulatedExecutor &executor, const TaskRef &task) const
    {
        if (executor.failsAll)
            return FailingRunTime;
        const Duration work = m_workload.jobs[task.job].tasks[task.index].work;
        return std::chrono::duration_cast<Duration>(work / executor.speed);
    }

    /// Work that a run of \p length from now on does between \p begin and \p end.
    double workWithin(const SimulatedExecutor &executor, Duration length, Duration begin,
                      Duration end) const
    {
        const Duration first = std::max(now(), begin);
        const Duration last = std::min(now() + length, end);
        return executor.failsAll || last <= first ? 0.0 : toSeconds(last - first) * executor.speed;
    }

    void countWork(const SimulatedExecutor &executor, std::size_t job, Duration length)
    {
        m_work += workWithin(executor, length, m_workload.warmUp, m_workload.length);
        m_workInBusiestPhase[job] += workWithin(executor, length, m_busiestBegin, m_busiestEnd);
    }

    void countGoodput()
    {
        double work = 0.0;
        for (std::size_t i = 0; i < m_result.jobs.size(); ++i) {
            const JobResult &result = m_result.jobs[i];
            const auto &deadline = m_workload.jobs[i].deadline;
            const bool isInTime = result.state == JobResult::State::Finished
                                  && (!deadline || result.response <= *deadline);
            work += isInTime ? m_workInBusiestPhase[i] : 0.0;
        }
        m_result.goodput = work / m_workload.capacity() / toSeconds(m_busiestEnd - m_busiestBegin);
    }

    void reply(std::size_t host, const Start &start, StartOutcome end)
    {
        at(now() + ExecutorLatency, [this, host, start, end] { finish(host, start, end); });
    }

    void finish(std::size_t host, const Start &start, StartOutcome end)
    {
        const std::size_t job = start.task.job;
        m_hosts[host].dispatcher->recordOutcome(start, end);
        if (end == StartOutcome::NotStarted)
            m_result.wastedMessages += MessagesPerStart;
        else
            m_result.jobs[job].messages += MessagesPerStart;
        if (end == StartOutcome::Done && --m_unansweredTasks[job] == 0)
            answer(job, JobResult::State::Finished);
        if (end == StartOutcome::Failed) {
            answer(job, JobResult::State::Failed);
            m_hosts[host].dispatcher->cancel(job);
        }
        dispatch(host);
    }

    void countMessages()
    {
        for (const JobResult &job : m_result.jobs) {
            if (job.state == JobResult::State::Finished)
                m_result.usefulMessages += job.messages;
            else if (job.state == JobResult::State::Failed)
                m_result.wastedMessages += job.messages;
        }
    }

    const Workload &m_workload;
    ManualClock m_clock;
    std::vector<ExecutorInfo> m_infos;
    std::vector<EntryHost> m_hosts;
    std::unordered_map<std::string, ExecutorState> m_executors;
    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    std::uint64_t m_sequence = 0;
    std::size_t m_jobsLeft = 0;
    std::vector<std::size_t> m_unansweredTasks;
    double m_work = 0.0;
    std::vector<double> m_workInBusiestPhase;
    Duration m_busiestBegin{};
    Duration m_busiestEnd{};
    RunResult m_result;
};

} // namespace

RunResult simulate(const Workload &workload, const Policy &policy, std::uint64_t seed)
{
    return Simulation(workload, policy, seed).run();
}

} // namespace anvilmill::tools
