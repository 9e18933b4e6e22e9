#pragma once

#include "callermemory.h"
#include "expiryqueue.h"
#include "peergateway.h"
#include "retainedanswers.h"
#include "roomforecast.h"
#include "submissiontable.h"

#include "anvilmill/admission/admission.h"
#include "anvilmill/configuration/revision.h"
#include "anvilmill/objectives/objectiverecorder.h"
#include "anvilmill/randomsource.h"

#include "backend/jobrunner.h"
#include "loop/limitreport.h"
#include "metrics/requestmetrics.h"
#include "settingsfile.h"

#include <hoststatus.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace anvilmill::daemon {

/// \brief A job received from a caller, with the caller's identification of the submission.
struct IncomingJob
{
    /// The caller's idempotency key; if empty, the entry host generates an id.
    std::string key;
    /// Attempt number of the submission; a retry after "not run" has a higher one.
    std::uint32_t attempt = 1;
    /// Digest of the body; distinguishes a resubmission from another job under the same key.
    std::string digest;
    std::string service;
    std::string team;
    std::vector<TaskSpec> tasks;
    std::optional<Duration> deadline;
    bool isRepeatable = true;
    bool isUrgent = false;
};

/// \brief Result of submitting a job: a submission to wait for, or a refusal with its verdict.
struct SubmitResult
{
    enum class Kind {
        Accepted,
        Attached,
        /// Another entry host holds the submission; see `holder`.
        HeldByOtherHost,
        Conflict,
        /// See `reason`, `cause` and `verdict`.
        Refused,
        /// The idempotency key is invalid; see `reason`.
        InvalidKey,
        /// It could not be determined whether another host runs the submission; see `reason` and
        /// `verdict`.
        Uncertain,
    };

    Kind kind = Kind::Refused;
    /// The submission's id.
    std::string id;
    std::shared_ptr<Submission> submission;
    HostIncarnation holder;
    /// For Refused: the reason, and whether the submission may have run.
    std::string reason;
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<Duration> retryAfter;
    Refusal::Cause cause = Refusal::Cause::QueueFull;
};

/// \brief State of one entry host for operators.
using HostStatus = wire::hoststatus::HostStatus;

/// \brief One entry host: accepts jobs, runs each once, and retains the answers.
///
/// Thread safety: all methods may be called from any thread.
class EntryHost
{
public:
    /// Precondition: \p clock, \p guard and \p gateway outlive the host.
    EntryHost(const Settings &settings, const Clock &clock, const HostIncarnation &self,
              const ViewGuard &guard, PeerGateway &gateway);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /// \brief Accepts, attaches to, or refuses a job. Blocks while the submission is claimed, at
    /// most for a few seconds.
    [[nodiscard]] SubmitResult submit(IncomingJob job);
    [[nodiscard]] std::shared_ptr<Submission> find(const std::string &id) const;
    [[nodiscard]] std::optional<JobProgress> progress(const Submission &submission) const;
    void cancel(const Submission &submission);

    /// \brief Requests an answer from \p holder, or from each peer in turn if no holder is given.
    ///
    /// Each request blocks as long as \p wait says. Returns std::nullopt if no reachable host has
    /// the submission.
    [[nodiscard]] std::optional<AnswerReply>
    requestAnswerFromPeers(const std::optional<HostIncarnation> &holder,
                           const AnswerRequest &request, const AnswerWait &wait);

    [[nodiscard]] std::vector<Ticket> issueTickets(std::size_t count);

    /// \brief Applies a new view of this data centre to claims and to the sharing of slots.
    void viewAdopted(const View &view);

    /// \brief Applies the service-level objectives of \p configuration.
    void configurationChanged(const Configuration &configuration);

    /// \brief Handles a dispatch batch (queued work and slots) from the member \p sender.
    void receiveBatch(const std::string &sender, const DispatchBatch &batch);

    /// \brief The admission state machine, which handles claim messages and views.
    [[nodiscard]] Admission &admission() noexcept { return m_admission; }

    void setExecutors(const std::vector<ExecutorInfo> &executors);

