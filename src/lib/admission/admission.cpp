#include "anvilmill/admission/admission.h"

#include "admissionstate.h"
#include "recordcodec.h"

#include <limits>
#include <variant>

namespace anvilmill {

namespace {

constexpr Duration::rep NoRecordLoss = std::numeric_limits<Duration::rep>::min();

} // namespace

Admission::State::State(HostIncarnation self, AdmissionSettings settings, const Clock &clock,
                        const ViewGuard &guard, ClaimLink &link)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_guard(guard)
    , m_link(link)
    , m_self(std::move(self))
    , m_wallAtStart(clock.wallNow())
    , m_startedAt(clock.now())
    , m_lastRecordLoss(NoRecordLoss)
{
    m_hosts.addMember(m_self);
    m_shards.reserve(m_settings.shards);
    for (std::size_t i = 0; i < m_settings.shards; ++i)
        m_shards.push_back(std::make_unique<Shard>(m_records));
}

ClaimRecord *Admission::State::Shard::find(const KeyFingerprint &key)
{
    const auto found = records.find(key);
    return found == records.end() ? nullptr : &found->second;
}

ClaimRecord &Admission::State::Shard::findOrAdd(const KeyFingerprint &key,
                                                const ClaimRecord &initial, MonotonicTime due)
{
    const auto [entry, isNew] = records.emplace(key, initial);
    if (isNew) {
        expiry.push_back({key, due});
        recordsOfAllShards.fetch_add(1, std::memory_order_relaxed);
    }
    return entry->second;
}

void Admission::State::Shard::remove(const KeyFingerprint &key)
{
    if (records.erase(key) > 0)
        recordsOfAllShards.fetch_sub(1, std::memory_order_relaxed);
}

Admission::State::Shard &Admission::State::shardOf(const KeyFingerprint &key) const
{
    return *m_shards[key.high % m_shards.size()];
}

bool Admission::State::isFull() const
{
    return m_records.load(std::memory_order_relaxed) >= m_settings.maxRecords;
}

WallTime Admission::State::steadyWallNow() const
{
    return m_wallAtStart + (m_clock.now() - m_startedAt);
}

HostNumber Admission::State::issuerNumber(const wire::admission::Host &issuer)
{
    // A ticket is decided on by its issuer, so it is a member.
    const HostIncarnation host = fromWire(issuer);
    return host == m_self ? Self : m_hosts.addMember(host);
}

void Admission::State::carryOut(Effects &effects)
{
    m_messagesSent.fetch_add(effects.messages(), std::memory_order_relaxed);
    effects.carryOut(m_link);
}

std::vector<Ticket> Admission::State::issueTickets(std::size_t count)
{
    const std::uint64_t first = m_nextTicket.fetch_add(count);
    const auto issuedAt = std::chrono::floor<std::chrono::milliseconds>(steadyWallNow());
    std::vector<Ticket> tickets;
    tickets.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        tickets.push_back({m_self, issuedAt, first + i});
    return tickets;
}

AdmissionStatus Admission::State::status() const
{
    AdmissionStatus status;
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> guard(shard->lock);
        status.records += shard->records.size();
        status.pendingClaims += shard->pending.size();
    }
    {
        const std::lock_guard<std::mutex> guard(m_viewLock);
        status.isReady = m_view && m_view->isReady;
    }
    const Duration::rep lastRecordLoss = m_lastRecordLoss;
    status.hasLostRecords =
            lastRecordLoss != NoRecordLoss
            && m_clock.now() - MonotonicTime(Duration(lastRecordLoss)) < m_settings.retention;
    status.granted = m_granted;
    status.uncertain = m_uncertain;
    status.messagesSent = m_messagesSent;
    status.messagesIgnored = m_messagesIgnored;
    return status;
}

bool Admission::State::mayHaveLostRecord(const ClaimRequest &request) const
{
    // Clocks of the caller, of the host that received the first attempt, and of this host.
    constexpr int ClocksInvolved = 3;
    const Duration::rep lastRecordLoss = m_lastRecordLoss.load(std::memory_order_acquire);
    if (lastRecordLoss == NoRecordLoss)
        return false;
    const Duration age = m_clock.now() - MonotonicTime(Duration(lastRecordLoss));
    if (age >= m_settings.retention)
        return false;
    if (!request.issuedMs)
        return true;
    const WallTime issued{std::chrono::milliseconds(*request.issuedMs)};
    return issued <= m_clock.wallNow() - age + ClocksInvolved * m_settings.clockError;
}

bool Admission::State::isOutdated(const ClaimRecord &record, const ClaimRequest &request) const
{
    // Only the issuer of a ticket has a record of all its grants.
    if (request.issuer)
        return fromWire(*request.issuer) != m_self;
    if (!mayHaveLostRecord(request))
        return false;
    return record.decidedAt <= MonotonicTime(Duration(m_lastRecordLoss.load()));
}

void Admission::State::publishRecordLoss()
{
    const std::optional<MonotonicTime> at = m_history.lastRecordLoss();
    m_lastRecordLoss.store(at ? at->time_since_epoch().count() : NoRecordLoss,
                           std::memory_order_release);
}

Admission::Admission(HostIncarnation self, AdmissionSettings settings, const Clock &clock,
                     const ViewGuard &guard, ClaimLink &link)
    : m_state(std::make_unique<State>(std::move(self), std::move(settings), clock, guard, link))
{
}

Admission::~Admission() = default;

std::vector<Ticket> Admission::issueTickets(std::size_t count)
{
    return m_state->issueTickets(count);
}

Result<SubmissionKey> Admission::parseKey(std::string_view text) const
{
    const AdmissionSettings &settings = m_state->settings();
    return SubmissionKey::parse(text, settings.dataCentres, settings.secret);
}

void Admission::claim(const SubmissionRequest &request, ClaimCallback callback)
{
    m_state->submit(wire::admission::ClaimOperation::Run, request, std::move(callback));
}

void Admission::refuse(const SubmissionRequest &request, ClaimCallback callback)
{
    m_state->submit(wire::admission::ClaimOperation::Close, request, std::move(callback));
}

bool Admission::mayStart(const SubmissionRequest &request)
{
    return m_state->mayStart(request);
}

void Admission::startRevoked(const SubmissionRequest &request)
{
    m_state->startRevoked(request);
}

namespace {

/// Dispatches the body of a message to the matching State::receive().
template <typename State>
struct Receiver
{
    State &state;
    const HostIncarnation &from;

    template <typename Body>
    void operator()(const Body &body) const
    {
        state.receive(from, body);
    }
    void operator()(const wire::admission::ClaimReply &body) const { state.receive(body); }
    void operator()(const wire::admission::CopyReply &body) const { state.receive(body); }
};

} // namespace

void Admission::receive(const HostIncarnation &from, const AdmissionMessage &message)
{
    std::visit(Receiver<State>{*m_state, from}, message.body);
}

void Admission::viewAdopted(const View &view)
{
    m_state->viewAdopted(view);
}

void Admission::updateRemoteView(const std::string &dataCentre, const View &view)
{
    m_state->updateRemoteView(dataCentre, view);
}

void Admission::tick()
{
    m_state->tick();
}

AdmissionStatus Admission::status() const
{
    return m_state->status();
}

} // namespace anvilmill
