#include "anvilmill/dispatch/coordinatordispatcher.h"

#include "coordinatorpeer.h"
#include "coordinatorqueue.h"
#include "dispatchmessages.h"
#include "ownedjobs.h"

#include "anvilmill/dispatch/retrydelay.h"
#include "anvilmill/randomsource.h"

#include <algorithm>
#include <deque>
#include <map>

namespace anvilmill {

namespace {

using wire::dispatch::HeldSlots;
using wire::dispatch::JobOffer;
using wire::dispatch::SlotEnd;
using wire::dispatch::SlotGrant;
using wire::dispatch::SlotReturn;

class CoordinatorDispatcher final : public PeerDispatcher
{
public:
    CoordinatorDispatcher(const Clock &clock, RandomSource &random,
                          const CoordinatorSettings &settings, const std::string &self)
        : m_clock(clock)
        , m_random(random)
        , m_settings(settings)
        , m_self(self)
        , m_coordinator(self)
        , m_members({self})
        , m_queue(clock, random, settings.dispatch)
    {
    }

    void setExecutors(const std::vector<ExecutorInfo> &executors) override
    {
        m_executors = executors;
        m_queue.setExecutors(executors);
    }

    void setMembers(std::uint64_t epoch, const std::vector<std::string> &members) override
    {
        const bool wasCoordinator = isCoordinator();
        const std::vector<std::string> before = m_members;
        m_epoch = epoch;
        m_members = members;
        const std::string coordinator = coordinatorOf(members);
        const bool isSameCoordinator = coordinator == m_coordinator;
        m_coordinator = coordinator;
        for (const std::string &member : before)
            if (member != m_self && (!isSameCoordinator || !isMember(member)))
                m_queue.evict(member, false);
        m_peers.clear();
        for (const std::string &member : members)
            if (member != m_self)
                m_peers[member] = {};
        if (wasCoordinator && isCoordinator())
            return;
        m_mode = isCoordinator() ? Mode::Coordinator : Mode::Joining;
        m_lastReceived = m_clock.now();
        beginSession();
    }

    std::optional<Refusal> submit(JobNumber job, const JobSpec &spec) override
    {
        if (auto refusal = permanentRefusal(spec))
            return refusal;
        if (auto refusal = usesLocalQueue() ? m_queue.admit(spec) : queueTimeRefusal(spec))
            return refusal;
        if (usesLocalQueue())
            m_queue.add(m_self, job, spec, allTasks(spec), {});
        m_jobs.add(job, spec, m_clock.now());
        if (m_mode == Mode::Joined)
            offer(job, *m_jobs.find(job));
        return std::nullopt;
    }

    std::optional<Start> nextStart() override
    {
        checkCoordinatorTimeout();
        evictUnresponsiveMembers();
        while (!m_receivedGrants.empty()) {
            const SlotGrant grant = m_receivedGrants.front();
            m_receivedGrants.pop_front();
            if (auto start = startGranted(grant))
                return start;
        }
        while (usesLocalQueue()) {
            const auto grant = m_queue.nextGrant();
            if (!grant)
                break;
            if (auto start = useGrant(*grant))
                return start;
        }
        return std::nullopt;
    }

    void recordOutcome(const Start &start, StartOutcome end) override
    {
        const auto found = m_starts.find(start.task);
        if (found == m_starts.end())
            return;
        const LocalStart ended = found->second;
        m_starts.erase(found);
        m_jobs.endStart(start.task, end != StartOutcome::NotStarted);
        if (!ended.session)
            m_queue.endGrant(ended.grant, end);
        if (isUnaccounted(ended) && end == StartOutcome::NotStarted)
            requeue(start.task.job);
        if (isUnaccounted(ended))
            releaseHeldSlot(ended.executor);
        else if (ended.session)
            returnSlot(ended.grant, end);
    }

    void cancel(JobNumber job) override
    {
        if (!m_jobs.remove(job))
            return;
        if (usesLocalQueue())
            m_queue.cancel(m_self, job);
        else if (m_mode == Mode::Joined)
            ensureList(pendingBatchOf(m_coordinator).withdrawn)
                    .push_back(static_cast<std::int64_t>(job));
    }

    std::optional<MonotonicTime> nextWakeTime() const override
    {
        std::optional<MonotonicTime> wake;
        if (usesLocalQueue())
            wake = m_queue.nextWakeTime();
        const auto consider = [&wake](MonotonicTime time) {
            if (!wake || time < *wake)
                wake = time;
        };
        for (const auto &[member, peer] : m_peers)
            if (sendsTo(member))
                consider(peer.lastSent
                         + (peer.hasPendingData ? m_settings.batchInterval
                                                : m_settings.heartbeatInterval));
        if (!usesLocalQueue())
            consider(m_lastReceived + m_settings.peerTimeout);
        return wake;
    }

