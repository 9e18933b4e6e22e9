#include "admissionstate.h"
#include "recordcodec.h"

#include <algorithm>
#include <limits>

namespace anvilmill {

namespace {

using wire::admission::ClaimOperation;
using wire::admission::ClaimReply;
using wire::admission::ClaimRequest;
using wire::admission::ClaimStatus;

KeyFingerprint keyOf(const ClaimRequest &request)
{
    return {static_cast<std::uint64_t>(request.keyHigh),
            static_cast<std::uint64_t>(request.keyLow)};
}

ClaimReply replyTo(const ClaimRequest &request, ClaimStatus status)
{
    ClaimReply reply;
    reply.request = request.request;
    reply.epoch = request.epoch;
    reply.keyHigh = request.keyHigh;
    reply.keyLow = request.keyLow;
    reply.status = status;
    return reply;
}

ClaimReply uncertainReply(const ClaimRequest &request, const char *reason)
{
    ClaimReply reply = replyTo(request, ClaimStatus::Uncertain);
    reply.reason = reason;
    return reply;
}

std::uint32_t attemptOf(const ClaimRequest &request)
{
    return static_cast<std::uint32_t>(request.attempt);
}

bool isWellFormed(const ClaimRequest &request)
{
    return request.attempt > 0 && request.attempt <= std::numeric_limits<std::uint32_t>::max();
}

} // namespace

void Admission::State::receive(const HostIncarnation &from, const ClaimRequest &request)
{
    if (!isWellFormed(request))
        return;
    const std::optional<HostNumber> requester = m_hosts.numberOf(from);
    if (!requester)
        return countIgnored();
    Effects effects;
    Shard &shard = shardOf(keyOf(request));
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        std::optional<ClaimReply> reply = answerLocked(shard, *requester, request, effects);
        if (reply)
            effects.send(from, std::move(*reply));
    }
    carryOut(effects);
}

std::optional<ClaimReply> Admission::State::answerLocked(Shard &shard, HostNumber from,
                                                         const ClaimRequest &request,
                                                         Effects &effects)
{
    ClaimReply reply = decideLocked(shard, from, request);
    if (!needsCopyLocked(shard, from, request, reply))
        return reply;
    requestCopyLocked(shard, from, reply, effects);
    return std::nullopt;
}

std::optional<ClaimReply> Admission::State::refusalLocked(const Shard &shard,
                                                          const ClaimRequest &request) const
{
    if (request.issuer && fromWire(*request.issuer) == m_self)
        return std::nullopt;
    if (!shard.view || request.epoch > shard.view->epoch())
        return replyTo(request, ClaimStatus::NotReady);
    const Placement::Hosts hosts = shard.view->placement.hostsOf(keyOf(request));
    const bool isDirectory =
            hosts.directory != Placement::None && hosts.directory == shard.view->selfIndex;
    if (request.epoch < shard.view->epoch() || !isDirectory) {
        ClaimReply reply = replyTo(request, ClaimStatus::Stale);
        reply.view = asWire(shard.view->placement.view());
        return reply;
    }
    if (!shard.view->isReady.load(std::memory_order_acquire) || !m_guard.mayActAsOwner())
        return replyTo(request, ClaimStatus::NotReady);
    return std::nullopt;
}

const char *Admission::State::reasonTicketNotGrantable(const ClaimRequest &request) const
{
    if (fromWire(*request.issuer) != m_self)
        return "the issuer of the ticket is no longer a member";
    const WallTime issued{std::chrono::milliseconds(request.issuedMs.value_or(0))};
    if (issued > steadyWallNow())
        return "the ticket was not issued";
    if (steadyWallNow() - issued >= m_settings.retention)
        return "the ticket is older than the retention";
    return nullptr;
}

const char *Admission::State::reasonNotGrantable(const ClaimRequest &request) const
{
    if (isFull())
        return "the maximum number of submission records is reached";
    if (request.issuer)
        return reasonTicketNotGrantable(request);
    if (request.issuedMs) {
        const WallTime issued{std::chrono::milliseconds(*request.issuedMs)};
        if (issued > m_clock.wallNow() + m_settings.clockError)
            return "the key's issue time lies in the future";
    }
    return mayHaveLostRecord(request) ? "records of submissions were lost" : nullptr;
}

ClaimReply Admission::State::decideLocked(Shard &shard, HostNumber from,
                                          const ClaimRequest &request)
{
    if (std::optional<ClaimReply> refusal = refusalLocked(shard, request))
        return *refusal;
    ClaimRecord *record = shard.find(keyOf(request));
    if (!record) {
        if (const char *reason = reasonNotGrantable(request))
            return uncertainReply(request, reason);
        ClaimRecord initial;
        initial.since = m_clock.now();
        initial.decidedAt = initial.since;
        initial.digest = static_cast<std::uint64_t>(request.digest);
        initial.isHomedHere = true;
        if (request.issuer)
            initial.issuer = issuerNumber(*request.issuer);
        record = &shard.findOrAdd(keyOf(request), initial, expiryDue());
    }
    if (record->digest != static_cast<std::uint64_t>(request.digest)) {
        ClaimReply reply = replyTo(request, ClaimStatus::Conflict);
        reply.reason = "the key was used with a different body";
        return reply;
    }
    if (std::optional<ClaimReply> held = heldReply(*record, from, request))
        return *held;
    if (isOutdated(*record, request))
        return uncertainReply(request, "records of later attempts may have been lost");
    record->decidedAt = m_clock.now();
    if (!request.issuer)
        record->decidedEpoch = shard.view->epoch();
    return request.operation == ClaimOperation::Run ? decideRun(*record, from, request)
                                                    : decideClose(*record, request);
}

