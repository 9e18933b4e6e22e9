#include "entryhost.h"

#include "log.h"

#include "anvilmill/dispatch/coordinatordispatcher.h"

#include <future>

namespace anvilmill::daemon {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(20);
constexpr Duration RecordingTime = std::chrono::seconds(1);
constexpr Duration RecordingPoll = std::chrono::milliseconds(20);
constexpr Duration RemoteViewInterval = std::chrono::seconds(1);
/// Beyond Admission's own timeout, for a host whose maintenance is late.
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

/// The secret of the settings as the two words that the hash takes.
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
    // A host outside the view, for example before it has joined, uses its own queue.
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

ArrivalDecision EntryHost::arrive(JobArrival arrival)
{
    if (arrival.key.empty())
        arrival.key = m_admission.issueTickets(1).front().asString();
    const auto key = m_admission.parseKey(arrival.key);
    if (!key) {
        ArrivalDecision decision;
        decision.id = arrival.key;
        decision.reason = key.error().reason;
        decision.kind = ArrivalDecision::Kind::InvalidKey;
        return decision;
    }
    SubmissionRequest request;
    request.key = *key;
    request.attempt = arrival.attempt;
    request.digest = bodyDigest(arrival.digest, hashSecretFrom(m_settings.peer.secret));
    const auto known = m_submissions.find(arrival.key);
    if (known && !known->wasNotRun())
        return attach(known, request);
    const bool isClosedHere = known && !known->isOpenFor(request.attempt);
    // A closed attempt is looked up again: a later one may have run elsewhere meanwhile.
    const ClaimDecision decision = ask(request, isClosedHere || m_isRefusing);
    if (isClosedHere && decision.outcome == ClaimOutcome::Closed)
        return attach(known, request);
    if (decision.outcome != ClaimOutcome::Granted)
        return decide(decision, request);
    const auto submission = makeSubmission(std::move(arrival), request);
    const auto winner = m_submissions.addOrFind(submission);
    return winner == submission ? run(submission) : attach(winner, request);
}

ArrivalDecision EntryHost::attach(const std::shared_ptr<Submission> &known,
                                  const SubmissionRequest &request) const
{
    const bool isSame = known->request().digest == request.digest;
    ArrivalDecision decision;
    decision.kind = isSame ? ArrivalDecision::Kind::Attached : ArrivalDecision::Kind::Conflict;
    decision.id = request.key.text();
    decision.submission = known;
    return decision;
}

ClaimDecision EntryHost::ask(const SubmissionRequest &request, bool isRefusal)
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
    late.reason = "the claim was not answered in time";
    return late;
}

ArrivalDecision EntryHost::decide(const ClaimDecision &decision,
                                  const SubmissionRequest &request) const
{
    ArrivalDecision result;
    result.id = request.key.text();
    result.reason = decision.reason;
    result.verdict = decision.verdict();
    if (m_isRefusing && decision.outcome == ClaimOutcome::Closed) {
        result.reason = "this entry host is stopping";
        result.retryAfter = Duration::zero();
    }
    if (decision.outcome == ClaimOutcome::Conflict)
        result.kind = ArrivalDecision::Kind::Conflict;
    if (decision.outcome == ClaimOutcome::Uncertain)
        result.kind = ArrivalDecision::Kind::Uncertain;
    if (decision.outcome == ClaimOutcome::Held && decision.holder != m_self) {
        result.kind = ArrivalDecision::Kind::Elsewhere;
        result.holder = decision.holder;
    }
    const auto known =
            decision.outcome == ClaimOutcome::Held ? m_submissions.find(result.id) : nullptr;
    return known ? attach(known, request) : result;
}

