#include "admissionstate.h"
#include "recordcodec.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr std::size_t RecordsPerBatch = 2000;
// More than a host can have, with maxRecords records of its own.
constexpr std::int64_t MaxBatches = 1000;
// Limits how long one call of tick() holds the lock of a shard.
constexpr std::size_t ExpiriesPerTick = 4096;

} // namespace

/// Groups the records of this host by the members that store them in a new view.
class Admission::State::TransferWriter
{
public:
    TransferWriter(const Placement &placement, const HostIncarnation &self,
                   const HostNumbers &hosts, MonotonicTime now)
        : m_placement(placement)
        , m_self(self)
        , m_hosts(hosts)
        , m_now(now)
    {
        for (std::size_t i = 0; i < placement.view().members.size(); ++i)
            m_writers.emplace_back(hosts, now);
    }

    void add(const KeyFingerprint &key, const ClaimRecord &record)
    {
        const View &view = m_placement.view();
        const bool isTicketOfMember =
                record.issuer != NoHost && view.contains(m_hosts.host(record.issuer));
        if (!record.isHomedHere || isTicketOfMember)
            return;
        const Placement::Hosts hosts = m_placement.hostsOf(key);
        addFor(hosts.directory, key, record);
        if (!hasCopyBesides(hosts.directory, record))
            addFor(hosts.backup, key, record);
    }

    RecordsByMember take(const ViewHistory &history)
    {
        RecordsByMember result;
        for (std::size_t i = 0; i < m_writers.size(); ++i) {
            const HostIncarnation &member = m_placement.member(i);
            if (member == m_self)
                continue;
            flush(i);
            std::vector<wire::admission::RecordColumns> &columns = m_full[i];
            TransferTracker::Batches batches(columns.size());
            for (std::size_t number = 0; number < columns.size(); ++number) {
                wire::admission::Handover &batch = batches[number];
                batch.epoch = static_cast<std::int64_t>(m_placement.view().epoch);
                batch.batch = static_cast<std::int64_t>(number);
                batch.batches = static_cast<std::int64_t>(columns.size());
                batch.records = std::move(columns[number]);
                history.write(batch, m_now);
            }
            result.emplace(member, std::move(batches));
        }
        return result;
    }

private:
    /// True if a member other than the directory holds the claim and therefore has a record of it.
    [[nodiscard]] bool hasCopyBesides(std::size_t directory, const ClaimRecord &record) const
    {
        if (!record.isHeld() || directory == Placement::None)
            return false;
        const HostIncarnation &holder = m_hosts.host(record.holder);
        return holder != m_placement.member(directory) && m_placement.view().contains(holder);
    }

    void addFor(std::size_t member, const KeyFingerprint &key, const ClaimRecord &record)
    {
        if (member == Placement::None || m_placement.member(member) == m_self)
            return;
        m_writers[member].add(key, record);
        if (m_writers[member].size() >= RecordsPerBatch)
            flush(member);
    }

    void flush(std::size_t member)
    {
        std::vector<wire::admission::RecordColumns> &full = m_full[member];
        if (m_writers[member].size() > 0 || full.empty())
            full.push_back(m_writers[member].take());
    }

    const Placement &m_placement;
    const HostIncarnation &m_self;
    const HostNumbers &m_hosts;
    MonotonicTime m_now;
    std::deque<RecordWriter> m_writers;
    std::map<std::size_t, std::vector<wire::admission::RecordColumns>> m_full;
};

Admission::State::OwnView::OwnView(View view, const HostIncarnation &self)
    : placement(std::move(view))
{
    const std::vector<HostIncarnation> &members = placement.view().members;
    const auto found = std::find(members.begin(), members.end(), self);
    if (found != members.end())
        selfIndex = static_cast<std::size_t>(found - members.begin());
}

std::int64_t Admission::State::OwnView::epoch() const noexcept
{
    return static_cast<std::int64_t>(placement.view().epoch);
}

void Admission::State::viewAdopted(const View &view)
{
    Effects effects;
    adopt(view, effects);
    checkReady(effects);
    carryOut(effects);
}