std::optional<ClaimReply> Admission::State::heldReply(const ClaimRecord &record, HostNumber from,
                                                      const ClaimRequest &request) const
{
    const bool isOutdatedRequest =
            attemptOf(request) < record.heldAttempt || request.request < record.holderRequest;
    if (!record.isHeld() || (record.holder == from && !isOutdatedRequest))
        return std::nullopt;
    ClaimReply reply = replyTo(request, ClaimStatus::Held);
    reply.holder = asWire(m_hosts.host(record.holder));
    return reply;
}

ClaimReply Admission::State::decideRun(ClaimRecord &record, HostNumber from,
                                       const ClaimRequest &request) const
{
    const std::uint32_t attempt = attemptOf(request);
    if (attempt <= record.closedUpTo)
        return replyTo(request, ClaimStatus::Closed);
    // A holder that claims a later attempt has ended the earlier one without a start.
    if (record.isHeld() && attempt > record.heldAttempt)
        record.closedUpTo = record.heldAttempt;
    if (attempt != record.heldAttempt)
        record.since = m_clock.now();
    record.holder = from;
    record.heldAttempt = attempt;
    record.holderRequest = request.request;
    return replyTo(request, ClaimStatus::Granted);
}

ClaimReply Admission::State::decideClose(ClaimRecord &record, const ClaimRequest &request) const
{
    record.closedUpTo = std::max(record.closedUpTo, attemptOf(request));
    return replyTo(request, ClaimStatus::Closed);
}

bool Admission::State::needsCopyLocked(const Shard &shard, HostNumber from,
                                       const ClaimRequest &request, const ClaimReply &reply) const
{
    const bool isChange =
            reply.status == ClaimStatus::Granted || reply.status == ClaimStatus::Closed;
    if (!isChange || request.issuer)
        return false;
    const Placement &placement = shard.view->placement;
    if (placement.hostsOf(keyOf(request)).backup == Placement::None)
        return false;
    // Any other member stores the second copy itself when it receives the reply.
    return from == Self || !placement.view().contains(m_hosts.host(from));
}

void Admission::State::requestCopyLocked(Shard &shard, HostNumber from, const ClaimReply &reply,
                                         Effects &effects)
{
    const KeyFingerprint key{static_cast<std::uint64_t>(reply.keyHigh),
                             static_cast<std::uint64_t>(reply.keyLow)};
    const MonotonicTime now = m_clock.now();
    RecordWriter writer(m_hosts, now);
    writer.add(key, *shard.find(key));
    wire::admission::CopyRequest copy;
    copy.request = m_nextRequest.fetch_add(1, std::memory_order_relaxed);
    copy.epoch = shard.view->epoch();
    copy.records = writer.take();
    shard.copies[copy.request] = AwaitedCopy{from, reply, now + m_settings.claimTimeout};
    const Placement &placement = shard.view->placement;
    effects.send(placement.member(placement.hostsOf(key).backup), std::move(copy));
}

void Admission::State::receive(const HostIncarnation &from,
                               const wire::admission::CopyRequest &request)
{
    // The sender is the directory host of the record in the view of that epoch.
    if (!isMember(from, request.epoch))
        return countIgnored();
    Effects effects;
    const auto storeRecord = [&](const KeyFingerprint &key, const ClaimRecord &record) {
        Shard &shard = shardOf(key);
        const std::lock_guard<std::mutex> guard(shard.lock);
        // A copy received after this host's transfer for a newer view would not be transferred.
        if (!shard.view || shard.view->epoch() != request.epoch)
            return;
        shard.findOrAdd(key, record, expiryDue()).merge(record);
        wire::admission::CopyReply reply;
        reply.request = request.request;
        reply.epoch = request.epoch;
        reply.keyHigh = static_cast<std::int64_t>(key.high);
        reply.keyLow = static_cast<std::int64_t>(key.low);
        effects.send(from, reply);
    };
    if (readRecords(request.records, m_hosts, m_clock.now(), storeRecord))
        carryOut(effects);
}

void Admission::State::receive(const wire::admission::CopyReply &reply)
{
    const KeyFingerprint key{static_cast<std::uint64_t>(reply.keyHigh),
                             static_cast<std::uint64_t>(reply.keyLow)};
    Effects effects;
    Shard &shard = shardOf(key);
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.copies.find(reply.request);
        if (found == shard.copies.end())
            return;
        AwaitedCopy awaited = std::move(found->second);
        shard.copies.erase(found);
        if (!shard.view || shard.view->epoch() != reply.epoch)
            return;
        if (awaited.requester == Self)
            resolveLocked(shard, awaited.reply, effects);
        else
            effects.send(m_hosts.host(awaited.requester), awaited.reply);
    }
    carryOut(effects);
}

} // namespace anvilmill
