#include "entryhost.h"

#include "log.h"

#include "anvilmill/dispatch/coordinatordispatcher.h"

#include <future>

namespace anvilmill::daemon {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(20);
constexpr Duration HolderRecordingTimeout = std::chrono::seconds(1);
constexpr Duration HolderPollInterval = std::chrono::milliseconds(20);
constexpr Duration RemoteViewInterval = std::chrono::seconds(1);
constexpr Duration IgnoredReportInterval = std::chrono::seconds(1);
constexpr std::size_t BytesPerMegabyte = 1U << 20U;
/// Added to Admission's own timeout, because the maintenance loop may run late.
constexpr Duration ClaimMargin = std::chrono::seconds(2);

Duration millis(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

BackendLimits limitsFrom(const Settings &settings)
{
    BackendLimits limits;
    limits.connections = static_cast<std::size_t>(settings.backend.connections);
    limits.connectTimeout = millis(settings.backend.connectTimeoutMs);
    limits.silence = millis(settings.backend.silenceMs);
    limits.giveUp = millis(settings.backend.giveUpMs);
    return limits;
}

std::vector<ExecutorInfo> executorsFrom(const Settings &settings)
{
    std::vector<ExecutorInfo> executors;
    for (const std::string &name : settings.backend.executors) {
        ExecutorInfo info;
        info.name = name;
        info.slots = static_cast<int>(settings.backend.slots);
        executors.push_back(info);
    }
    return executors;
}

CallerMemory callerMemoryFrom(const Settings &settings)
{
    return {static_cast<std::size_t>(settings.host.memoryMb) * BytesPerMegabyte,
            static_cast<std::size_t>(settings.caller.maxBodyBytes)};
}

/// Converts the secret of the settings to the two-word key of the hash.
HashSecret hashSecretFrom(const std::string &secret)
{
    const KeyFingerprint words = fingerprintOf(secret, HashSecret());
    return {words.high, words.low};
}

AdmissionSettings admissionSettingsFrom(const Settings &settings)
{
    AdmissionSettings admission;
    admission.dataCentres = settings.host.dataCentres;
    if (admission.dataCentres.empty())
        admission.dataCentres = {settings.host.dataCentre};
    admission.secret = hashSecretFrom(settings.peer.secret);
    admission.retention = millis(settings.caller.retentionMs);
    admission.startWindow = admission.retention / 2;
    return admission;
}

} // namespace

EntryHost::EntryHost(const Settings &settings, const Clock &clock, const HostIncarnation &self,
                     const ViewGuard &guard, PeerGateway &gateway)
    : m_settings(settings)
    , m_clock(clock)
    , m_self(self)
    , m_gateway(gateway)
    , m_memory(callerMemoryFrom(settings))
    , m_retained(millis(settings.caller.retentionMs), m_memory.retainedBytes)
    , m_roomForecast(self.incarnation)
    , m_callerLimits(clock, "callers", nullptr)
    , m_objectives(clock, ServiceObjective())
    , m_admission(self, admissionSettingsFrom(settings), clock, guard, gateway)
    , m_random(self.incarnation)
    , m_guard(guard)
    , m_runner(
              limitsFrom(settings), static_cast<std::size_t>(settings.backend.maxStarts),
              makeCoordinatorDispatcher(clock, m_random, CoordinatorSettings(), self.asString()),
              [&gateway](const PeerBatch &batch) {
                  gateway.sendBatch(batch.receiver, batch.batch);
              },
              clock)
    , m_maintenance([this] { maintenanceLoop(); })
{
    m_runner.setExecutors(executorsFrom(settings));
    const View view = guard.currentView();
    if (view.epoch > 0)
        viewAdopted(view);
}

void EntryHost::viewAdopted(const View &view)
{
    m_admission.viewAdopted(view);
    std::vector<std::string> members;
    for (const HostIncarnation &member : view.members)
        members.push_back(member.asString());
    // A host outside the view, for example before it has joined, uses only its own queue.
    if (!view.contains(m_self))
        members = {m_self.asString()};
    m_runner.setMembers(view.epoch, members);
}

void EntryHost::configurationChanged(const Configuration &configuration)
{
    constexpr double Percent = 100;
    std::vector<ServiceObjective> objectives;
    for (const ServiceRow &row : configuration.sheet.services) {
        ServiceObjective objective;
        objective.service = row.name;
        objective.objective = row.objective / Percent;
        objective.latency = row.latency;
        objectives.push_back(objective);
    }
    m_objectives.setObjectives(objectives);
    m_revision = configuration.id.revision;
}

void EntryHost::receiveBatch(const std::string &sender, const DispatchBatch &batch)
{
    m_runner.receive(sender, batch);
}

EntryHost::~EntryHost()
{
    {
        const std::lock_guard<std::mutex> guard(m_stopLock);
        m_isStopping = true;
    }
    m_stop.notify_all();
    m_maintenance.join();
}

SubmitResult EntryHost::submit(IncomingJob job)
{
    if (job.key.empty())
        job.key = m_admission.issueTickets(1).front().asString();
    const auto key = m_admission.parseKey(job.key);
    if (!key) {
        SubmitResult result;
        result.id = job.key;
        result.reason = key.error().reason;
        result.kind = SubmitResult::Kind::InvalidKey;
        return result;
    }
    SubmissionRequest request;
    request.key = *key;
    request.attempt = job.attempt;
    request.digest = bodyDigest(job.digest, hashSecretFrom(m_settings.peer.secret));
    const auto known = m_submissions.find(job.key);
    if (known && !known->wasNotRun())
        return attach(known, request);
    auto charge = std::make_unique<ByteCharge>(m_memory.openJobs);
    if (!m_isRefusing && !charge->resize(openJobBytes(job.tasks)))
        return refuseForMemory(request);
    m_roomForecast.roomFound(m_clock.now());
    const bool isClosedLocally = known && !known->isOpenFor(request.attempt);
    // A closed attempt is claimed again: a later attempt may have run on another host meanwhile.
    const ClaimDecision decision = claimOrRefuse(request, isClosedLocally || m_isRefusing);
    if (isClosedLocally && decision.outcome == ClaimOutcome::Closed)
        return attach(known, request);
    if (decision.outcome != ClaimOutcome::Granted)
        return toSubmitResult(decision, request);
    const auto submission = makeSubmission(std::move(job), request, std::move(charge));
    const auto winner = m_submissions.addOrFind(submission);
    return winner == submission ? run(submission) : attach(winner, request);
}

SubmitResult EntryHost::refuseForMemory(const SubmissionRequest &request)
{
    m_callerLimits.reached(limitcause::OpenJobs);
    SubmitResult result = toSubmitResult(claimOrRefuse(request, true), request);
    if (result.kind == SubmitResult::Kind::Refused && result.verdict == Verdict::NotRun) {
        result.reason = "too many jobs are open";
        result.retryAfter = m_roomForecast.retryAfter(m_clock.now(), m_deadlines.nextDue());
    }
    return result;
}

SubmitResult EntryHost::attach(const std::shared_ptr<Submission> &known,
                               const SubmissionRequest &request) const
{
    const bool isSame = known->request().digest == request.digest;
    SubmitResult result;
    result.kind = isSame ? SubmitResult::Kind::Attached : SubmitResult::Kind::Conflict;
    result.id = request.key.text();
    result.submission = known;
    return result;
}

ClaimDecision EntryHost::claimOrRefuse(const SubmissionRequest &request, bool isRefusal)
{
    const auto promise = std::make_shared<std::promise<ClaimDecision>>();
    std::future<ClaimDecision> future = promise->get_future();
    const auto resolve = [promise](const ClaimDecision &decision) { promise->set_value(decision); };
    if (isRefusal)
        m_admission.refuse(request, resolve);
    else
        m_admission.claim(request, resolve);
    const AdmissionSettings defaults;
    if (future.wait_for(defaults.claimTimeout + ClaimMargin) == std::future_status::ready)
        return future.get();
    ClaimDecision late;
    late.reason = "the claim timed out";
    return late;
}

SubmitResult EntryHost::toSubmitResult(const ClaimDecision &decision,
                                       const SubmissionRequest &request) const
{
    SubmitResult result;
    result.id = request.key.text();
    result.reason = decision.reason;
    result.verdict = decision.verdict();
    if (m_isRefusing && decision.outcome == ClaimOutcome::Closed) {
        result.reason = "this entry host is stopping";
        result.retryAfter = Duration::zero();
    }
    if (decision.outcome == ClaimOutcome::Conflict)
        result.kind = SubmitResult::Kind::Conflict;
    if (decision.outcome == ClaimOutcome::Uncertain)
        result.kind = SubmitResult::Kind::Uncertain;
    if (decision.outcome == ClaimOutcome::Held && decision.holder != m_self) {
        result.kind = SubmitResult::Kind::HeldByOtherHost;
        result.holder = decision.holder;
    }
    const auto known =
            decision.outcome == ClaimOutcome::Held ? m_submissions.find(result.id) : nullptr;
    return known ? attach(known, request) : result;
}

SubmitResult EntryHost::run(const std::shared_ptr<Submission> &submission)
{
    SubmitResult result;
    result.kind = SubmitResult::Kind::Accepted;
    result.id = submission->spec().submission;
    result.submission = submission;
    const std::optional<Refusal> refusal = enqueue(submission);
    if (!refusal) {
        m_deadlines.push(submission->spec().deadline.value(), result.id);
        // It may have ended before its deadline was queued.
        if (submission->outcome())
            m_deadlines.remove(submission->spec().deadline.value(), result.id);
        return result;
    }
    JobOutcome outcome;
    outcome.verdict = Verdict::NotRun;
    outcome.reason = refusal->reason;
    onJobEnded(submission, outcome);
    const auto final = submission->wait(AdmissionSettings().claimTimeout + ClaimMargin);
    result.kind = SubmitResult::Kind::Refused;
    result.reason = refusal->reason;
    result.verdict = final ? final->verdict : Verdict::MayHaveRun;
    result.retryAfter = refusal->retryAfter;
    result.cause = refusal->cause;
    return result;
}

std::optional<Refusal> EntryHost::enqueue(const std::shared_ptr<Submission> &submission)
{
    RunnableJob job;
    job.number = submission->number();
    job.spec = submission->sharedSpec();
    job.mayStart = [this, submission] { return m_admission.mayStart(submission->request()); };
    job.startRevoked = [this, submission] { m_admission.startRevoked(submission->request()); };
    job.ended = [this, submission](const JobOutcome &outcome) { onJobEnded(submission, outcome); };
    return m_runner.submit(std::move(job));
}

std::optional<AnswerReply>
EntryHost::requestAnswerFromPeers(const std::optional<HostIncarnation> &holder,
                                  const AnswerRequest &request, const AnswerWait &wait)
{
    if (holder)
        return requestAnswerFromHolder(*holder, request, wait);
    for (const HostIncarnation &peer : m_gateway.peers()) {
        const auto reply = m_gateway.requestAnswer(peer, request, wait);
        if (reply && reply->isKnown)
            return *reply;
        if (wait.isAbandoned && wait.isAbandoned())
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<AnswerReply> EntryHost::requestAnswerFromHolder(const HostIncarnation &holder,
                                                              const AnswerRequest &request,
                                                              const AnswerWait &wait)
{
    // A holder whose claim was granted only just now may not have recorded the submission yet.
    const MonotonicTime limit = m_clock.now() + HolderRecordingTimeout;
    for (;;) {
        const auto reply = m_gateway.requestAnswer(holder, request, wait);
        if (!reply)
            return std::nullopt;
        if (reply->isKnown)
            return *reply;
        if (m_clock.now() >= limit)
            return std::nullopt;
        std::this_thread::sleep_for(HolderPollInterval);
    }
}

std::vector<Ticket> EntryHost::issueTickets(std::size_t count)
{
    return m_admission.issueTickets(count);
}

std::shared_ptr<Submission> EntryHost::find(const std::string &id) const
{
    return m_submissions.find(id);
}

std::optional<JobProgress> EntryHost::progress(const Submission &submission) const
{
    return m_runner.progress(submission.number());
}

void EntryHost::cancel(const Submission &submission)
{
    m_runner.cancel(submission.number(), "cancelled by the caller");
}

void EntryHost::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    m_runner.setExecutors(executors);
}

void EntryHost::announceStop()
{
    m_isStopAnnounced = true;
}

void EntryHost::refuseNewJobs()
{
    m_isRefusing = true;
}

std::shared_ptr<Submission> EntryHost::makeSubmission(IncomingJob job,
                                                      const SubmissionRequest &request,
                                                      std::unique_ptr<ByteCharge> charge)
{
    const MonotonicTime now = m_clock.now();
    auto spec = std::make_shared<JobSpec>();
    spec->submission = std::move(job.key);
    spec->service = std::move(job.service);
    spec->team = std::move(job.team);
    spec->tasks = std::move(job.tasks);
    spec->deadline = now + job.deadline.value_or(millis(m_settings.caller.defaultDeadlineMs));
    spec->isRepeatable = job.isRepeatable;
    spec->isUrgent = job.isUrgent;
    return std::make_shared<Submission>(m_nextJob++, std::move(spec), request, now,
                                        std::move(charge));
}

void EntryHost::onJobEnded(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome)
{
    if (outcome.verdict != Verdict::NotRun)
        return complete(submission, outcome);
    // "Not run" is reported only once no earlier attempt can still start the submission.
    m_admission.refuse(submission->request(),
                       [this, submission, outcome](const ClaimDecision &decision) {
                           JobOutcome known = outcome;
                           known.verdict = decision.verdict();
                           complete(submission, known);
                       });
}

void EntryHost::complete(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome)
{
    const MonotonicTime now = m_clock.now();
    LogEvent("job.ended")
            .with("submission", submission->spec().submission)
            .with("service", submission->spec().service)
            .with("finished", outcome.state == JobOutcome::State::Finished)
            .with("verdict", asString(outcome.verdict))
            .with("tasks", submission->spec().tasks.size())
            .with("response", now - submission->arrival());
    recordMetrics(*submission, outcome, now);
    submission->end(outcome, now);
    m_deadlines.remove(submission->spec().deadline.value(), submission->spec().submission);
    m_retained.add({submission->spec().submission, submission->number(), now,
                    retainedJobBytes(submission->spec().tasks, outcome)});
    evictDue(now);
}

void EntryHost::recordMetrics(const Submission &submission, const JobOutcome &outcome,
                              MonotonicTime now)
{
    const std::string &service = submission.spec().service;
    const Duration response = now - submission.arrival();
    const bool isFinished = outcome.state == JobOutcome::State::Finished;
    const auto failure = isFinished ? std::nullopt : std::make_optional(outcome.verdict);
    m_metrics.record(service, response, failure);
    RequestEnd end;
    end.service = service;
    end.responseTime = response;
    end.failure = failure;
    end.cause = outcome.state == JobOutcome::State::Cancelled ? "ended" : "failed";
    m_objectives.record(end);
}

void EntryHost::maintain()
{
    m_admission.tick();
    const MonotonicTime now = m_clock.now();
    updateRemoteViews(now);
    reportIgnoredMessages(now);
    for (const std::string &id : m_deadlines.takeDue(now)) {
        const auto submission = m_submissions.find(id);
        if (submission && !submission->outcome())
            m_runner.cancel(submission->number(), "the deadline has passed");
    }
    evictDue(now);
}

void EntryHost::updateRemoteViews(MonotonicTime now)
{
    if (now < m_nextRemoteViewUpdate)
        return;
    m_nextRemoteViewUpdate = now + RemoteViewInterval;
    for (const RemoteView &remote : m_gateway.remoteViews())
        m_admission.updateRemoteView(remote.dataCentre, remote.view);
}

void EntryHost::reportIgnoredMessages(MonotonicTime now)
{
    if (now < m_nextIgnoredReport)
        return;
    m_nextIgnoredReport = now + IgnoredReportInterval;
    const std::uint64_t ignored = m_admission.status().messagesIgnored;
    if (ignored == m_reportedIgnored)
        return;
    LogEvent("peer.messagesIgnored", LogEvent::Level::Warning)
            .with("messages", ignored - m_reportedIgnored)
            .with("total", ignored);
    m_reportedIgnored = ignored;
}

void EntryHost::evictDue(MonotonicTime now)
{
    for (const RetainedAnswers::Answer &answer : m_retained.takeDue(now)) {
        m_runner.evict(answer.number);
        // A later attempt may have replaced the submission under its id.
        const auto submission = m_submissions.find(answer.id);
        if (submission && submission->number() == answer.number)
            m_submissions.remove(answer.id);
    }
}

void EntryHost::maintenanceLoop()
{
    std::unique_lock<std::mutex> guard(m_stopLock);
    while (!m_stop.wait_for(guard, MaintenanceInterval, [this] { return m_isStopping; })) {
        guard.unlock();
        maintain();
        guard.lock();
    }
}

} // namespace anvilmill::daemon