void Admission::State::adopt(const View &view, Effects &effects)
{
    const std::lock_guard<std::mutex> adoptGuard(m_adoptLock);
    const auto next = std::make_shared<OwnView>(view, m_self);
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        if (m_view && m_view->placement.view().epoch >= view.epoch)
            return;
        std::optional<View> previous;
        if (m_view)
            previous = m_view->placement.view();
        m_history.follow(previous, view);
        m_view = next;
    }
    for (const HostIncarnation &member : view.members)
        m_hosts.addMember(member);
    const MonotonicTime now = m_clock.now();
    TransferWriter writer(next->placement, m_self, m_hosts, now);
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        adoptLocked(*shard, next, writer, effects);
    }
    const std::lock_guard<std::mutex> guard(m_viewLock);
    m_transfers.start(view, m_self, writer.take(m_history), now, effects);
}

void Admission::State::adoptLocked(Shard &shard, const std::shared_ptr<OwnView> &view,
                                   TransferWriter &writer, Effects &effects)
{
    shard.view = view;
    shard.copies.clear();
    for (const auto &[key, record] : shard.records)
        writer.add(key, record);
    resendLocked(shard, m_self.dataCentre, effects);
}

void Admission::State::resendLocked(Shard &shard, const std::string &dataCentre, Effects &effects)
{
    std::vector<ClaimReply> replies;
    for (auto &[key, pending] : shard.pending) {
        if (pending.home != dataCentre)
            continue;
        if (std::optional<ClaimReply> reply = dispatchLocked(shard, pending, effects))
            replies.push_back(std::move(*reply));
    }
    for (const ClaimReply &reply : replies)
        resolveLocked(shard, reply, effects);
}

void Admission::State::updateRemoteView(const std::string &dataCentre, const View &view)
{
    if (dataCentre == m_self.dataCentre)
        return;
    {
        const std::lock_guard<std::mutex> guard(m_remoteLock);
        std::shared_ptr<const Placement> &current = m_remoteViews[dataCentre];
        if (current && current->view().epoch >= view.epoch)
            return;
        current = std::make_shared<const Placement>(view);
    }
    for (const HostIncarnation &member : view.members)
        m_hosts.addMember(member);
    Effects effects;
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        resendLocked(*shard, dataCentre, effects);
    }
    carryOut(effects);
}

bool Admission::State::isMember(const HostIncarnation &host, std::int64_t epoch) const
{
    const std::lock_guard<std::mutex> guard(m_viewLock);
    return m_view && m_view->epoch() == epoch && m_view->placement.view().contains(host);
}

bool Admission::State::isPlausible(const HostIncarnation &from,
                                   const wire::admission::Handover &handover)
{
    const auto hasNumber = [this](const wire::admission::Host &host) {
        return m_hosts.numberOf(fromWire(host)).has_value();
    };
    const auto isTransition = [&](const wire::admission::Transition &transition) {
        return transition.epoch <= handover.epoch
               && std::all_of(transition.lost.begin(), transition.lost.end(), hasNumber);
    };
    return handover.batch >= 0 && handover.batch < handover.batches
           && handover.batches <= MaxBatches && handover.settledEpoch <= handover.epoch
           && m_hosts.numberOf(from)
           && std::all_of(handover.transitions.begin(), handover.transitions.end(), isTransition);
}