    std::size_t queuedTasks() const override { return m_jobs.unstartedTasks(); }
    std::size_t tasksInFlight() const override { return m_starts.size(); }

    void receive(const std::string &sender, const DispatchBatch &batch) override
    {
        if (static_cast<std::uint64_t>(batch.epoch) != m_epoch || !isMember(sender))
            return;
        if (isCoordinator())
            processMemberBatch(sender, batch);
        else if (sender == m_coordinator)
            processCoordinatorBatch(batch);
    }

    std::vector<PeerBatch> takeMessages() override
    {
        std::vector<PeerBatch> messages;
        for (auto &[member, peer] : m_peers) {
            const Duration minimum =
                    peer.hasPendingData ? m_settings.batchInterval : m_settings.heartbeatInterval;
            if (!sendsTo(member) || m_clock.now() - peer.lastSent < minimum)
                continue;
            messages.push_back({member, takeBatch(peer)});
        }
        return messages;
    }

private:
    /// Joining waits for the coordinator's first batch, which shows that it has adopted the epoch.
    /// Standalone uses this host's share of the slots because the coordinator timed out.
    enum class Mode { Coordinator, Joining, Joined, Standalone };

    [[nodiscard]] bool isCoordinator() const { return m_coordinator == m_self; }
    [[nodiscard]] bool usesLocalQueue() const
    {
        return m_mode == Mode::Coordinator || m_mode == Mode::Standalone;
    }

    [[nodiscard]] bool isMember(const std::string &host) const
    {
        return std::find(m_members.begin(), m_members.end(), host) != m_members.end();
    }

    /// The coordinator sends to every member, a member only to the coordinator.
    [[nodiscard]] bool sendsTo(const std::string &member) const
    {
        return isCoordinator() || (m_mode == Mode::Joined && member == m_coordinator);
    }

    DispatchBatch takeBatch(CoordinatorPeer &peer)
    {
        DispatchBatch batch = std::move(peer.pendingBatch);
        batch.epoch = static_cast<std::int64_t>(m_epoch);
        batch.sequence = ++peer.lastSentSequence;
        if (isCoordinator())
            batch.queueUs = asMicroseconds(m_queue.queueTime());
        peer.pendingBatch = {};
        peer.lastSent = m_clock.now();
        peer.hasPendingData = false;
        return batch;
    }

    DispatchBatch &pendingBatchOf(const std::string &member)
    {
        CoordinatorPeer &peer = m_peers[member];
        peer.hasPendingData = true;
        return peer.pendingBatch;
    }

    /// Records a received batch; returns false if an earlier one was lost.
    bool isInSequence(CoordinatorPeer &peer, const DispatchBatch &batch)
    {
        const bool isNext = batch.sequence == peer.lastReceivedSequence + 1;
        peer.lastReceivedSequence = batch.sequence;
        peer.lastReceived = m_clock.now();
        return isNext;
    }

    std::optional<Refusal> permanentRefusal(const JobSpec &spec) const
    {
        const bool canRun =
                std::any_of(m_executors.begin(), m_executors.end(), [&](const auto &executor) {
                    return !executor.isLeaving
                           && (executor.services.empty()
                               || std::count(executor.services.begin(), executor.services.end(),
                                             spec.service)
                                          > 0);
                });
        if (!canRun)
            return Refusal{Refusal::Cause::NoSuchService,
                           "no executor runs service " + spec.service, std::nullopt};
        if (spec.tasks.size() > m_settings.dispatch.maxTasksPerJob)
            return Refusal{Refusal::Cause::TooLarge,
                           "the job has more than "
                                   + std::to_string(m_settings.dispatch.maxTasksPerJob) + " tasks",
                           std::nullopt};
        return std::nullopt;
    }

    /// Returns a refusal if the queue time that the coordinator last reported is too long.
    std::optional<Refusal> queueTimeRefusal(const JobSpec &spec)
    {
        const Duration wait = spec.isUrgent ? Duration{} : m_coordinatorQueueTime;
        const bool isLate = spec.deadline && m_clock.now() + wait > *spec.deadline;
        if (!isLate && wait <= m_settings.dispatch.maxQueueTime)
            return std::nullopt;
        return Refusal{isLate ? Refusal::Cause::DeadlineUnreachable : Refusal::Cause::QueueFull,
                       "the coordinator's queue is too long", retryDelay(wait, m_random)};
    }

