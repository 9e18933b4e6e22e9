#pragma once

#include "anvilmill/admission/admission.h"
#include "anvilmill/admission/jobtable.h"
#include "submissionhistory.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::testing {

/// \brief Faults injected in a run, in addition to those of every run.
enum class Fault {
    KillHost,
    KillTwoHosts,
    PauseHost,
    IsolateHost,
    DisconnectedDataCentre,
    SlowNetwork,
    LossyNetwork,
    SilentExecutors,
    RefusingExecutors,
    LostAnswers,
    Overload,
};

/// \brief How the entry hosts decide on submissions; all variants but Claims are deliberately
/// incorrect.
enum class Variant { Claims, TablePerHost, RetryAfterSend, RefusalByNonOwner };

class Cluster;

/// \brief The answer of an entry host to a caller, or to another host for its caller.
struct HostAnswer
{
    bool isFinished = false;
    std::vector<std::string> outputs;
    Verdict verdict = Verdict::MayHaveRun;
};

using AnswerCallback = std::function<void(const HostAnswer &)>;

/// \brief One entry host: the real Admission and JobTable with simulated peers.
class FakeHost final : public ClaimLink, public ViewGuard
{
public:
    FakeHost(Cluster &cluster, HostIncarnation self);

    void submit(const Attempt &attempt, const AnswerCallback &callback);
    /// Calls \p callback once the job of \p key has ended on this host.
    void awaitEnd(const std::string &key, const AnswerCallback &callback);
    void adopt(const View &view);
    /// Renews the lease without checking that this host reaches the platform.
    void renewLease();

    void send(const HostIncarnation &to, const AdmissionMessage &message) override;
    [[nodiscard]] View currentView() const override { return m_view; }
    [[nodiscard]] bool mayActAsOwner() const override;

    [[nodiscard]] Admission &admission() { return m_admission; }
    [[nodiscard]] const HostIncarnation &self() const { return m_self; }
    [[nodiscard]] MonotonicTime leaseEnd() const { return m_leaseEnd; }

    bool isAlive = true;
    bool isPaused = false;
    bool isIsolated = false;
    std::vector<std::function<void()>> deferredEvents;

private:
    struct Job
    {
        Attempt attempt;
        SubmissionRequest request;
        std::vector<AnswerCallback> waiters;
        std::optional<HostAnswer> answer;
    };

    void decided(const Attempt &attempt, const SubmissionRequest &request,
                 const ClaimDecision &decision, const AnswerCallback &callback);
    void run(const Attempt &attempt, const SubmissionRequest &request,
             const AnswerCallback &callback);
    void startTask(JobNumber number, std::uint32_t task);
    void sendTask(JobNumber number, std::uint32_t task);
    void taskFailed(JobNumber number, std::uint32_t task, Verdict verdict);
    void taskNotStarted(JobNumber number, std::uint32_t task);
    void ended(JobNumber number, const JobOutcome &outcome);
    void close(JobNumber number);
    void publish(Job &job, const HostAnswer &answer);
    void tickLater();

    Cluster &m_cluster;
    HostIncarnation m_self;
    View m_view;
    MonotonicTime m_leaseEnd;
    /// Once its lease has expired and been renewed, the host acts as owner only from this epoch on.
    std::uint64_t m_oldestEpochToActIn = 0;
    Admission m_admission;
    JobTable m_table{2};
    std::map<JobNumber, Job> m_jobs;
    std::map<std::string, JobNumber> m_jobOfKey;
    JobNumber m_nextJob = 1;
};

} // namespace anvilmill::testing
