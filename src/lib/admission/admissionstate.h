#pragma once

#include "anvilmill/admission/admission.h"
#include "anvilmill/admission/placement.h"
#include "claimrecord.h"
#include "effects.h"
#include "hostnumbers.h"
#include "transfertracker.h"
#include "viewhistory.h"

#include <admission.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief Implementation of Admission.
///
/// Lock order: m_adoptLock, then a shard's lock, then m_viewLock or m_remoteLock. At most one
/// shard is locked at a time. Methods named ...Locked need the lock of the shard given.
class Admission::State
{
public:
    State(HostIncarnation self, AdmissionSettings settings, const Clock &clock,
          const ViewGuard &guard, ClaimLink &link);

    [[nodiscard]] const AdmissionSettings &settings() const noexcept { return m_settings; }
    [[nodiscard]] AdmissionStatus status() const;
    [[nodiscard]] std::vector<Ticket> issueTickets(std::size_t count);

    // Requests of this host.
    void submit(wire::admission::ClaimOperation operation, const SubmissionRequest &request,
                ClaimCallback callback);
    [[nodiscard]] bool mayStart(const SubmissionRequest &request);
    void startRevoked(const SubmissionRequest &request);
    void receive(const wire::admission::ClaimReply &reply);

    // Requests to this host as the directory.
    void receive(const HostIncarnation &from, const wire::admission::ClaimRequest &request);
    void receive(const HostIncarnation &from, const wire::admission::CopyRequest &request);
    void receive(const wire::admission::CopyReply &reply);

    // Views.
    void viewAdopted(const View &view);
    void updateRemoteView(const std::string &dataCentre, const View &view);
    void receive(const HostIncarnation &from, const wire::admission::Handover &handover);
    void receive(const HostIncarnation &from, const wire::admission::HandoverReply &reply);
    void receive(const HostIncarnation &from, const wire::admission::HandoverDone &done);

    void tick();

private:
    using ClaimOperation = wire::admission::ClaimOperation;
    using ClaimStatus = wire::admission::ClaimStatus;
    using ClaimRequest = wire::admission::ClaimRequest;
    using ClaimReply = wire::admission::ClaimReply;

    /// Number of this host, which the constructor registers first.
    static constexpr HostNumber Self = 0;

    /// A view of this host's data centre, shared by the shards.
    struct OwnView
    {
        explicit OwnView(View view, const HostIncarnation &self);

        Placement placement;
        std::size_t selfIndex = Placement::None;
        std::atomic<bool> isReady{false};

        [[nodiscard]] std::int64_t epoch() const noexcept;
    };

    struct Waiter
    {
        ClaimOperation operation = ClaimOperation::Run;
        SubmissionRequest request;
        ClaimCallback callback;
        MonotonicTime deadline;
    };

    /// A request of this host to the directory that has not been answered yet.
    struct Pending
    {
        ClaimRequest message;
        std::string home;
        MonotonicTime startedAt;
        MonotonicTime sentAt;
        MonotonicTime deadline;
        /// Callers that wait for the answer. The message is that of the first one, unless
        /// isRelease.
        std::vector<Waiter> waiters;
        /// True if the message closes an attempt whose claim was not answered in time.
        bool isRelease = false;
    };

    /// A reply that is sent once the copy of its record is confirmed.
    struct AwaitedCopy
    {
        HostNumber requester = NoHost;
        ClaimReply reply;
        MonotonicTime deadline;
    };

    /// Time at which to check whether a record has exceeded the retention; ordered by time.
    struct Expiry
    {
        KeyFingerprint key;
        MonotonicTime due;
    };

    struct Shard
    {
        explicit Shard(std::atomic<std::size_t> &counter)
            : recordsOfAllShards(counter)
        {
        }

        std::atomic<std::size_t> &recordsOfAllShards;
        mutable std::mutex lock;
        std::unordered_map<KeyFingerprint, ClaimRecord, FingerprintHash> records;
        std::deque<Expiry> expiry;
        std::unordered_map<KeyFingerprint, Pending, FingerprintHash> pending;
        std::unordered_map<std::int64_t, AwaitedCopy> copies;
        std::shared_ptr<OwnView> view;

        [[nodiscard]] ClaimRecord *find(const KeyFingerprint &key);
        /// The record if this host runs the attempt of \p request.
        [[nodiscard]] ClaimRecord *findRunning(const SubmissionRequest &request);
        void remove(const KeyFingerprint &key);
        ClaimRecord &findOrAdd(const KeyFingerprint &key, const ClaimRecord &initial,
                               MonotonicTime due);
    };

    /// The destination of a request.
    struct Route
    {
        HostIncarnation to;
        std::int64_t epoch = 0;
    };

    [[nodiscard]] Shard &shardOf(const KeyFingerprint &key) const;
    [[nodiscard]] bool isFull() const;
    /// True if \p host is a member of the view of \p epoch, and that is the current one.
    [[nodiscard]] bool isMember(const HostIncarnation &host, std::int64_t epoch) const;
    /// Numbers all hosts that \p handover names besides its records. Returns false if it can't be one of a
    /// host of this data centre.
    [[nodiscard]] bool isPlausible(const HostIncarnation &from,
                                   const wire::admission::Handover &handover);
    [[nodiscard]] WallTime steadyWallNow() const;
    [[nodiscard]] HostNumber issuerNumber(const wire::admission::Host &issuer);
    [[nodiscard]] MonotonicTime expiryDue() const { return m_clock.now() + m_settings.retention; }
    void countIgnored() { m_messagesIgnored.fetch_add(1, std::memory_order_relaxed); }
    void carryOut(Effects &effects);