    void checkCoordinatorTimeout()
    {
        if (usesLocalQueue() || m_clock.now() - m_lastReceived < m_settings.peerTimeout)
            return;
        m_mode = Mode::Standalone;
        beginSession();
    }

    /// Frees the slots of unresponsive members; executors refuse starts if they are still in use.
    void evictUnresponsiveMembers()
    {
        for (auto &[member, peer] : m_peers) {
            if (!peer.isInSync || m_clock.now() - peer.lastReceived < m_settings.peerTimeout)
                continue;
            peer.isInSync = false;
            m_queue.evict(member, false);
        }
    }

    /// Starts a session: queues all unstarted tasks again, here or at the coordinator.
    void beginSession()
    {
        ++m_session;
        countHeldSlots();
        m_receivedGrants.clear();
        m_queue.evict(m_self, true);
        m_queue.setSharingHosts(m_mode == Mode::Standalone ? m_members.size() : 1);
        if (usesLocalQueue())
            queueLocalJobs();
        else if (m_mode == Mode::Joined)
            offerAllJobs();
    }

    /// True if the queue that now orders this host's tasks does not account for the start.
    [[nodiscard]] bool isUnaccounted(const LocalStart &start) const
    {
        if (usesLocalQueue())
            return start.session.has_value();
        return !start.session || *start.session != m_session;
    }

    void queueLocalJobs()
    {
        for (const auto &[executor, count] : m_heldSlots)
            m_queue.setHeldSlots(m_self, executor, count);
        for (const auto &[number, job] : m_jobs.all()) {
            const std::vector<std::uint32_t> indexes = job.unstartedTasks();
            if (!indexes.empty())
                m_queue.add(m_self, number, subsetOf(job, indexes), indexes,
                            m_clock.now() - job.submitted);
        }
    }

    void offerAllJobs()
    {
        DispatchBatch &batch = pendingBatchOf(m_coordinator);
        batch = {};
        batch.reset = true;
        for (const auto &[executor, count] : m_heldSlots)
            ensureList(batch.held).push_back({count, executor});
        for (const auto &[number, job] : m_jobs.all())
            if (job.unstarted > 0)
                offer(number, job);
    }

    /// Queues a job's tasks again after a refused start that the current queue did not grant.
    void requeue(JobNumber number)
    {
        const OwnedJob *job = m_jobs.find(number);
        if (!job)
            return;
        const std::vector<std::uint32_t> indexes = job->unstartedTasks();
        if (usesLocalQueue())
            m_queue.add(m_self, number, subsetOf(*job, indexes), indexes,
                        m_clock.now() - job->submitted);
        else if (m_mode == Mode::Joined)
            offer(number, *job);
    }

    void countHeldSlots()
    {
        m_heldSlots.clear();
        for (const auto &[task, start] : m_starts)
            if (isUnaccounted(start))
                ++m_heldSlots[start.executor];
    }

    void offer(JobNumber number, const OwnedJob &job)
    {
        ensureList(pendingBatchOf(m_coordinator).offers)
                .push_back(offerOf(number, job, m_clock.now()));
    }

    void returnSlot(std::uint64_t grant, StartOutcome end)
    {
        SlotReturn entry;
        entry.grant = static_cast<std::int64_t>(grant);
        entry.end = asSlotEnd(end);
        ensureList(pendingBatchOf(m_coordinator).returns).push_back(entry);
    }

    void releaseHeldSlot(const std::string &executor)
    {
        const auto held = m_heldSlots.find(executor);
        if (held == m_heldSlots.end())
            return;
        const int count = --held->second;
        if (count == 0)
            m_heldSlots.erase(held);
        if (usesLocalQueue())
            m_queue.setHeldSlots(m_self, executor, count);
        else if (m_mode == Mode::Joined)
            ensureList(pendingBatchOf(m_coordinator).held).push_back({count, executor});
    }

    /// Starts a task of this host, or adds the grant to the next batch to the task's host.
    std::optional<Start> useGrant(const QueueGrant &grant)
    {
        if (grant.host != m_self) {
            SlotGrant entry;
            entry.grant = static_cast<std::int64_t>(grant.id);
            entry.job = static_cast<std::int64_t>(grant.task.job);
            entry.task = grant.task.index;
            entry.executor = grant.executor;
            ensureList(pendingBatchOf(grant.host).grants).push_back(std::move(entry));
            return std::nullopt;
        }
        if (!m_jobs.beginStart(grant.task)) {
            m_queue.endGrant(grant.id, StartOutcome::NotStarted);
            return std::nullopt;
        }
        m_starts[grant.task] = {grant.executor, grant.id, std::nullopt};
        return Start{grant.task, grant.executor};
    }