ArrivalDecision EntryHost::run(const std::shared_ptr<Submission> &submission)
{
    ArrivalDecision decision;
    decision.kind = ArrivalDecision::Kind::Accepted;
    decision.id = submission->spec().submission;
    decision.submission = submission;
    const std::optional<Refusal> refusal = queue(submission);
    if (!refusal) {
        m_deadlines.push(submission->spec().deadline.value(), decision.id);
        return decision;
    }
    JobOutcome outcome;
    outcome.verdict = Verdict::NotRun;
    outcome.reason = refusal->reason;
    ended(submission, outcome);
    const auto final = submission->wait(AdmissionSettings().claimTimeout + ClaimMargin);
    decision.kind = ArrivalDecision::Kind::Refused;
    decision.reason = refusal->reason;
    decision.verdict = final ? final->verdict : Verdict::MayHaveRun;
    decision.retryAfter = refusal->retryAfter;
    decision.cause = refusal->cause;
    return decision;
}

std::optional<Refusal> EntryHost::queue(const std::shared_ptr<Submission> &submission)
{
    RunnableJob job;
    job.number = submission->number();
    job.spec = submission->sharedSpec();
    job.mayStart = [this, submission] { return m_admission.mayStart(submission->request()); };
    job.startRevoked = [this, submission] { m_admission.startRevoked(submission->request()); };
    job.ended = [this, submission](const JobOutcome &outcome) { ended(submission, outcome); };
    return m_runner.submit(std::move(job));
}

std::optional<AnswerReply> EntryHost::askOthers(const std::optional<HostIncarnation> &holder,
                                                const AnswerRequest &request, Duration timeout)
{
    if (holder)
        return askHolder(*holder, request, timeout);
    for (const HostIncarnation &peer : m_gateway.peers()) {
        const auto reply = m_gateway.ask(peer, request, timeout);
        if (reply && reply->isKnown)
            return *reply;
    }
    return std::nullopt;
}

