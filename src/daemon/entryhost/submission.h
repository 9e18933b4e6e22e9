#pragma once

#include "loop/bytebudget.h"

#include "anvilmill/admission/claim.h"
#include "anvilmill/admission/jobtable.h"
#include "anvilmill/clock.h"
#include "anvilmill/job.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief One submission that this entry host runs or has run, and its outcome.
///
/// Thread safety: all methods may be called from any thread.
class Submission
{
public:
    /// \p charge is released when the submission has ended.
    Submission(JobNumber number, std::shared_ptr<const JobSpec> spec, SubmissionRequest request,
               MonotonicTime arrival, std::unique_ptr<ByteCharge> charge = nullptr);

    [[nodiscard]] JobNumber number() const noexcept { return m_number; }
    [[nodiscard]] const JobSpec &spec() const noexcept { return *m_spec; }
    [[nodiscard]] const std::shared_ptr<const JobSpec> &sharedSpec() const noexcept
    {
        return m_spec;
    }
    [[nodiscard]] const SubmissionRequest &request() const noexcept { return m_request; }
    [[nodiscard]] MonotonicTime arrival() const noexcept { return m_arrival; }

    /// \brief Records the outcome, wakes all waiters and runs the callbacks. Later calls have no
    /// effect.
    void end(const JobOutcome &outcome, MonotonicTime now);

    /// \brief Waits for the outcome at most for \p timeout.
    [[nodiscard]] std::optional<JobOutcome> wait(Duration timeout) const;

    [[nodiscard]] std::optional<JobOutcome> outcome() const;

    /// \brief Calls \p callback once when the outcome is recorded: immediately if it already is,
    /// otherwise on the thread that ends the submission. Returns false, and never calls it, if too many wait.
    [[nodiscard]] bool whenEnded(std::function<void()> callback);

    /// \brief True if it ended with "not run".
    [[nodiscard]] bool wasNotRun() const;

    /// \brief True if it ended with "not run" and a later attempt may run it.
    [[nodiscard]] bool isOpenFor(std::uint32_t attempt) const;

    /// \brief When the outcome was recorded.
    [[nodiscard]] std::optional<MonotonicTime> endTime() const;

private:
    JobNumber m_number;
    std::shared_ptr<const JobSpec> m_spec;
    SubmissionRequest m_request;
    MonotonicTime m_arrival;

    mutable std::mutex m_lock;
    mutable std::condition_variable m_ended;
    std::optional<JobOutcome> m_outcome;
    std::optional<MonotonicTime> m_endTime;
    std::vector<std::function<void()>> m_callbacks;
    std::unique_ptr<ByteCharge> m_charge;
};

} // namespace anvilmill::daemon