void Admission::State::receive(const HostIncarnation &from,
                               const wire::admission::Handover &handover)
{
    bool isCurrent = true;
    const auto storeRecord = [&](const KeyFingerprint &key, const ClaimRecord &record) {
        Shard &shard = shardOf(key);
        const std::lock_guard<std::mutex> guard(shard.lock);
        isCurrent = isCurrent && shard.view && shard.view->epoch() == handover.epoch;
        if (isCurrent)
            shard.findOrAdd(key, record, expiryDue()).merge(record);
    };
    const MonotonicTime now = m_clock.now();
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        if (!m_view || m_view->epoch() != handover.epoch)
            return;
        if (!m_transfers.mayReceive(from))
            return countIgnored();
        // A departed host, or a peer that names itself like one: leaves room for further submissions.
        const bool isOutside = !m_view->placement.view().contains(from);
        if (isOutside && m_records.load(std::memory_order_relaxed) >= m_settings.maxRecords / 2)
            return countIgnored();
    }
    if (!isPlausible(from, handover))
        return countIgnored();
    if (!readRecords(handover.records, m_hosts, now, storeRecord) || !isCurrent)
        return;
    Effects effects;
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        const bool isForCurrentView =
                m_view->epoch() == handover.epoch
                && m_transfers.epoch() == static_cast<std::uint64_t>(handover.epoch);
        if (!isForCurrentView)
            return;
        m_history.mergeReported(handover, now);
        const bool isCompleted = m_transfers.receive(from, handover);
        const bool isDeparted = !m_view->placement.view().contains(from);
        if (isCompleted && isDeparted && m_view->isReady) {
            m_history.evaluate(m_transfers.epoch(), m_transfers.departed(), now);
            publishRecordLoss();
        }
        wire::admission::HandoverReply reply;
        reply.epoch = handover.epoch;
        reply.batch = handover.batch;
        effects.send(from, reply);
    }
    checkReady(effects);
    carryOut(effects);
}

void Admission::State::receive(const HostIncarnation &from,
                               const wire::admission::HandoverReply &reply)
{
    const std::lock_guard<std::mutex> guard(m_viewLock);
    if (m_transfers.epoch() == static_cast<std::uint64_t>(reply.epoch))
        m_transfers.acknowledge(from, reply);
}

void Admission::State::receive(const HostIncarnation &from,
                               const wire::admission::HandoverDone &done)
{
    Effects effects;
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        const bool isCurrent = m_view && m_view->epoch() == done.epoch
                               && m_transfers.epoch() == static_cast<std::uint64_t>(done.epoch);
        if (!isCurrent)
            return;
        m_transfers.markDone(from);
        if (m_transfers.isSettled())
            m_history.settle(m_transfers.epoch());
        if (!done.isReply && m_view->isReady)
            m_transfers.announceDone(true, {from}, effects);
    }
    carryOut(effects);
}

void Admission::State::checkReady(Effects &effects)
{
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        if (!m_view)
            return;
        const bool isMember = m_view->selfIndex != Placement::None;
        const bool isCurrent = m_transfers.epoch() == m_view->placement.view().epoch;
        if (!isMember || !isCurrent || m_view->isReady || !m_transfers.isComplete())
            return;
        m_history.evaluate(m_transfers.epoch(), m_transfers.departed(), m_clock.now());
        publishRecordLoss();
        m_view->isReady.store(true, std::memory_order_release);
        m_transfers.markDone(m_self);
        if (m_transfers.isSettled())
            m_history.settle(m_transfers.epoch());
        m_transfers.announceDone(false, m_view->placement.view().members, effects);
    }
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        resendLocked(*shard, m_self.dataCentre, effects);
    }
}

void Admission::State::expireRecordsLocked(Shard &shard) const
{
    const MonotonicTime now = m_clock.now();
    for (std::size_t i = 0; i < ExpiriesPerTick && !shard.expiry.empty(); ++i) {
        const Expiry next = shard.expiry.front();
        if (now < next.due)
            return;
        shard.expiry.pop_front();
        const ClaimRecord *record = shard.find(next.key);
        if (!record)
            continue;
        // A later attempt restarts the retention of the record.
        if (now - record->since < m_settings.retention)
            shard.expiry.push_back({next.key, now + m_settings.retention});
        else
            shard.remove(next.key);
    }
}

void Admission::State::tick()
{
    Effects effects;
    const MonotonicTime now = m_clock.now();
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        expireRecordsLocked(*shard);
        tickPendingLocked(*shard, effects);
        for (auto copy = shard->copies.begin(); copy != shard->copies.end();)
            copy = now >= copy->second.deadline ? shard->copies.erase(copy) : std::next(copy);
    }
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        m_transfers.resend(now, m_settings.resendInterval, effects);
    }
    carryOut(effects);
}

} // namespace anvilmill
