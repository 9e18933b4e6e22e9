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

/// \brief Bounds and times of Admission.
struct AdmissionSettings
{
    /// The configured data centres, the same list in the same words on every entry host.
    std::vector<std::string> dataCentres;
    HashSecret secret;
    /// How long a submission is remembered after its claim.
    Duration retention = std::chrono::minutes(10);
    /// How long after its claim a submission may start tasks; below the retention.
    Duration startWindow = std::chrono::minutes(5);
    /// A claim without an answer by then is uncertain.
    Duration claimTimeout = std::chrono::seconds(2);
    /// An unanswered message is sent again after this time.
    Duration resendInterval = std::chrono::milliseconds(100);
    /// Error of calendar clocks, those of callers that issue timed keys included.
    Duration clockError = std::chrono::seconds(5);
    /// Submissions remembered at once; new ones are not admitted beyond.
    std::size_t maxRecords = 400'000;
    std::size_t shards = 64;
};

/// \brief Counters of Admission since its construction, and the present sizes.
struct AdmissionStatus
{
    std::size_t records = 0;
    std::size_t pendingClaims = 0;
    /// True once every member of the view has handed its records over.
    bool isReady = false;
    /// True while opaque keys without a later issue time can't be admitted.
    bool hasForgotten = false;
    std::uint64_t granted = 0;
    std::uint64_t uncertain = 0;
    std::uint64_t messagesSent = 0;
};

/// \brief Decides which entry host runs a submission, so that none runs twice.
///
/// The host that receives a submission claims its key with one message to the key's directory
/// host, and runs it itself once the claim is granted. A claim is granted only when two members
/// of the home data centre's view know it, or by the issuer of a ticket. Records are kept in
/// memory for the retention and are handed over on every new view.
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

    /// \brief New submission ids of this host. Precondition: \p count is positive.
    [[nodiscard]] std::vector<Ticket> issueTickets(std::size_t count);

    /// \brief SubmissionKey::parse() with the settings of this host.
    [[nodiscard]] Result<SubmissionKey> parseKey(std::string_view text) const;

    /// \brief Asks to run a submission; \p callback is called exactly once.
    void claim(const SubmissionRequest &request, ClaimCallback callback);

    /// \brief Closes all attempts up to that of \p request; \p callback is called exactly once.
    ///
    /// Closed means that "not run" is true. Held means that a host runs or ran it, this one
    /// included if mayStart() was true. A claim of this host without a start is given back:
    /// mayStart() is false from then on, whatever the outcome.
    void refuse(const SubmissionRequest &request, ClaimCallback callback);

    /// \brief True if a task of the attempt of \p request may be sent to an executor now.
    ///
    /// To be asked just before each start: a host that was paused may have outlived its claim.
    /// True counts as a start, after which refuse() does not close the attempt any more.
    [[nodiscard]] bool mayStart(const SubmissionRequest &request);

    /// \brief Takes back one mayStart() for a task that is known not to have been started.
    void startRevoked(const SubmissionRequest &request);

    /// \brief Takes a message that another host's ClaimLink sent to this one.
    void receive(const HostIncarnation &from, const AdmissionMessage &message);

    /// \brief Follows a new view of this host's data centre, also one that excludes this host.
    ///
    /// Views with an epoch that is not higher than the last one's are ignored.
    void viewAdopted(const View &view);

    /// \brief Learns a view of another data centre, for claims of keys that are homed there.
    void updateRemoteView(const std::string &dataCentre, const View &view);

    /// \brief Sends again what is unanswered, ends late claims and drops old records.
    ///
    /// To be called several times per AdmissionSettings::resendInterval.
    void tick();

    [[nodiscard]] AdmissionStatus status() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace anvilmill
