#include "admissionstate.h"
#include "recordcodec.h"

#include <algorithm>

namespace anvilmill {

namespace {

// Releases are resent at a longer interval, since no caller waits for their answers.
constexpr int ReleaseResendFactor = 10;

using wire::admission::ClaimOperation;
using wire::admission::ClaimReply;
using wire::admission::ClaimRequest;
using wire::admission::ClaimStatus;

bool isFinal(const ClaimReply &reply)
{
    return reply.status != ClaimStatus::NotReady && reply.status != ClaimStatus::Stale;
}

ClaimOutcome outcomeOf(ClaimStatus status)
{
    switch (status) {
    case ClaimStatus::Granted:
        return ClaimOutcome::Granted;
    case ClaimStatus::Held:
        return ClaimOutcome::Held;
    case ClaimStatus::Conflict:
        return ClaimOutcome::Conflict;
    case ClaimStatus::Closed:
        return ClaimOutcome::Closed;
    case ClaimStatus::Uncertain:
    case ClaimStatus::NotReady:
    case ClaimStatus::Stale:
        return ClaimOutcome::Uncertain;
    }
    return ClaimOutcome::Uncertain;
}

KeyFingerprint keyOf(const ClaimRequest &message)
{
    return {static_cast<std::uint64_t>(message.keyHigh),
            static_cast<std::uint64_t>(message.keyLow)};
}

} // namespace

void Admission::State::submit(ClaimOperation operation, const SubmissionRequest &request,
                              ClaimCallback callback)
{
    Waiter waiter{operation, request, std::move(callback), m_clock.now() + m_settings.claimTimeout};
    waiter.request.attempt = std::max<std::uint32_t>(request.attempt, 1);
    Effects effects;
    Shard &shard = shardOf(request.key.fingerprint());
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        submitLocked(shard, std::move(waiter), effects);
    }
    carryOut(effects);
}

std::optional<ClaimDecision> Admission::State::localDecisionLocked(Shard &shard,
                                                                   const Waiter &waiter) const
{
    const ClaimRecord *record = shard.find(waiter.request.key.fingerprint());
    if (!record || !record->isRunningHere || !record->isHeld())
        return std::nullopt;
    if (record->digest != waiter.request.digest)
        return ClaimDecision{ClaimOutcome::Conflict, {}, "the key was used with a different body"};
    const bool isReleased = waiter.operation == ClaimOperation::Close && record->starts == 0
                            && waiter.request.attempt >= record->heldAttempt;
    if (isReleased)
        return std::nullopt;
    return ClaimDecision{ClaimOutcome::Held, m_self, "this host runs the submission"};
}

void Admission::State::submitLocked(Shard &shard, Waiter waiter, Effects &effects)
{
    const KeyFingerprint key = waiter.request.key.fingerprint();
    if (const std::optional<ClaimDecision> known = localDecisionLocked(shard, waiter)) {
        effects.call([callback = std::move(waiter.callback), known] { callback(*known); });
        return;
    }
    ClaimRecord *record = shard.find(key);
    if (record && record->isRunningHere) {
        record->isRunningHere = false;
        record->closedUpTo = std::max(record->closedUpTo, waiter.request.attempt);
    }
    const auto existing = shard.pending.find(key);
    if (existing != shard.pending.end()) {
        existing->second.waiters.push_back(std::move(waiter));
        return;
    }
    Pending pending = pendingFor(std::move(waiter));
    std::optional<ClaimReply> reply;
    if (!record && isFull()) {
        reply = ClaimReply{};
        reply->status = ClaimStatus::Uncertain;
        reply->reason = "the maximum number of submission records is reached";
    } else {
        reply = dispatchLocked(shard, pending, effects);
    }
    if (!reply || !isFinal(*reply)) {
        shard.pending.emplace(key, std::move(pending));
        return;
    }
    const ClaimDecision decision = applyLocked(shard, pending, *reply);
    finishLocked(std::move(pending), decision, effects);
}

Admission::State::Pending Admission::State::pendingFor(Waiter waiter)
{
    const SubmissionRequest &request = waiter.request;
    Pending pending;
    pending.message.operation = waiter.operation;
    pending.message.request = m_nextRequest.fetch_add(1, std::memory_order_relaxed);
    pending.message.epoch = 0;
    pending.message.keyHigh = static_cast<std::int64_t>(request.key.fingerprint().high);
    pending.message.keyLow = static_cast<std::int64_t>(request.key.fingerprint().low);
    pending.message.digest = static_cast<std::int64_t>(request.digest);
    pending.message.attempt = request.attempt;
    if (request.key.ticket())
        pending.message.issuer = asWire(request.key.ticket()->issuer);
    if (request.key.issuedAt()) {
        const auto issued = request.key.issuedAt()->time_since_epoch();
        pending.message.issuedMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(issued).count();
    }
    pending.home = request.key.home();
    pending.startedAt = m_clock.now();
    pending.sentAt = pending.startedAt;
    pending.deadline = waiter.deadline;
    pending.waiters.push_back(std::move(waiter));
    return pending;
}