std::optional<AnswerReply> EntryHost::askHolder(const HostIncarnation &holder,
                                                const AnswerRequest &request, Duration timeout)
{
    // A holder whose claim was granted just now may not have recorded the submission yet.
    const MonotonicTime limit = m_clock.now() + RecordingTime;
    for (;;) {
        const auto reply = m_gateway.ask(holder, request, timeout);
        if (!reply)
            return std::nullopt;
        if (reply->isKnown)
            return *reply;
        if (m_clock.now() >= limit)
            return std::nullopt;
        std::this_thread::sleep_for(RecordingPoll);
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
    m_isAnnounced = true;
}

void EntryHost::refuseNewJobs()
{
    m_isRefusing = true;
}

std::shared_ptr<Submission> EntryHost::makeSubmission(JobArrival arrival,
                                                      const SubmissionRequest &request)
{
    const MonotonicTime now = m_clock.now();
    auto spec = std::make_shared<JobSpec>();
    spec->submission = std::move(arrival.key);
    spec->service = std::move(arrival.service);
    spec->team = std::move(arrival.team);
    spec->tasks = std::move(arrival.tasks);
    spec->deadline = now + arrival.deadline.value_or(millis(m_settings.caller.defaultDeadlineMs));
    spec->isRepeatable = arrival.isRepeatable;
    spec->isUrgent = arrival.isUrgent;
    return std::make_shared<Submission>(m_nextJob++, std::move(spec), request, now);
}

void EntryHost::ended(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome)
{
    if (outcome.verdict != Verdict::NotRun)
        return close(submission, outcome);
    // "Not run" is said only once no earlier attempt can start the submission any more.
    m_admission.refuse(submission->request(),
                       [this, submission, outcome](const ClaimDecision &decision) {
                           JobOutcome known = outcome;
                           known.verdict = decision.verdict();
                           close(submission, known);
                       });
}

void EntryHost::close(const std::shared_ptr<Submission> &submission, const JobOutcome &outcome)
{
    const MonotonicTime now = m_clock.now();
    LogEvent("job.ended")
            .with("submission", submission->spec().submission)
            .with("service", submission->spec().service)
            .with("finished", outcome.state == JobOutcome::State::Finished)
            .with("verdict", asString(outcome.verdict))
            .with("tasks", submission->spec().tasks.size())
            .with("response", now - submission->arrival());
    record(*submission, outcome, now);
    submission->end(outcome, now);
    m_retentions.push(now + millis(m_settings.caller.retentionMs), submission->spec().submission);
}

void EntryHost::record(const Submission &submission, const JobOutcome &outcome, MonotonicTime now)
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

std::string EntryHost::metricsText() const
{
    const RunnerFigures figures = m_runner.figures();
    std::string text;
    appendMetric(text, "anvilmill_jobs_open", "gauge", static_cast<double>(figures.jobs));
    appendMetric(text, "anvilmill_tasks_queued", "gauge", static_cast<double>(figures.queuedTasks));
    appendMetric(text, "anvilmill_tasks_in_flight", "gauge",
                 static_cast<double>(figures.tasksInFlight));
    appendMetric(text, "anvilmill_submissions_remembered", "gauge",
                 static_cast<double>(m_submissions.size()));
    appendMetric(text, "anvilmill_starts_total", "counter",
                 static_cast<double>(figures.backend.starts));
    appendMetric(text, "anvilmill_starts_refused_total", "counter",
                 static_cast<double>(figures.backend.refusedStarts));
    appendMetric(text, "anvilmill_task_queries_total", "counter",
                 static_cast<double>(figures.backend.queries));
    appendMetric(text, "anvilmill_silent_connections_total", "counter",
                 static_cast<double>(figures.backend.silentConnections));
    m_metrics.append(text);
    return text;
}

HostStatus EntryHost::status() const
{
    const RunnerFigures figures = m_runner.figures();
    HostStatus status;
    status.dataCentre = m_settings.host.dataCentre;
    status.host = m_settings.host.name;
    status.incarnation = static_cast<std::int64_t>(m_self.incarnation);
    status.ready = isReady();
    status.jobsOpen = static_cast<std::int64_t>(figures.jobs);
    status.tasksQueued = static_cast<std::int64_t>(figures.queuedTasks);
    status.tasksInFlight = static_cast<std::int64_t>(figures.tasksInFlight);
    status.submissionsRemembered = static_cast<std::int64_t>(m_submissions.size());
    const View view = m_guard.currentView();
    status.epoch = static_cast<std::int64_t>(view.epoch);
    status.members = std::vector<std::string>();
    for (const HostIncarnation &member : view.members)
        status.members->push_back(member.asString());
    status.revision = static_cast<std::int64_t>(m_revision.load());
    status.mayActAsOwner = m_guard.mayActAsOwner();
    return status;
}

HostObjectives EntryHost::objectives() const
{
    return m_objectives.snapshot(m_settings.host.dataCentre + "/" + m_settings.host.name);
}

void EntryHost::maintain()
{
    m_admission.tick();
    const MonotonicTime now = m_clock.now();
    learnRemoteViews(now);
    for (const std::string &id : m_deadlines.takeDue(now)) {
        const auto submission = m_submissions.find(id);
        if (submission && !submission->outcome())
            m_runner.cancel(submission->number(), "the deadline has passed");
    }
    for (const std::string &id : m_retentions.takeDue(now)) {
        forget(id, now);
    }
}

void EntryHost::learnRemoteViews(MonotonicTime now)
{
    if (now < m_nextRemoteViews)
        return;
    m_nextRemoteViews = now + RemoteViewInterval;
    for (const RemoteView &remote : m_gateway.remoteViews())
        m_admission.updateRemoteView(remote.dataCentre, remote.view);
}

void EntryHost::forget(const std::string &id, MonotonicTime now)
{
    const auto submission = m_submissions.find(id);
    const auto end = submission ? submission->endTime() : std::nullopt;
    // A later attempt under the same id has a retention of its own.
    if (!end || now - *end < millis(m_settings.caller.retentionMs))
        return;
    m_runner.forget(submission->number());
    m_submissions.remove(id);
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