    /// \brief Makes the readiness check fail; new jobs are still accepted.
    void announceStop();
    /// \brief Makes the host refuse new jobs as not run.
    void refuseNewJobs();
    [[nodiscard]] bool isReady() const noexcept { return !m_isStopAnnounced; }
    [[nodiscard]] bool isIdle() const { return m_runner.isIdle(); }

    /// \brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string metricsText() const;
    [[nodiscard]] HostStatus status() const;
    [[nodiscard]] HostObjectives objectives() const;

    [[nodiscard]] const Settings &settings() const noexcept { return m_settings; }
    [[nodiscard]] const Clock &clock() const noexcept { return m_clock; }
    [[nodiscard]] RunnerFigures figures() const { return m_runner.figures(); }
    [[nodiscard]] std::size_t retainedSubmissions() const { return m_submissions.size(); }
    /// \brief The budget for request bodies that are being received or decoded.
    [[nodiscard]] const std::shared_ptr<ByteBudget> &requestBudget() const
    {
        return m_memory.requests;
    }
    /// \brief Counts the requests and connections of callers that a limit has ended.
    [[nodiscard]] LimitReport &callerLimits() noexcept { return m_callerLimits; }
    [[nodiscard]] const HostIncarnation &self() const noexcept { return m_self; }

private:
    [[nodiscard]] std::shared_ptr<Submission> makeSubmission(IncomingJob job,
                                                             const SubmissionRequest &request,
                                                             std::unique_ptr<ByteCharge> charge);
    /// Confirms that \p request has not run, since there is no memory for its job.
    [[nodiscard]] SubmitResult refuseForMemory(const SubmissionRequest &request);
    /// Claims the submission, or with \p isRefusal closes its attempts.
    [[nodiscard]] ClaimDecision claimOrRefuse(const SubmissionRequest &request, bool isRefusal);
    [[nodiscard]] std::optional<AnswerReply> requestAnswerFromHolder(const HostIncarnation &holder,
                                                                     const AnswerRequest &request,
                                                                     const AnswerWait &wait);
    [[nodiscard]] SubmitResult attach(const std::shared_ptr<Submission> &known,
                                      const SubmissionRequest &request) const;
    [[nodiscard]] SubmitResult toSubmitResult(const ClaimDecision &decision,
                                              const SubmissionRequest &request) const;
    [[nodiscard]] SubmitResult run(const std::shared_ptr<Submission> &submission);
    [[nodiscard]] std::optional<Refusal> enqueue(const std::shared_ptr<Submission> &submission);
    void complete(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome);
    void onJobEnded(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome);
    void recordMetrics(const Submission &submission, const JobOutcome &outcome, MonotonicTime now);
    void maintain();
    void updateRemoteViews(MonotonicTime now);
    void reportIgnoredMessages(MonotonicTime now);
    void evictDue(MonotonicTime now);
    void maintenanceLoop();

    Settings m_settings;
    const Clock &m_clock;
    HostIncarnation m_self;
    PeerGateway &m_gateway;
    std::atomic<JobNumber> m_nextJob{1};
    std::atomic<Revision> m_revision{0};
    std::atomic<bool> m_isStopAnnounced{false};
    std::atomic<bool> m_isRefusing{false};
    SubmissionTable m_submissions;
    ExpiryQueue m_deadlines;
    CallerMemory m_memory;
    RetainedAnswers m_retained;
    RoomForecast m_roomForecast;
    LimitReport m_callerLimits;
    RequestMetrics m_metrics;
    ObjectiveRecorder m_objectives;
    Admission m_admission;
    SeededRandom m_random;
    const ViewGuard &m_guard;
    MonotonicTime m_nextRemoteViewUpdate;
    MonotonicTime m_nextIgnoredReport;
    std::uint64_t m_reportedIgnored = 0;
    JobRunner m_runner;

    std::mutex m_stopLock;
    std::condition_variable m_stop;
    bool m_isStopping = false;
    std::thread m_maintenance;
};

} // namespace anvilmill::daemon
