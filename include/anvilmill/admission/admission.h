#pragma once

#include "anvilmill/admission/claim.h"
#include "anvilmill/admission/submissionkey.h"
#include "anvilmill/clock.h"
#include "anvilmill/membership/view.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief Limits, timeouts and periods of Admission.
struct AdmissionSettings
{
    /// The configured data centres; names and order are identical on every entry host.
    std::vector<std::string> dataCentres;
    HashSecret secret;
    /// How long the record of a submission is kept after its claim.
    Duration retention = std::chrono::minutes(10);
    /// How long after its claim a submission may start tasks; shorter than the retention.
    Duration startWindow = std::chrono::minutes(5);
    /// A claim without an answer within this time is reported as uncertain.
    Duration claimTimeout = std::chrono::seconds(2);
    /// An unanswered message is resent after this time.
    Duration resendInterval = std::chrono::milliseconds(100);
    /// Maximum error of wall clocks, including those of callers that issue keys with a time.
    Duration clockError = std::chrono::seconds(5);
    /// Maximum number of records; new submissions are not admitted beyond it.
    std::size_t maxRecords = 400'000;
    std::size_t shards = 64;
};

/// \brief Counters of Admission since its construction, and its current sizes.
struct AdmissionStatus
{
    std::size_t records = 0;
    std::size_t pendingClaims = 0;
    /// True once this host has received the records of every other member of the view.
    bool isReady = false;
    /// True while opaque keys are rejected unless they were issued after the last record loss.
    bool hasLostRecords = false;
    std::uint64_t granted = 0;
    std::uint64_t uncertain = 0;
    std::uint64_t messagesSent = 0;
    /// Messages that no host of the views can have sent, or beyond the limits for hosts outside them.
    std::uint64_t messagesIgnored = 0;
};

/// \brief Decides which entry host runs a submission, so that no submission runs twice.
///
/// The host that receives a submission claims its key with one message to the key's directory
/// host, and runs it itself once the claim is granted. A claim is granted only when two members
/// of the home data centre's view have a record of it, or by the issuer of a ticket. Records are
/// kept in memory for the retention and are transferred to the responsible members on every new
/// view.
///
/// \code
/// admission.claim(request, [&](const ClaimDecision &decision) {
///     if (decision.outcome == ClaimOutcome::Granted)
///         queue(request);
/// });
/// // just before each task is sent to an executor:
/// if (admission.mayStart(request))
///     send(task);
/// \endcode
///
/// Thread safety: all methods may be called from any thread. Callbacks and ClaimLink::send()
/// are called outside all locks, on the thread of the call that caused them.
class Admission
{
public:
    /// Precondition: all references outlive this object; settings.dataCentres is not empty.
    Admission(HostIncarnation self, AdmissionSettings settings, const Clock &clock,
              const ViewGuard &guard, ClaimLink &link);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// \brief Issues \p count new submission ids of this host. Precondition: \p count is positive.
    [[nodiscard]] std::vector<Ticket> issueTickets(std::size_t count);

    /// \brief SubmissionKey::parse() with the settings of this host.
    [[nodiscard]] Result<SubmissionKey> parseKey(std::string_view text) const;

    /// \brief Requests the right to run a submission; \p callback is called exactly once.
    void claim(const SubmissionRequest &request, ClaimCallback callback);

    /// \brief Closes all attempts up to that of \p request; \p callback is called exactly once.
    ///
    /// Closed confirms the verdict "not run". Held means that a host runs or ran the submission;
    /// this may be this host if mayStart() has returned true. A claim of this host without a start
    /// is released: mayStart() returns false from then on, whatever the outcome.
    void refuse(const SubmissionRequest &request, ClaimCallback callback);

    /// \brief True if a task of the attempt of \p request may be sent to an executor now.
    ///
    /// Call it just before each start, since the start window of the claim may have ended while the
    /// process was stalled. A return value of true counts as a start, after which refuse() no
    /// longer closes the attempt.
    [[nodiscard]] bool mayStart(const SubmissionRequest &request);

    /// \brief Reverts one mayStart() for a task that is known not to have been started.
    void startRevoked(const SubmissionRequest &request);

    /// \brief Handles a message that another host's ClaimLink sent to this one.
    void receive(const HostIncarnation &from, const AdmissionMessage &message);

    /// \brief Adopts a new view of this host's data centre, even one that excludes this host.
    ///
    /// A view is ignored unless its epoch is higher than that of the current view.
    void viewAdopted(const View &view);

    /// \brief Updates the view of another data centre, for claims of keys that are homed there.
    void updateRemoteView(const std::string &dataCentre, const View &view);

    /// \brief Resends unanswered messages, ends claims that have timed out and removes expired
    /// records.
    ///
    /// Call it several times per AdmissionSettings::resendInterval.
    void tick();

    [[nodiscard]] AdmissionStatus status() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace anvilmill
