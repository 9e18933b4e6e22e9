#include "fakehost.h"

#include "anvilmill/admission/message.h"
#include "anvilmill/admission/verdicttable.h"
#include "cluster.h"

#include <utility>

namespace anvilmill::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration LeaseLength = seconds(3);
constexpr Duration TickInterval = milliseconds(50);
constexpr Duration ExecutorTimeout = seconds(2);

} // namespace

FakeHost::FakeHost(Cluster &cluster, HostIncarnation self)
    : m_cluster(cluster)
    , m_self(std::move(self))
    , m_admission(m_self, Cluster::settings(), cluster.m_simulation.clock(), *this, *this)
{
    tickLater();
}

void FakeHost::tickLater()
{
    m_cluster.onHost(*this, TickInterval, [this] {
        m_admission.tick();
        tickLater();
    });
}

bool FakeHost::mayActAsOwner() const
{
    // A data centre that is disconnected as a whole keeps its view, since no host can write a new
    // one.
    const bool isDisconnected = m_cluster.m_disconnectedDataCentres.count(m_self.dataCentre) > 0;
    const bool hasLease = m_cluster.m_simulation.now() < m_leaseEnd;
    return (hasLease || isDisconnected) && m_view.epoch >= m_oldestEpochToActIn;
}

void FakeHost::renewLease()
{
    const MonotonicTime now = m_cluster.m_simulation.now();
    if (now >= m_leaseEnd)
        m_oldestEpochToActIn = m_cluster.m_views[m_self.dataCentre].epoch;
    m_leaseEnd = now + LeaseLength;
}

void FakeHost::adopt(const View &view)
{
    if (view.epoch > m_view.epoch)
        m_view = view;
    m_admission.viewAdopted(view);
}

void FakeHost::send(const HostIncarnation &to, const AdmissionMessage &message)
{
    Simulation &simulation = m_cluster.m_simulation;
    FakeHost *target = m_cluster.find(to);
    if (!target || !m_cluster.areConnected(*this, *target))
        return;
    const bool isLossy = m_cluster.has(Fault::LossyNetwork);
    if (isLossy && simulation.chance(0.1))
        return;
    const int copies = isLossy && simulation.chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        m_cluster.onHost(*target, m_cluster.networkDelay(),
                         [target, from = m_self, bytes = message.encoded()] {
                             target->m_admission.receive(from, *AdmissionMessage::decode(bytes));
                         });
    }
}

void FakeHost::submit(const Attempt &attempt, const AnswerCallback &callback)
{
    SubmissionRequest request{*m_admission.parseKey(attempt.key), attempt.number,
                              bodyDigest(attempt.body, Cluster::settings().secret)};
    const auto decide = [=](const ClaimDecision &decision) {
        decided(attempt, request, decision, callback);
    };
    const bool isRefused = m_cluster.has(Fault::Overload) && m_cluster.m_simulation.chance(0.3);
    if (isRefused && m_cluster.m_variant == Variant::RefusalByNonOwner)
        callback({false, {}, Verdict::NotRun});
    else if (isRefused)
        m_admission.refuse(request, decide);
    else if (m_cluster.m_variant != Variant::TablePerHost)
        m_admission.claim(request, decide);
    else if (m_jobOfKey.count(attempt.key) > 0)
        awaitEnd(attempt.key, callback);
    else
        run(attempt, request, callback);
}

void FakeHost::decided(const Attempt &attempt, const SubmissionRequest &request,
                       const ClaimDecision &decision, const AnswerCallback &callback)
{
    if (decision.outcome == ClaimOutcome::Granted) {
        run(attempt, request, callback);
        return;
    }
    if (decision.outcome != ClaimOutcome::Held) {
        callback({false, {}, decision.verdict()});
        return;
    }
    const AnswerCallback confirmed = [=](const HostAnswer &answer) {
        if (answer.isFinished || answer.verdict != Verdict::NotRun)
            callback(answer);
        else
            m_admission.refuse(request, [=](const ClaimDecision &refusal) {
                callback({false, {}, refusal.verdict()});
            });
    };
    FakeHost *holder = m_cluster.find(decision.holder);
    if (!holder || !m_cluster.areConnected(*this, *holder)) {
        callback({false, {}, Verdict::MayHaveRun});
        return;
    }
    m_cluster.onHost(*holder, m_cluster.networkDelay(), [=] {
        holder->awaitEnd(attempt.key, [=](const HostAnswer &answer) {
            m_cluster.onHost(*this, m_cluster.networkDelay(), [=] { confirmed(answer); });
        });
    });
}

void FakeHost::awaitEnd(const std::string &key, const AnswerCallback &callback)
{
    const auto number = m_jobOfKey.find(key);
    if (number == m_jobOfKey.end()) {
        callback({false, {}, Verdict::MayHaveRun});
        return;
    }
    Job &job = m_jobs[number->second];
    if (job.answer)
        callback(*job.answer);
    else
        job.waiters.push_back(callback);
}