    /// If the task must not start any more, returns its slot to the coordinator and starts no task.
    std::optional<Start> startGranted(const SlotGrant &grant)
    {
        const TaskRef task{static_cast<JobNumber>(grant.job),
                           static_cast<std::uint32_t>(grant.task)};
        const auto id = static_cast<std::uint64_t>(grant.grant);
        if (!m_jobs.beginStart(task)) {
            returnSlot(id, StartOutcome::NotStarted);
            return std::nullopt;
        }
        m_starts[task] = {grant.executor, id, m_session};
        return Start{task, grant.executor};
    }

    void processMemberBatch(const std::string &sender, const DispatchBatch &batch)
    {
        CoordinatorPeer &peer = m_peers[sender];
        const bool isReset = batch.reset.value_or(false);
        const bool isNext = isInSequence(peer, batch);
        if (!isReset && (!peer.isInSync || !isNext)) {
            peer.isInSync = false;
            pendingBatchOf(sender).resync = true;
            return;
        }
        peer.isInSync = true;
        if (isReset)
            m_queue.evict(sender, false);
        for (const std::int64_t job : batch.withdrawn.value_or(std::vector<std::int64_t>{}))
            m_queue.cancel(sender, static_cast<JobNumber>(job));
        for (const HeldSlots &held : batch.held.value_or(std::vector<HeldSlots>{}))
            m_queue.setHeldSlots(sender, held.executor, static_cast<int>(held.count));
        for (const SlotReturn &entry : batch.returns.value_or(std::vector<SlotReturn>{}))
            m_queue.endGrant(static_cast<std::uint64_t>(entry.grant), asStartOutcome(entry.end));
        for (const JobOffer &entry : batch.offers.value_or(std::vector<JobOffer>{}))
            queueOffer(sender, entry);
    }

    void queueOffer(const std::string &sender, const JobOffer &entry)
    {
        std::vector<std::uint32_t> indexes = tasksOf(entry);
        const JobSpec spec = specOf(entry);
        if (indexes.size() != spec.tasks.size() || spec.tasks.empty())
            return;
        m_queue.add(sender, static_cast<JobNumber>(entry.job), spec, std::move(indexes),
                    std::chrono::microseconds(entry.waitedUs));
    }

    void processCoordinatorBatch(const DispatchBatch &batch)
    {
        m_lastReceived = m_clock.now();
        if (batch.queueUs)
            m_coordinatorQueueTime = std::chrono::microseconds(*batch.queueUs);
        const bool isNext = isInSequence(m_peers[m_coordinator], batch);
        if (m_mode != Mode::Joined || !isNext || batch.resync.value_or(false)) {
            // The grants in this batch precede the reset, on which the coordinator discards them.
            m_mode = Mode::Joined;
            beginSession();
            return;
        }
        for (const SlotGrant &grant : batch.grants.value_or(std::vector<SlotGrant>{}))
            m_receivedGrants.push_back(grant);
    }

    const Clock &m_clock;
    RandomSource &m_random;
    CoordinatorSettings m_settings;
    std::string m_self;
    std::string m_coordinator;
    std::vector<std::string> m_members;
    std::uint64_t m_epoch = 0;
    /// Increases with each session; grants of earlier sessions are no longer valid.
    std::uint64_t m_session = 0;
    Mode m_mode = Mode::Coordinator;
    std::vector<ExecutorInfo> m_executors;
    CoordinatorQueue m_queue;
    OwnedJobs m_jobs;
    std::map<TaskRef, LocalStart> m_starts;
    std::map<std::string, int> m_heldSlots;
    std::deque<SlotGrant> m_receivedGrants;
    std::map<std::string, CoordinatorPeer> m_peers;
    MonotonicTime m_lastReceived;
    Duration m_coordinatorQueueTime{};
};

} // namespace

std::unique_ptr<PeerDispatcher> makeCoordinatorDispatcher(const Clock &clock, RandomSource &random,
                                                          const CoordinatorSettings &settings,
                                                          const std::string &self)
{
    return std::make_unique<CoordinatorDispatcher>(clock, random, settings, self);
}

} // namespace anvilmill
