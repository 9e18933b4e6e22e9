#include "anvilmill/membership/viewagreement.h"

#include <algorithm>

namespace anvilmill {

ViewAgreement::ViewAgreement(const MembershipOptions &options, HostIncarnation self,
                             std::string address, const Clock &clock)
    : m_options(options)
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_clock(clock)
    , m_started(clock.now())
    , m_authority(options)
    , m_lastRoundStart(m_started - options.roundInterval)
    , m_nextRound(m_started)
{
    m_record.dataCentre = m_self.dataCentre;
    m_record.epoch = 0;
}

std::uint64_t ViewAgreement::epoch() const noexcept
{
    return static_cast<std::uint64_t>(m_record.epoch);
}

bool ViewAgreement::isMember() const
{
    return findMember(m_record, m_self) != nullptr;
}

bool ViewAgreement::mayActAsOwner() const
{
    return !m_isLeaving && m_authority.mayAct(m_clock.now());
}

void ViewAgreement::adoptIfLater(const wire::peer::ViewRecord &record)
{
    if (record.dataCentre == m_self.dataCentre && record.epoch > m_record.epoch)
        adopt(record);
}

void ViewAgreement::adopt(const wire::peer::ViewRecord &record)
{
    m_record = record;
    m_confirmed.clear();
    m_isBroadcastRequested = true;
    if (!isMember()) {
        m_authority.end();
        return;
    }
    std::vector<HostIncarnation> others;
    std::set<HostIncarnation> newcomers;
    for (const wire::peer::Member &member : record.members) {
        const HostIncarnation host = asIncarnation(record, member);
        if (host == m_self)
            continue;
        others.push_back(host);
        if (member.joined == record.epoch)
            newcomers.insert(host);
    }
    m_authority.adopt(epoch(), std::move(others), newcomers, m_clock.now());
}

void ViewAgreement::leave()
{
    m_isLeaving = true;
    m_authority.end();
    m_isBroadcastRequested = true;
    requestEarlyRound();
}

void ViewAgreement::requestEarlyRound()
{
    m_nextRound = std::min(m_nextRound, m_lastRoundStart + m_options.minRoundInterval);
}

bool ViewAgreement::takeBroadcastRequest()
{
    return std::exchange(m_isBroadcastRequested, false);
}

Duration ViewAgreement::makePromise(const PeerTable &peers)
{
    const bool mayChange = m_wantsEpochChange || m_uncertainWrite;
    if (!isMember() || m_isLeaving || mayChange || (!isConfirmationEnding() && isDelegate(peers)))
        return Duration(0);
    m_promisedUntil = std::max(m_promisedUntil, m_clock.now() + m_options.promiseLength);
    return m_options.promiseLength;
}

std::optional<std::int64_t> ViewAgreement::confirmedSequence(const HostIncarnation &member) const
{
    const auto entry = m_confirmed.find(member);
    return entry == m_confirmed.end() ? std::nullopt : std::optional(entry->second);
}

bool ViewAgreement::isConfirmationEnding() const
{
    return m_authority.confirmedUntil() < m_clock.now() + m_options.confirmationWarning();
}

bool ViewAgreement::isAvailable(const HostIncarnation &host, const PeerTable &peers) const
{
    // A leaving delegate removes itself: other members would have to wait for their promises to
    // expire.
    if (host == m_self)
        return true;
    return peers.isAlive(host, m_clock.now()) && !peers.find(host)->isLeaving;
}

bool ViewAgreement::isDelegate(const PeerTable &peers) const
{
    std::optional<HostIncarnation> first;
    for (const wire::peer::Member &member : m_record.members) {
        const HostIncarnation host = asIncarnation(m_record, member);
        if (!isAvailable(host, peers))
            continue;
        if (host == m_self ? m_hasPlatform : peers.find(host)->hasPlatform)
            return host == m_self;
        if (!first)
            first = host;
    }
    return first && *first == m_self;
}

bool ViewAgreement::isFirstNonMember(const PeerTable &peers) const
{
    if (isMember() || m_isLeaving)
        return false;
    for (const PeerStatus &peer : peers.alive(m_clock.now())) {
        const bool isPeerMember = findMember(m_record, peer.host) != nullptr;
        if (isPeerMember || (!peer.isLeaving && peer.host < m_self))
            return false;
    }
    return true;
}

bool ViewAgreement::isRoundNeeded(const PeerTable &peers) const
{
    if (isMember())
        return isDelegate(peers) || isConfirmationEnding();
    return isFirstNonMember(peers);
}

void ViewAgreement::tick(const PeerTable &peers)
{
    if (m_isInRound || m_clock.now() < m_nextRound || !isRoundNeeded(peers))
        return;
    beginRound(peers);
}

void ViewAgreement::beginRound(const PeerTable &peers)
{
    const MonotonicTime now = m_clock.now();
    const bool isForAll = isMember();
    m_isInRound = true;
    m_lastRoundStart = now;
    m_findings = {};
    m_findings.began = now;
    m_silentMemberLeases.clear();
    for (const PeerStatus &peer : peers.alive(now))
        m_findings.sequences[peer.host] = peer.sequence;
    PlatformCall renew;
    renew.kind = PlatformCall::Kind::Renew;
    for (const wire::peer::Member &member : m_record.members) {
        const HostIncarnation host = asIncarnation(m_record, member);
        const auto lease = static_cast<LeaseId>(member.lease);
        const bool isRenewed = host == m_self || (isForAll && peers.isAlive(host, now));
        if (isRenewed)
            renew.leases.push_back(lease);
        else if (!isForAll || isDelegate(peers))
            m_silentMemberLeases.push_back(lease);
    }
    if (renew.leases.empty())
        renewed({CallOutcome::Done, {}, {}, {}});
    else
        m_nextCall = renew;
}

void ViewAgreement::endRound(Duration interval)
{
    m_isInRound = false;
    m_nextCall.reset();
    m_nextRound = std::max(m_clock.now(), m_lastRoundStart + interval);
}

void ViewAgreement::failRound()
{
    m_hasPlatform = false;
    endRound(m_options.roundInterval);
}

std::optional<PlatformCall> ViewAgreement::takeCall()
{
    if (!m_nextCall)
        return std::nullopt;
    m_currentCall = *m_nextCall;
    m_nextCall.reset();
    return m_currentCall;
}

void ViewAgreement::answered(const PlatformAnswer &answer, const PeerTable &peers)
{
    switch (m_currentCall.kind) {
    case PlatformCall::Kind::Renew:
        renewed(answer.lease);
        break;
    case PlatformCall::Kind::Query:
        queried(answer.lease);
        break;
    case PlatformCall::Kind::Read:
        readEntry(answer.store, peers);
        break;
    case PlatformCall::Kind::Grant:
        granted(answer.lease);
        break;
    case PlatformCall::Kind::Write:
        written(answer.store);
        break;
    }
}

void ViewAgreement::renewed(const LeaseReply &reply)
{
    if (!reply.isDone()) {
        failRound();
        return;
    }
    m_findings.held.insert(reply.held.begin(), reply.held.end());
    m_findings.lapsed.insert(reply.lapsed.begin(), reply.lapsed.end());
    PlatformCall next;
    next.kind = m_silentMemberLeases.empty() ? PlatformCall::Kind::Read : PlatformCall::Kind::Query;
    next.leases = m_silentMemberLeases;
    next.key = viewKey(m_self.dataCentre);
    m_nextCall = next;
}

void ViewAgreement::queried(const LeaseReply &reply)
{
    // If the query failed, the round continues but removes no member.
    m_findings.held.insert(reply.held.begin(), reply.held.end());
    m_findings.lapsed.insert(reply.lapsed.begin(), reply.lapsed.end());
    PlatformCall next;
    next.key = viewKey(m_self.dataCentre);
    m_nextCall = next;
}

bool ViewAgreement::parseRecord(const std::optional<StoreEntry> &entry)
{
    m_storeVersion = entry ? entry->version : NoVersion;
    m_storeRecord = {};
    m_storeRecord.dataCentre = m_self.dataCentre;
    m_storeRecord.epoch = 0;
    if (!entry)
        return true;
    try {
        m_storeRecord = nlohmann::json::parse(entry->value).get<wire::peer::ViewRecord>();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

void ViewAgreement::readEntry(const StoreReply &reply, const PeerTable &peers)
{
    if (!reply.isDone() || !parseRecord(reply.entry)) {
        failRound();
        return;
    }
    m_hasPlatform = true;
    recordLapsedLeases();
    if (m_uncertainWrite && m_uncertainWrite->expected != m_storeVersion) {
        m_uncertainWrite.reset();
        m_authority.allowPromises(true);
    }
    if (m_storeRecord.epoch > m_record.epoch)
        adopt(m_storeRecord);
    else if (m_storeRecord.epoch == m_record.epoch)
        m_record = m_storeRecord;
    m_isStoreOlder = m_storeRecord.epoch < m_record.epoch;
    if (!m_isStoreOlder)
        confirmMembers();
    planNext(peers);
}

void ViewAgreement::recordLapsedLeases()
{
    m_lapsed.update(m_findings, m_clock.now());
    std::set<LeaseId> known;
    for (const wire::peer::Member &member : m_record.members)
        known.insert(static_cast<LeaseId>(member.lease));
    m_lapsed.keepOnly(known);
}

void ViewAgreement::confirmMembers()
{
    for (const wire::peer::Member &member : m_record.members) {
        if (m_findings.held.count(static_cast<LeaseId>(member.lease)) == 0)
            continue;
        const HostIncarnation host = asIncarnation(m_record, member);
        const auto sequence = m_findings.sequences.find(host);
        if (host == m_self)
            m_authority.confirm(m_findings.began, m_clock.now());
        else if (sequence != m_findings.sequences.end())
            m_confirmed[host] = sequence->second;
    }
    m_isBroadcastRequested = m_isBroadcastRequested || m_record.members.size() > 1;
}

bool ViewAgreement::isRemovable(const wire::peer::Member &member, const PeerTable &peers) const
{
    const HostIncarnation host = asIncarnation(m_record, member);
    if (host == m_self)
        return m_isLeaving;
    const PeerStatus *peer = peers.find(host);
    if (peer && peer->isLeaving)
        return true;
    const auto lease = static_cast<LeaseId>(member.lease);
    const bool isLapsedNow = m_findings.lapsed.count(lease) != 0;
    const MonotonicTime now = m_clock.now();
    return isLapsedNow && !peers.isAlive(host, now)
           && m_lapsed.isLapsedFor(lease, m_options.authorityWait(), now);
}

bool ViewAgreement::isAddressReused(const wire::peer::Member &member, const PeerTable &peers) const
{
    if (member.address == m_address)
        return true;
    const auto alive = peers.alive(m_clock.now());
    return std::any_of(alive.begin(), alive.end(), [&](const PeerStatus &peer) {
        return peer.address == member.address && peer.host != asIncarnation(m_record, member);
    });
}

bool ViewAgreement::isReplaceable(const PeerTable &peers) const
{
    const MonotonicTime now = m_clock.now();
    return std::all_of(
            m_record.members.begin(), m_record.members.end(),
            [&](const wire::peer::Member &member) {
                const auto received = peers.lastReceived(asIncarnation(m_record, member));
                const bool isSilent =
                        now - received.value_or(m_started) >= m_options.replacementDelay;
                return isRemovable(member, peers) && (isSilent || isAddressReused(member, peers));
            });
}

bool ViewAgreement::mayWrite(const PeerTable &peers) const
{
    if (isMember())
        return true;
    // A view without members is replaceable.
    return isFirstNonMember(peers) && !m_isStoreOlder && isReplaceable(peers);
}

ViewFacts ViewAgreement::facts(const PeerTable &peers) const
{
    ViewFacts facts;
    facts.dataCentre = m_self.dataCentre;
    facts.base = m_record;
    facts.highestEpoch = epoch();
    facts.isStoreOlder = m_isStoreOlder;
    facts.lapsedLeases = m_findings.lapsed;
    if (!m_isLeaving)
        facts.candidates.push_back({m_self, m_address});
    for (const PeerStatus &peer : peers.alive(m_clock.now())) {
        if (!peer.isLeaving)
            facts.candidates.push_back({peer.host, peer.address});
    }
    for (const wire::peer::Member &member : m_record.members) {
        if (isRemovable(member, peers))
            facts.removable.insert(asIncarnation(m_record, member));
    }
    return facts;
}

void ViewAgreement::planNext(const PeerTable &peers)
{
    m_wantsEpochChange = false;
    if (!mayWrite(peers)) {
        endRound(m_options.roundInterval);
        return;
    }
    m_plan = planView(facts(peers));
    const bool isPermitted = !m_plan.isEpochChange || !isMember() || isDelegate(peers);
    if (!m_plan.isChange() || !isPermitted) {
        endRound(m_options.roundInterval);
        return;
    }
    m_wantsEpochChange = m_plan.isEpochChange;
    const MonotonicTime now = m_clock.now();
    if (m_plan.isEpochChange && now < m_promisedUntil) {
        endRound(std::max(m_promisedUntil - m_lastRoundStart, m_options.minRoundInterval));
        return;
    }
    prepareWrite();
}

void ViewAgreement::prepareWrite()
{
    PlatformCall next;
    if (!m_plan.withoutLease.empty()) {
        const auto &member = m_plan.next.members[m_plan.withoutLease.back()];
        next.kind = PlatformCall::Kind::Grant;
        next.holder = asIncarnation(m_plan.next, member).asString();
        next.leaseLength = m_options.leaseLength;
    } else {
        next.kind = PlatformCall::Kind::Write;
        next.put.key = viewKey(m_self.dataCentre);
        next.put.value = nlohmann::json(m_plan.next).dump();
        next.put.expected = m_storeVersion;
        next.put.changeId = m_self.asString() + "/" + std::to_string(++m_changes);
        m_authority.allowPromises(!m_plan.isEpochChange && !m_uncertainWrite);
    }
    m_nextCall = next;
}

void ViewAgreement::granted(const LeaseReply &reply)
{
    if (!reply.isDone() || reply.held.empty()) {
        m_wantsEpochChange = false;
        endRound(m_options.roundInterval);
        return;
    }
    const LeaseId lease = reply.held.front();
    m_findings.held.insert(lease);
    m_plan.next.members[m_plan.withoutLease.back()].lease = static_cast<std::int64_t>(lease);
    m_plan.withoutLease.pop_back();
    prepareWrite();
}

void ViewAgreement::written(const StoreReply &reply)
{
    m_wantsEpochChange = false;
    if (reply.outcome == CallOutcome::Unknown && m_plan.isEpochChange)
        m_uncertainWrite = m_currentCall.put;
    m_authority.allowPromises(!m_uncertainWrite);
    if (!reply.isDone()) {
        endRound(m_options.minRoundInterval);
        return;
    }
    m_uncertainWrite.reset();
    m_authority.allowPromises(true);
    m_isStoreOlder = false;
    if (m_plan.next.epoch > m_record.epoch)
        adopt(m_plan.next);
    else if (m_plan.next.epoch == m_record.epoch)
        m_record = m_plan.next;
    if (m_plan.next.epoch == m_record.epoch)
        confirmMembers();
    m_isBroadcastRequested = true;
    endRound(m_options.roundInterval);
}

} // namespace anvilmill
