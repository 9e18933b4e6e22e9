#pragma once

#include "anvilmill/admission/submissionkey.h"
#include "anvilmill/membership/view.h"
#include "anvilmill/verdict.h"

#include <cstdint>
#include <functional>
#include <string>

namespace anvilmill {

struct AdmissionMessage;

/// \brief One attempt at a submission, as an entry host received it.
struct SubmissionRequest
{
    SubmissionKey key;
    /// Starts at 1; a retry after "not run" carries a higher one.
    std::uint32_t attempt = 1;
    /// Digest of the body; see bodyDigest().
    std::uint64_t digest = 0;
};

/// \brief Outcome of a claim or of a refusal.
enum class ClaimOutcome {
    /// This host runs the submission, and no other ever will for this attempt.
    Granted,
    /// A host runs or ran the submission, and that host provides the answer. If the answer is
    /// "not run", refuse() has to confirm it before it is sent to the caller: it may refer to
    /// another attempt.
    Held,
    /// The key belongs to a submission with a different body.
    Conflict,
    /// This attempt was refused and will never run.
    Closed,
    /// No reachable host can decide; the submission may have run.
    Uncertain,
};

/// \brief Name of \p outcome in logs.
[[nodiscard]] std::string_view asString(ClaimOutcome outcome) noexcept;

/// \brief Answer to a claim or to a refusal.
struct ClaimDecision
{
    ClaimOutcome outcome = ClaimOutcome::Uncertain;
    /// The host that provides the answer, if Held; may be this host.
    HostIncarnation holder;
    /// Reason of the decision, unless granted.
    std::string reason;

    /// \brief Verdict to report to the caller if its request ends with this decision.
    ///
    /// After a conflict, too, the submission that owns the key may have run.
    [[nodiscard]] Verdict verdict() const noexcept;
};

using ClaimCallback = std::function<void(const ClaimDecision &)>;

/// \brief Carries messages of Admission to other entry hosts, of any data centre.
///
/// Messages may be lost, delayed, reordered and duplicated. Implementations are safe to call
/// from any thread and must not call back into Admission from send().
class ClaimLink
{
public:
    virtual ~ClaimLink() = default;

    virtual void send(const HostIncarnation &to, const AdmissionMessage &message) = 0;
};

} // namespace anvilmill
