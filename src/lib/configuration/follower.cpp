#include "anvilmill/configuration/follower.h"

#include <algorithm>
#include <utility>

namespace anvilmill {

namespace {

using wire::configuration::Head;
using wire::configuration::Request;
using wire::configuration::Summary;

RevisionId idOf(const Summary &summary)
{
    return {static_cast<Revision>(summary.revision), summary.digest};
}

RevisionId idOf(const Head &head)
{
    return {static_cast<Revision>(head.revision), head.digest};
}

/// Hash that ranks the hosts in a fixed order independent of the sort order of their names.
std::uint64_t rankOf(const HostIncarnation &host)
{
    constexpr std::uint64_t Basis = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t Prime = 0x100000001b3ULL;
    std::uint64_t hash = Basis;
    for (const char c : host.asString())
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    return SeededRandom(hash).next();
}

} // namespace

Follower::Follower(HostIncarnation self, const Clock &clock, RandomSource &random,
                   FollowerOutput &output, const FollowerOptions &options)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_random(random)
    , m_output(output)
    , m_options(options)
    , m_held(Configuration::initial())
    , m_log(options.deltaLogBytes)
    , m_startupDeadline(clock.now() + options.startupTimeout)
    , m_nextGossip(
              clock.now()
              + std::chrono::duration_cast<Duration>(options.gossipInterval * random.nextUnit()))
    , m_reportedAt(clock.now() - options.reportInterval)
{
}

bool Follower::isLocal(const HostIncarnation &peer) const noexcept
{
    return peer.dataCentre == m_self.dataCentre;
}

std::vector<HostIncarnation> Follower::localPeers() const
{
    std::vector<HostIncarnation> local;
    for (const auto &[peer, state] : m_peers) {
        if (isLocal(peer))
            local.push_back(peer);
    }
    return local;
}

void Follower::updateRank()
{
    const std::uint64_t own = rankOf(m_self);
    m_higherRankedPeers.clear();
    for (const HostIncarnation &peer : localPeers()) {
        if (rankOf(peer) < own)
            m_higherRankedPeers.push_back(peer);
    }
    std::sort(m_higherRankedPeers.begin(), m_higherRankedPeers.end(),
              [](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
}

bool Follower::isWatcher() const noexcept
{
    return m_higherRankedPeers.size() < m_options.watchersPerDataCentre;
}

bool Follower::isReporter() const noexcept
{
    return m_higherRankedPeers.empty();
}

void Follower::setPeers(const std::vector<HostIncarnation> &peers)
{
    std::map<HostIncarnation, PeerState> next;
    for (const HostIncarnation &peer : peers) {
        if (peer == m_self)
            continue;
        const auto found = m_peers.find(peer);
        next[peer] = found == m_peers.end() ? PeerState() : found->second;
    }
    m_peers = std::move(next);
    updateRank();
    if (!m_isStartupComplete && m_contactedPeers.empty())
        contactStartupPeers();
}

void Follower::contactStartupPeers()
{
    std::vector<HostIncarnation> local;
    std::vector<HostIncarnation> remote;
    for (const auto &[peer, state] : m_peers)
        (isLocal(peer) ? local : remote).push_back(peer);
    for (auto *group : {&local, &remote}) {
        for (std::size_t i = 0; i < m_options.startupPeers && !group->empty(); ++i) {
            const HostIncarnation peer = pickRandom(*group);
            group->erase(std::find(group->begin(), group->end(), peer));
            m_contactedPeers.insert(peer);
            sendSummary(peer);
        }
    }
}

void Follower::completeStartupIfDue()
{
    if (m_isStartupComplete || (m_contactedPeers.empty() && m_clock.now() < m_startupDeadline))
        return;
    const bool haveAllReported = std::all_of(
            m_contactedPeers.begin(), m_contactedPeers.end(), [&](const HostIncarnation &peer) {
                const auto state = m_peers.find(peer);
                return state == m_peers.end() || state->second.hasReported;
            });
    const bool isCatchingUp = m_request.has_value();
    if (m_clock.now() < m_startupDeadline && (!haveAllReported || isCatchingUp))
        return;
    m_isStartupComplete = true;
    applyPendingHead();
}

void Follower::applyPendingHead()
{
    if (!m_isStartupComplete || !m_pendingHead)
        return;
    const Head head = std::move(*std::exchange(m_pendingHead, std::nullopt));
    receiveStoreHead(head);
}

std::vector<HostIncarnation> Follower::peersAhead(Revision revision) const
{
    std::vector<HostIncarnation> ahead;
    for (const auto &[peer, state] : m_peers) {
        if (state.highestReported.revision > revision)
            ahead.push_back(peer);
    }
    return ahead;
}

std::vector<HostIncarnation> Follower::localPeersBehind() const
{
    std::vector<HostIncarnation> behind;
    for (const auto &[peer, state] : m_peers) {
        if (isLocal(peer) && state.highestReported.revision < m_held.id.revision)
            behind.push_back(peer);
    }
    return behind;
}

void Follower::receive(const HostIncarnation &peer, const ConfigurationMessage &message)
{
    if (message.summary)
        receiveSummary(peer, idOf(*message.summary));
    if (message.deltas)
        receiveDeltas(peer, *message.deltas);
    if (message.whole)
        receiveWhole(peer, *message.whole);
    if (message.request)
        receiveRequest(peer, *message.request);
    completeStartupIfDue();
}

void Follower::receiveHeartbeat(const HostIncarnation &peer, const RevisionId &held)
{
    recordRevision(peer, held);
    checkForConflict(held, "host " + peer.host);
    if (held.revision > m_held.id.revision)
        request(peer, false);
    completeStartupIfDue();
}

void Follower::recordRevision(const HostIncarnation &peer, const RevisionId &held)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    PeerState &state = found->second;
    state.hasReported = true;
    if (held.revision >= state.highestReported.revision)
        state.highestReported = held;
}

void Follower::receiveSummary(const HostIncarnation &peer, const RevisionId &held)
{
    const bool isBehind = held.revision < m_held.id.revision;
    receiveHeartbeat(peer, held);
    const bool isStarting = held.revision == 0;
    if (isBehind || (isStarting && m_held.id.revision == 0 && m_isStartupComplete))
        sendSummary(peer);
}

void Follower::receiveDeltas(const HostIncarnation &peer, const std::vector<Delta> &deltas)
{
    if (deltas.empty())
        return;
    const RevisionId target = targetOf(deltas.back());
    recordRevision(peer, target);
    const RevisionId before = m_held.id;
    if (target.revision <= before.revision) {
        checkForConflict(target, "host " + peer.host);
        return;
    }
    const bool isComplete = applyDeltas(deltas);
    if (m_held.id != before)
        propagate(before, isLocal(peer) ? Source::LocalPeer : Source::RemotePeer);
    if (!isComplete)
        request(peer, m_request.has_value());
}

void Follower::receiveWhole(const HostIncarnation &peer, const WholeConfiguration &whole)
{
    const RevisionId target{static_cast<Revision>(whole.revision), whole.digest};
    recordRevision(peer, target);
    const RevisionId before = m_held.id;
    if (target.revision <= before.revision) {
        checkForConflict(target, "host " + peer.host);
        return;
    }
    Result<Configuration> next = fromWhole(whole);
    if (!next) {
        m_problem = "host " + peer.host + " sent an invalid configuration: " + next.error().reason;
        return;
    }
    m_log.clear();
    adopt(std::move(*next));
    propagate(before, isLocal(peer) ? Source::LocalPeer : Source::RemotePeer);
}

void Follower::receiveRequest(const HostIncarnation &peer, const Request &request)
{
    const RevisionId held{static_cast<Revision>(request.revision), request.digest};
    recordRevision(peer, held);
    if (held.revision >= m_held.id.revision) {
        sendSummary(peer);
        return;
    }
    std::vector<Delta> deltas;
    if (!request.wantsWhole)
        deltas = m_log.since(held);
    if (deltas.empty()) {
        sendWhole(peer);
        return;
    }
    ConfigurationMessage message;
    message.deltas = std::move(deltas);
    m_output.send(peer, message);
}

void Follower::sendWhole(const HostIncarnation &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        std::optional<MonotonicTime> &sentAt = found->second.wholeSentAt;
        if (sentAt && m_clock.now() < *sentAt + m_options.wholeInterval)
            return;
        sentAt = m_clock.now();
    }
    ConfigurationMessage message;
    message.whole = asWhole(m_held);
    m_output.send(peer, message);
}

bool Follower::applyDeltas(const std::vector<Delta> &deltas)
{
    Configuration next = m_held;
    std::vector<Delta> used;
    for (const Delta &delta : deltas) {
        if (baseOf(delta) != next.id)
            continue;
        Result<Configuration> result = applied(next, delta);
        if (!result)
            break;
        next = std::move(*result);
        used.push_back(delta);
    }
    if (used.empty())
        return false;
    for (const Delta &delta : used)
        m_log.append(delta);
    adopt(std::move(next));
    return m_held.id == targetOf(deltas.back());
}

void Follower::adopt(Configuration next)
{
    m_held = std::move(next);
    if (m_request && m_request->wanted <= m_held.id.revision)
        m_request.reset();
    if (m_held.id.revision >= m_storeRevision)
        m_needsWhole = false;
    m_adoptedAt = m_clock.now();
    m_problem.clear();
    m_output.configurationChanged(m_held);
}

void Follower::propagate(const RevisionId &before, Source source)
{
    if (isWatcher()) {
        m_repairAt = m_clock.now()
                     + m_options.repairDelay * static_cast<int>(1 + m_higherRankedPeers.size());
        m_repairFrom = before;
    }
    if (source == Source::RemotePeer || (source == Source::Platform && isReporter()))
        push(localPeersBehind(), before);
    else
        acknowledge();
}

void Follower::push(const std::vector<HostIncarnation> &peers, const RevisionId &before)
{
    ConfigurationMessage message;
    std::vector<Delta> deltas = m_log.since(before);
    if (deltas.empty())
        message.summary = Summary{m_held.id.digest, static_cast<std::int64_t>(m_held.id.revision)};
    else
        message.deltas = std::move(deltas);
    for (const HostIncarnation &peer : peers)
        m_output.send(peer, message);
}

void Follower::repairIfDue()
{
    if (!m_repairAt || m_clock.now() < *m_repairAt)
        return;
    m_repairAt.reset();
    push(localPeersBehind(), m_repairFrom);
}

void Follower::acknowledge()
{
    const std::size_t count = std::min(m_higherRankedPeers.size(), m_options.watchersPerDataCentre);
    for (std::size_t i = 0; i < count; ++i)
        sendSummary(m_higherRankedPeers[i]);
}

void Follower::request(const HostIncarnation &peer, bool wantsWhole)
{
    const MonotonicTime now = m_clock.now();
    const bool isOpen = m_request && now < m_request->sentAt + m_options.requestTimeout;
    if (isOpen && !(wantsWhole && m_request->peer == peer))
        return;
    const auto state = m_peers.find(peer);
    const Revision wanted = state == m_peers.end() ? 0 : state->second.highestReported.revision;
    m_request = OpenRequest{peer, std::max(wanted, m_held.id.revision + 1), now};
    ConfigurationMessage message;
    message.request =
            Request{m_held.id.digest, static_cast<std::int64_t>(m_held.id.revision), wantsWhole};
    m_output.send(peer, message);
}

void Follower::retryRequest()
{
    if (!m_request || m_clock.now() < m_request->sentAt + m_options.requestTimeout)
        return;
    m_request.reset();
    const std::vector<HostIncarnation> ahead = peersAhead(m_held.id.revision);
    if (!ahead.empty())
        request(pickRandom(ahead), false);
}

void Follower::tick()
{
    completeStartupIfDue();
    applyPendingHead();
    retryRequest();
    repairIfDue();
    if (m_clock.now() < m_nextGossip)
        return;
    m_nextGossip = m_clock.now() + m_options.gossipInterval;
    gossip();
}

void Follower::gossip()
{
    const std::vector<HostIncarnation> local = localPeers();
    if (!local.empty())
        sendSummary(pickRandom(local));
    if (!isWatcher())
        return;
    std::set<std::string> otherDataCentres;
    for (const auto &[peer, state] : m_peers) {
        if (!isLocal(peer))
            otherDataCentres.insert(peer.dataCentre);
    }
    if (otherDataCentres.empty())
        return;
    const std::string chosen =
            *std::next(otherDataCentres.begin(),
                       static_cast<std::ptrdiff_t>(m_random.nextBelow(otherDataCentres.size())));
    std::vector<HostIncarnation> remote;
    for (const auto &[peer, state] : m_peers) {
        if (peer.dataCentre == chosen)
            remote.push_back(peer);
    }
    sendSummary(pickRandom(remote));
}

MonotonicTime Follower::nextTick() const noexcept
{
    MonotonicTime next = m_nextGossip;
    if (!m_isStartupComplete)
        next = std::min(next, std::max(m_startupDeadline, m_clock.now()));
    if (m_repairAt)
        next = std::min(next, *m_repairAt);
    if (m_request)
        next = std::min(next, m_request->sentAt + m_options.requestTimeout);
    return next;
}

void Follower::sendSummary(const HostIncarnation &peer)
{
    ConfigurationMessage message;
    message.summary = Summary{m_held.id.digest, static_cast<std::int64_t>(m_held.id.revision)};
    m_output.send(peer, message);
}

template <typename Range>
const HostIncarnation &Follower::pickRandom(const Range &range)
{
    return *std::next(range.begin(), static_cast<std::ptrdiff_t>(m_random.nextBelow(range.size())));
}

StoreTask Follower::storeTask() const
{
    if (!isWatcher())
        return StoreTask::None;
    return m_needsWhole ? StoreTask::ReadConfiguration : StoreTask::Watch;
}

void Follower::receiveStoreHead(const Head &head)
{
    m_storeRevision = static_cast<Revision>(head.revision);
    const bool isStarting = m_held.id.revision == 0;
    if (!m_isStartupComplete || (isStarting && !peersAhead(m_storeRevision).empty())) {
        m_pendingHead = head;
        completeStartupIfDue();
        return;
    }
    const RevisionId before = m_held.id;
    if (m_storeRevision <= before.revision) {
        m_needsWhole = false;
        if (idOf(head) == before)
            m_problem.clear();
        checkForConflict(idOf(head), "the platform");
        return;
    }
    m_needsWhole = !applyDeltas(head.deltas);
    if (m_held.id != before)
        propagate(before, Source::Platform);
}

void Follower::receiveStoreConfiguration(const Configuration &configuration)
{
    m_needsWhole = false;
    m_storeRevision = std::max(m_storeRevision, configuration.id.revision);
    const RevisionId before = m_held.id;
    if (configuration.id.revision <= before.revision) {
        checkForConflict(configuration.id, "the platform");
        return;
    }
    m_log.clear();
    adopt(configuration);
    propagate(before, Source::Platform);
}

void Follower::checkForConflict(const RevisionId &other, const std::string &origin)
{
    const Revision own = m_held.id.revision;
    if (other.revision == own && other.digest != m_held.id.digest)
        m_problem = origin + " holds a different sheet with revision " + std::to_string(own)
                    + ": a write was lost; apply a sheet again";
    else if (other.revision < own && origin == "the platform")
        m_problem = origin + " holds revision " + std::to_string(other.revision)
                    + ", older than revision " + std::to_string(own)
                    + " in force: it was restored from a backup; apply a sheet again";
}

} // namespace anvilmill