void FakeHost::run(const Attempt &attempt, const SubmissionRequest &request,
                   const AnswerCallback &callback)
{
    const JobNumber number = m_nextJob++;
    m_jobs[number] = Job{attempt, request, {callback}, std::nullopt};
    m_jobOfKey[attempt.key] = number;
    m_table.add(number, attempt.tasks);
    for (std::uint32_t task = 0; task < attempt.tasks; ++task)
        m_cluster.onHost(*this, m_cluster.m_simulation.upTo(milliseconds(500)),
                         [=] { startTask(number, task); });
}

void FakeHost::startTask(JobNumber number, std::uint32_t task)
{
    if (!m_table.beginStart({number, task}))
        return;
    const bool isFenced = m_cluster.m_variant == Variant::TablePerHost;
    if (!isFenced && !m_admission.mayStart(m_jobs[number].request)) {
        m_table.revokeStart({number, task});
        taskFailed(number, task, failureRow(FailurePoint::ClaimLost).verdict);
        return;
    }
    // The host may be paused between mayStart() and the write.
    m_cluster.onHost(*this, m_cluster.m_simulation.upTo(milliseconds(2)),
                     [=] { sendTask(number, task); });
}

void FakeHost::sendTask(JobNumber number, std::uint32_t task)
{
    Simulation &simulation = m_cluster.m_simulation;
    if (simulation.chance(0.05)) {
        taskNotStarted(number, task);
        return;
    }
    m_cluster.onHost(*this, ExecutorTimeout, [=] {
        const bool isRetried = m_cluster.m_variant == Variant::RetryAfterSend;
        const std::optional<JobProgress> progress = m_table.progress(number);
        if (isRetried && progress && !progress->outcome)
            sendTask(number, task);
        else
            taskFailed(number, task, failureRow(FailurePoint::Waiting).verdict);
    });
    const bool isSilent = m_cluster.has(Fault::SilentExecutors) && simulation.chance(0.1);
    const bool isBefore = isSilent && simulation.chance(0.5);
    if (isBefore)
        return;
    const bool isRefused = m_cluster.has(Fault::RefusingExecutors) && simulation.chance(0.3);
    const Attempt attempt = m_jobs[number].attempt;
    const Duration runTime = simulation.upTo(seconds(1));
    const int answers = simulation.chance(0.1) ? 2 : 1;
    simulation.after(m_cluster.networkDelay(), [=] {
        if (isRefused) {
            m_cluster.onHost(*this, m_cluster.networkDelay(),
                             [=] { taskNotStarted(number, task); });
            return;
        }
        m_cluster.recordStart(attempt, task);
        // A silent executor answers after the host has abandoned the connection.
        const Duration delay = isSilent ? 2 * ExecutorTimeout : runTime;
        for (int i = 0; i < answers; ++i) {
            m_cluster.onHost(*this, delay + m_cluster.networkDelay(), [=] {
                const std::string output = SubmissionHistory::outputOf(attempt, task);
                if (const auto outcome = m_table.answer({number, task}, output))
                    ended(number, *outcome);
            });
        }
    });
}

void FakeHost::taskNotStarted(JobNumber number, std::uint32_t task)
{
    m_table.revokeStart({number, task});
    m_admission.startRevoked(m_jobs[number].request);
    const std::optional<JobProgress> progress = m_table.progress(number);
    if (progress && progress->outcome)
        return;
    m_cluster.onHost(*this, milliseconds(50), [=] { startTask(number, task); });
}

void FakeHost::taskFailed(JobNumber number, std::uint32_t task, Verdict verdict)
{
    if (const auto outcome = m_table.fail({number, task}, verdict, "failed"))
        ended(number, *outcome);
}

void FakeHost::ended(JobNumber number, const JobOutcome &outcome)
{
    Job &job = m_jobs[number];
    if (outcome.state == JobOutcome::State::Finished)
        publish(job, {true, outcome.outputs, Verdict::Ran});
    else if (outcome.verdict != Verdict::NotRun)
        publish(job, {false, {}, outcome.verdict});
    else
        close(number);
}

void FakeHost::close(JobNumber number)
{
    m_admission.refuse(m_jobs[number].request, [=](const ClaimDecision &decision) {
        const bool isClosed = decision.outcome == ClaimOutcome::Closed;
        publish(m_jobs[number], {false, {}, submissionVerdict(Verdict::NotRun, isClosed)});
    });
}

void FakeHost::publish(Job &job, const HostAnswer &answer)
{
    job.answer = answer;
    for (const AnswerCallback &waiter : std::exchange(job.waiters, {}))
        waiter(answer);
}

} // namespace anvilmill::testing
