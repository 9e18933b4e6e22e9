#include "anvilmill/membership/membership.h"

#include <algorithm>

namespace anvilmill {

namespace {

std::int64_t millisOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

Membership::Membership(const MembershipOptions &options, const HostIncarnation &self,
                       std::string address, std::vector<MembershipSeed> seeds, const Clock &clock,
                       RandomSource &random)
    : m_options(options)
    , m_self(self)
    , m_address(std::move(address))
    , m_seeds(std::move(seeds))
    , m_clock(clock)
    , m_random(random)
    , m_peers(options)
    , m_agreement(options, self, m_address, clock)
    , m_nextBroadcast(clock.now())
    , m_nextSummary(clock.now())
{
}

void Membership::received(const HostIncarnation &from, const std::string &address,
                          const wire::peer::MembershipMessage &message)
{
    if (from == m_self)
        return;
    if (message.view && from.dataCentre == m_self.dataCentre)
        m_agreement.adoptIfLater(*message.view);
    if (message.heartbeat && from.dataCentre == m_self.dataCentre)
        heartbeatReceived(from, address, *message.heartbeat);
    processSummaries(address, from, message);
    tick();
}

void Membership::heartbeatReceived(const HostIncarnation &from, const std::string &address,
                                   const wire::peer::Heartbeat &heartbeat)
{
    const bool isNew = m_peers.find(from) == nullptr;
    PeerStatus &peer = m_peers.recordHeartbeat(from, address, heartbeat.sequence, m_clock.now());
    peer.epoch = std::max(peer.epoch, static_cast<std::uint64_t>(heartbeat.epoch));
    peer.isLeaving = peer.isLeaving || heartbeat.leaving.value_or(false);
    peer.hasPlatform = !heartbeat.withoutPlatform.value_or(false);
    if (heartbeat.epoch == m_agreement.record().epoch)
        processConfirmations(from, heartbeat);
    const bool isOutside = findMember(m_agreement.record(), from) == nullptr;
    if ((isOutside || peer.isLeaving) && m_agreement.isDelegate(m_peers))
        m_agreement.requestEarlyRound();
    if (heartbeat.urgent.value_or(false) || isNew)
        sendHeartbeat(peer, m_peers.beginHeartbeat(m_clock.now()), false);
    if (heartbeat.directory)
        compareDirectories(peer, *heartbeat.directory);
}

void Membership::processConfirmations(const HostIncarnation &from,
                                      const wire::peer::Heartbeat &heartbeat)
{
    const MonotonicTime now = m_clock.now();
    Authority &authority = m_agreement.authority();
    if (const auto requestedAt = m_peers.sentAt(heartbeat.confirmed.value_or(0)))
        authority.confirm(*requestedAt, now);
    const auto requestedAt = m_peers.sentAt(heartbeat.answers.value_or(0));
    if (!requestedAt)
        return;
    authority.acknowledge(from, *requestedAt);
    const std::chrono::milliseconds promised(heartbeat.promiseMs.value_or(0));
    if (promised.count() > 0)
        authority.promise(from, *requestedAt, promised, now);
}

void Membership::compareDirectories(const PeerStatus &peer, std::int64_t digest)
{
    const MonotonicTime now = m_clock.now();
    if (digest == m_directory.digest() || now < m_nextExchange)
        return;
    m_nextExchange = now + m_options.heartbeatInterval / 2;
    MembershipSend send{peer.address, peer.host, {}};
    send.message.summaries = m_directory.all();
    send.message.wantsSummaries = true;
    m_sends.push_back(std::move(send));
}

void Membership::processSummaries(const std::string &address, const HostIncarnation &from,
                                  const wire::peer::MembershipMessage &message)
{
    if (message.summaries) {
        for (const wire::peer::DataCentreSummary &summary : *message.summaries)
            m_directory.merge(summary);
    }
    MembershipSend answer{address, from, {}};
    if (message.digest && *message.digest > m_directory.revision(from.dataCentre))
        answer.message.wantsSummaries = true;
    if (message.wantsSummaries.value_or(false))
        answer.message.summaries = m_directory.all();
    if (answer.message.wantsSummaries || answer.message.summaries)
        m_sends.push_back(std::move(answer));
}

void Membership::tick()
{
    const MonotonicTime now = m_clock.now();
    m_peers.removeSilent(now);
    m_agreement.tick(m_peers);
    const bool wasConfirmationEnding =
            std::exchange(m_isConfirmationEnding, m_agreement.isConfirmationEnding());
    if (m_agreement.takeBroadcastRequest() || (m_isConfirmationEnding && !wasConfirmationEnding))
        m_nextBroadcast = now;
    if (now >= m_nextBroadcast)
        broadcast();
    if (now < m_nextSummary)
        return;
    m_nextSummary = now + m_options.summaryInterval;
    if (m_agreement.isDelegate(m_peers)) {
        updateOwnSummary();
        sendSummaries();
    }
}

MonotonicTime Membership::nextWakeTime() const
{
    // Bounds the delay between a round becoming due and its start.
    constexpr Duration MaxWakeInterval = std::chrono::milliseconds(100);
    const MonotonicTime due = std::min(m_nextBroadcast, m_nextSummary);
    return std::min(due, m_clock.now() + MaxWakeInterval);
}

void Membership::broadcast()
{
    const MonotonicTime now = m_clock.now();
    const std::int64_t sequence = m_peers.beginHeartbeat(now);
    const bool isUrgent = needsAnswers();
    for (const PeerStatus &peer : heartbeatTargets())
        sendHeartbeat(peer, sequence, isUrgent);
    contactSeeds(sequence);
    // The delegate also sends heartbeats after each round, so its own interval is longer.
    const double jitter = m_agreement.isDelegate(m_peers) ? 1.3 : 0.95 + m_random.nextUnit() / 10;
    m_nextBroadcast =
            now + std::chrono::duration_cast<Duration>(m_options.heartbeatInterval * jitter);
}

bool Membership::needsAnswers() const
{
    if (!m_agreement.isMember() || m_agreement.isLeaving())
        return true;
    return m_agreement.authority().isWaitingForMembers(m_clock.now());
}

std::vector<PeerStatus> Membership::heartbeatTargets() const
{
    std::map<HostIncarnation, PeerStatus> peers;
    for (const PeerStatus &peer : m_peers.alive(m_clock.now()))
        peers[peer.host] = peer;
    const wire::peer::ViewRecord &record = m_agreement.record();
    for (const wire::peer::Member &member : record.members) {
        PeerStatus memberStatus;
        memberStatus.host = asIncarnation(record, member);
        memberStatus.address = member.address;
        const PeerStatus *known = m_peers.find(memberStatus.host);
        if (memberStatus.host != m_self)
            peers.emplace(memberStatus.host, known ? *known : memberStatus);
    }
    std::vector<PeerStatus> all;
    all.reserve(peers.size());
    for (const auto &entry : peers)
        all.push_back(entry.second);
    return all;
}

wire::peer::Heartbeat Membership::makeHeartbeat(std::int64_t sequence, bool isUrgent)
{
    wire::peer::Heartbeat heartbeat;
    heartbeat.epoch = m_agreement.record().epoch;
    heartbeat.sequence = sequence;
    if (isUrgent)
        heartbeat.urgent = true;
    if (m_agreement.isLeaving())
        heartbeat.leaving = true;
    if (!m_agreement.hasPlatform())
        heartbeat.withoutPlatform = true;
    return heartbeat;
}

void Membership::sendHeartbeat(const PeerStatus &peer, std::int64_t sequence, bool isUrgent)
{
    MembershipSend send{peer.address, peer.host, {}};
    wire::peer::Heartbeat heartbeat = makeHeartbeat(sequence, isUrgent);
    if (peer.sequence > 0)
        heartbeat.answers = peer.sequence;
    const auto confirmed = m_agreement.confirmedSequence(peer.host);
    if (confirmed)
        heartbeat.confirmed = *confirmed;
    const Duration promise = m_agreement.makePromise(m_peers);
    if (promise > Duration(0))
        heartbeat.promiseMs = millisOf(promise);
    heartbeat.directory = m_directory.digest();
    send.message.heartbeat = heartbeat;
    if (peer.epoch < m_agreement.epoch())
        send.message.view = m_agreement.record();
    m_sends.push_back(std::move(send));
}

void Membership::contactSeeds(std::int64_t sequence)
{
    std::set<std::string> known{m_address};
    for (const PeerStatus &peer : m_peers.alive(m_clock.now()))
        known.insert(peer.address);
    for (const MembershipSeed &seed : m_seeds) {
        if (seed.dataCentre != m_self.dataCentre || !known.insert(seed.address).second)
            continue;
        MembershipSend send{seed.address, std::nullopt, {}};
        send.message.heartbeat = makeHeartbeat(sequence, needsAnswers());
        m_sends.push_back(std::move(send));
    }
}

void Membership::updateOwnSummary()
{
    const auto summaryOf = [](const HostIncarnation &host, const std::string &address) {
        wire::peer::HostSummary summary;
        summary.host = host.host;
        summary.incarnation = static_cast<std::int64_t>(host.incarnation);
        summary.address = address;
        return summary;
    };
    std::vector<wire::peer::HostSummary> hosts;
    if (!m_agreement.isLeaving())
        hosts.push_back(summaryOf(m_self, m_address));
    for (const PeerStatus &peer : m_peers.alive(m_clock.now())) {
        if (!peer.isLeaving)
            hosts.push_back(summaryOf(peer.host, peer.address));
    }
    std::sort(hosts.begin(), hosts.end(), [](const auto &left, const auto &right) {
        return std::tie(left.host, left.incarnation) < std::tie(right.host, right.incarnation);
    });
    m_directory.update(m_self.dataCentre, m_agreement.epoch(), std::move(hosts), m_clock.wallNow());
}

std::map<std::string, std::vector<std::string>> Membership::remoteContacts() const
{
    std::map<std::string, std::vector<std::string>> contacts;
    for (const wire::peer::DataCentreSummary &summary : m_directory.all()) {
        for (const wire::peer::HostSummary &host : summary.hosts)
            contacts[summary.dataCentre].push_back(host.address);
    }
    for (const MembershipSeed &seed : m_seeds)
        contacts[seed.dataCentre].push_back(seed.address);
    contacts.erase(m_self.dataCentre);
    return contacts;
}

void Membership::sendSummaries()
{
    // Rotates through the contacts, so that an unreachable one delays the exchange by one interval.
    ++m_contactIndex;
    for (const auto &entry : remoteContacts()) {
        const std::vector<std::string> &addresses = entry.second;
        MembershipSend send{addresses[m_contactIndex % addresses.size()], std::nullopt, {}};
        send.message.digest = m_directory.revision(m_self.dataCentre);
        m_sends.push_back(std::move(send));
    }
}

std::vector<MembershipSend> Membership::takeSends()
{
    return std::exchange(m_sends, {});
}

std::optional<PlatformCall> Membership::takeCall()
{
    return m_agreement.takeCall();
}

void Membership::answered(const PlatformAnswer &answer)
{
    m_agreement.answered(answer, m_peers);
    tick();
}

void Membership::leave()
{
    m_agreement.leave();
    tick();
}

bool Membership::hasLeft() const
{
    return m_agreement.isLeaving() && !m_agreement.isMember();
}

void Membership::addSeeds(const std::vector<MembershipSeed> &seeds)
{
    for (const MembershipSeed &seed : seeds) {
        const auto isSame = [&](const MembershipSeed &known) {
            return known.dataCentre == seed.dataCentre && known.address == seed.address;
        };
        if (std::none_of(m_seeds.begin(), m_seeds.end(), isSame))
            m_seeds.push_back(seed);
    }
}

View Membership::currentView() const
{
    return asView(m_agreement.record());
}

bool Membership::mayActAsOwner() const
{
    return m_agreement.mayActAsOwner();
}

std::vector<PeerStatus> Membership::alivePeers() const
{
    return m_peers.alive(m_clock.now());
}

} // namespace anvilmill