std::optional<Admission::State::Route> Admission::State::placedRoute(const Shard &shard,
                                                                     const Pending &pending) const
{
    std::shared_ptr<const Placement> remote;
    const Placement *placement = nullptr;
    if (pending.home == m_self.dataCentre) {
        placement = shard.view ? &shard.view->placement : nullptr;
    } else {
        const std::lock_guard<std::mutex> guard(m_remoteLock);
        const auto found = m_remoteViews.find(pending.home);
        if (found != m_remoteViews.end())
            remote = found->second;
        placement = remote.get();
    }
    if (!placement)
        return std::nullopt;
    const auto epoch = static_cast<std::int64_t>(placement->view().epoch);
    if (pending.message.issuer) {
        const HostIncarnation issuer = fromWire(*pending.message.issuer);
        if (placement->view().contains(issuer))
            return Route{issuer, epoch};
    }
    const Placement::Hosts hosts = placement->hostsOf(keyOf(pending.message));
    if (hosts.directory == Placement::None)
        return std::nullopt;
    return Route{placement->member(hosts.directory), epoch};
}

std::optional<Admission::State::Route> Admission::State::routeLocked(const Shard &shard,
                                                                     const Pending &pending) const
{
    if (!pending.message.issuer)
        return placedRoute(shard, pending);
    const HostIncarnation issuer = fromWire(*pending.message.issuer);
    if (issuer == m_self)
        return Route{m_self, 0};
    const std::optional<Route> placed = placedRoute(shard, pending);
    return placed ? placed : Route{issuer, 0};
}

std::optional<ClaimReply> Admission::State::dispatchLocked(Shard &shard, Pending &pending,
                                                           Effects &effects)
{
    pending.sentAt = m_clock.now();
    const std::optional<Route> route = routeLocked(shard, pending);
    if (!route)
        return std::nullopt;
    pending.message.epoch = route->epoch;
    if (route->to == m_self)
        return answerLocked(shard, Self, pending.message, effects);
    effects.send(route->to, pending.message);
    return std::nullopt;
}

void Admission::State::receive(const ClaimReply &reply)
{
    const KeyFingerprint key{static_cast<std::uint64_t>(reply.keyHigh),
                             static_cast<std::uint64_t>(reply.keyLow)};
    Effects effects;
    Shard &shard = shardOf(key);
    {
        const std::lock_guard<std::mutex> guard(shard.lock);
        resolveLocked(shard, reply, effects);
    }
    carryOut(effects);
}

void Admission::State::resolveLocked(Shard &shard, const ClaimReply &reply, Effects &effects)
{
    const KeyFingerprint key{static_cast<std::uint64_t>(reply.keyHigh),
                             static_cast<std::uint64_t>(reply.keyLow)};
    const auto found = shard.pending.find(key);
    if (found == shard.pending.end() || found->second.message.request != reply.request)
        return;
    const bool isHomedHere = found->second.home == m_self.dataCentre;
    if (!isFinal(reply)) {
        if (reply.view && !isHomedHere)
            effects.call([this, home = found->second.home, view = fromWire(*reply.view)] {
                updateRemoteView(home, view);
            });
        return;
    }
    // The members of this view may lack the record of a grant under an earlier view.
    const bool isOpaque = !found->second.message.issuer;
    if (isOpaque && isHomedHere && (!shard.view || shard.view->epoch() != reply.epoch))
        return;
    Pending pending = std::move(found->second);
    shard.pending.erase(found);
    const ClaimDecision decision = applyLocked(shard, pending, reply);
    finishLocked(std::move(pending), decision, effects);
}

ClaimDecision Admission::State::applyLocked(Shard &shard, const Pending &pending,
                                            const ClaimReply &reply)
{
    ClaimDecision decision{outcomeOf(reply.status), {}, reply.reason.value_or("")};
    if (reply.holder)
        decision.holder = fromWire(*reply.holder);
    const bool isGranted = decision.outcome == ClaimOutcome::Granted;
    if (!isGranted && decision.outcome != ClaimOutcome::Closed)
        return decision;
    ClaimRecord initial;
    initial.since = pending.startedAt;
    initial.isHomedHere = pending.home == m_self.dataCentre;
    if (pending.message.issuer)
        initial.issuer = issuerNumber(*pending.message.issuer);
    ClaimRecord &record = shard.findOrAdd(keyOf(pending.message), initial, expiryDue());
    record.digest = static_cast<std::uint64_t>(pending.message.digest);
    if (!pending.message.issuer)
        record.decidedEpoch = std::max(record.decidedEpoch, reply.epoch);
    const auto attempt = static_cast<std::uint32_t>(pending.message.attempt);
    if (isGranted) {
        record.since = pending.startedAt;
        record.holder = Self;
        record.heldAttempt = attempt;
        record.starts = 0;
        record.isRunningHere = record.isHeld();
        m_granted.fetch_add(1, std::memory_order_relaxed);
    } else {
        record.closedUpTo = std::max(record.closedUpTo, attempt);
    }
    return decision;
}