    // Requests of this host.
    [[nodiscard]] Pending pendingFor(Waiter waiter);
    [[nodiscard]] std::optional<ClaimDecision> localDecisionLocked(Shard &shard,
                                                                   const Waiter &waiter) const;
    void submitLocked(Shard &shard, Waiter waiter, Effects &effects);
    [[nodiscard]] std::optional<Route> routeLocked(const Shard &shard,
                                                   const Pending &pending) const;
    [[nodiscard]] std::optional<Route> placedRoute(const Shard &shard,
                                                   const Pending &pending) const;
    /// Sends the message, or decides the request if this host is the directory.
    [[nodiscard]] std::optional<ClaimReply> dispatchLocked(Shard &shard, Pending &pending,
                                                           Effects &effects);
    void resolveLocked(Shard &shard, const ClaimReply &reply, Effects &effects);
    [[nodiscard]] ClaimDecision applyLocked(Shard &shard, const Pending &pending,
                                            const ClaimReply &reply);
    void finishLocked(Pending pending, const ClaimDecision &decision, Effects &effects);
    void expireWaitersLocked(Pending &pending, Effects &effects);
    /// Applies the deadlines of \p pending. Returns false if it has ended and must be removed.
    [[nodiscard]] bool expirePendingLocked(Pending &pending, Effects &effects);
    void tickPendingLocked(Shard &shard, Effects &effects);

    // Requests to this host as the directory.
    [[nodiscard]] ClaimReply decideLocked(Shard &shard, HostNumber from,
                                          const ClaimRequest &request);
    [[nodiscard]] std::optional<ClaimReply> refusalLocked(const Shard &shard,
                                                          const ClaimRequest &request) const;
    [[nodiscard]] const char *reasonNotGrantable(const ClaimRequest &request) const;
    [[nodiscard]] const char *reasonTicketNotGrantable(const ClaimRequest &request) const;
    [[nodiscard]] bool mayHaveLostRecord(const ClaimRequest &request) const;
    /// True if the record of a later attempt than those of \p record may have been lost.
    [[nodiscard]] bool isOutdated(const ClaimRecord &record, const ClaimRequest &request) const;
    /// The reply if another host, or a later request of the same host, holds the claim.
    [[nodiscard]] std::optional<ClaimReply> heldReply(const ClaimRecord &record, HostNumber from,
                                                      const ClaimRequest &request) const;
    [[nodiscard]] ClaimReply decideRun(ClaimRecord &record, HostNumber from,
                                       const ClaimRequest &request) const;
    [[nodiscard]] ClaimReply decideClose(ClaimRecord &record, const ClaimRequest &request) const;
    [[nodiscard]] bool needsCopyLocked(const Shard &shard, HostNumber from,
                                       const ClaimRequest &request, const ClaimReply &reply) const;
    void requestCopyLocked(Shard &shard, HostNumber from, const ClaimReply &reply,
                           Effects &effects);
    /// Decides, and returns the reply unless a copy of the record has to be confirmed first.
    [[nodiscard]] std::optional<ClaimReply>
    answerLocked(Shard &shard, HostNumber from, const ClaimRequest &request, Effects &effects);

    // Views.
    using RecordsByMember = std::map<HostIncarnation, TransferTracker::Batches>;
    class TransferWriter;
    void adopt(const View &view, Effects &effects);
    void adoptLocked(Shard &shard, const std::shared_ptr<OwnView> &view, TransferWriter &writer,
                     Effects &effects);
    void resendLocked(Shard &shard, const std::string &dataCentre, Effects &effects);
    void checkReady(Effects &effects);
    void expireRecordsLocked(Shard &shard) const;
    void publishRecordLoss();

    const AdmissionSettings m_settings;
    const Clock &m_clock;
    const ViewGuard &m_guard;
    ClaimLink &m_link;
    const HostIncarnation m_self;
    const WallTime m_wallAtStart;
    const MonotonicTime m_startedAt;
    HostNumbers m_hosts;
    std::atomic<std::size_t> m_records{0};
    std::vector<std::unique_ptr<Shard>> m_shards;
    std::atomic<std::int64_t> m_nextRequest{1};
    std::atomic<std::uint64_t> m_nextTicket{1};

    std::mutex m_adoptLock;
    mutable std::mutex m_viewLock;
    std::shared_ptr<OwnView> m_view;
    ViewHistory m_history;
    TransferTracker m_transfers;
    /// Time of the last record loss; NoRecordLoss if there was none.
    std::atomic<Duration::rep> m_lastRecordLoss;

    mutable std::mutex m_remoteLock;
    std::map<std::string, std::shared_ptr<const Placement>> m_remoteViews;

    std::atomic<std::uint64_t> m_granted{0};
    std::atomic<std::uint64_t> m_uncertain{0};
    std::atomic<std::uint64_t> m_messagesSent{0};
    std::atomic<std::uint64_t> m_messagesIgnored{0};
};

} // namespace anvilmill