void Admission::State::finishLocked(Pending pending, const ClaimDecision &decision,
                                    Effects &effects)
{
    std::size_t next = 0;
    if (!pending.isRelease && !pending.waiters.empty()) {
        if (decision.outcome == ClaimOutcome::Uncertain)
            m_uncertain.fetch_add(1, std::memory_order_relaxed);
        effects.call([callback = std::move(pending.waiters.front().callback), decision] {
            callback(decision);
        });
        next = 1;
    }
    // Requests received in the meantime are decided by the new record.
    for (; next < pending.waiters.size(); ++next) {
        effects.call([this, waiter = std::move(pending.waiters[next])] {
            submit(waiter.operation, waiter.request, waiter.callback);
        });
    }
}

ClaimRecord *Admission::State::Shard::findRunning(const SubmissionRequest &request)
{
    ClaimRecord *record = find(request.key.fingerprint());
    const bool isRunning = record && record->isRunningHere && record->isHeld()
                           && record->heldAttempt == std::max<std::uint32_t>(request.attempt, 1);
    return isRunning ? record : nullptr;
}

bool Admission::State::mayStart(const SubmissionRequest &request)
{
    Shard &shard = shardOf(request.key.fingerprint());
    const std::lock_guard<std::mutex> guard(shard.lock);
    ClaimRecord *record = shard.findRunning(request);
    if (!record || m_clock.now() - record->since >= m_settings.startWindow)
        return false;
    ++record->starts;
    return true;
}

void Admission::State::startRevoked(const SubmissionRequest &request)
{
    Shard &shard = shardOf(request.key.fingerprint());
    const std::lock_guard<std::mutex> guard(shard.lock);
    ClaimRecord *record = shard.findRunning(request);
    if (record && record->starts > 0)
        --record->starts;
}

void Admission::State::expireWaitersLocked(Pending &pending, Effects &effects)
{
    const MonotonicTime now = m_clock.now();
    const ClaimDecision late{ClaimOutcome::Uncertain, {}, "no answer in time"};
    auto &waiters = pending.waiters;
    const auto firstLate = std::stable_partition(
            waiters.begin(), waiters.end(), [now](const Waiter &w) { return w.deadline > now; });
    for (auto waiter = firstLate; waiter != waiters.end(); ++waiter) {
        m_uncertain.fetch_add(1, std::memory_order_relaxed);
        effects.call([callback = std::move(waiter->callback), late] { callback(late); });
    }
    waiters.erase(firstLate, waiters.end());
}

bool Admission::State::expirePendingLocked(Pending &pending, Effects &effects)
{
    const bool isLate = m_clock.now() >= pending.deadline;
    expireWaitersLocked(pending, effects);
    if (!isLate)
        return true;
    const bool isTimedOutClaim =
            !pending.isRelease && pending.message.operation == ClaimOperation::Run;
    if (!isTimedOutClaim) {
        pending.isRelease = true;
        finishLocked(std::move(pending), {}, effects);
        return false;
    }
    // This host will not run the attempt; closing it allows a later attempt on another host.
    pending.isRelease = true;
    pending.message.operation = ClaimOperation::Close;
    pending.message.request = m_nextRequest.fetch_add(1, std::memory_order_relaxed);
    pending.deadline = m_clock.now() + m_settings.startWindow;
    pending.sentAt = {};
    return true;
}

void Admission::State::tickPendingLocked(Shard &shard, Effects &effects)
{
    std::vector<ClaimReply> replies;
    const MonotonicTime now = m_clock.now();
    for (auto entry = shard.pending.begin(); entry != shard.pending.end();) {
        Pending &pending = entry->second;
        if (!expirePendingLocked(pending, effects)) {
            entry = shard.pending.erase(entry);
            continue;
        }
        const Duration interval = pending.isRelease
                                          ? ReleaseResendFactor * m_settings.resendInterval
                                          : m_settings.resendInterval;
        if (now - pending.sentAt >= interval) {
            if (std::optional<ClaimReply> reply = dispatchLocked(shard, pending, effects))
                replies.push_back(std::move(*reply));
        }
        ++entry;
    }
    for (const ClaimReply &reply : replies)
        resolveLocked(shard, reply, effects);
}

} // namespace anvilmill
