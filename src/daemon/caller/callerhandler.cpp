#include "callerhandler.h"

#include "answers.h"
#include "jobparser.h"
#include "log.h"
#include "requestbody.h"

#include <caller.h>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <algorithm>

namespace anvilmill::daemon {

namespace {

using Poco::Net::HTTPResponse;

constexpr Duration AnswerMargin = std::chrono::seconds(5);
/// How often it is checked whether the client of a job is still connected.
constexpr Duration DisconnectInterval = std::chrono::milliseconds(500);
constexpr const char *JobsPath = "/v1/jobs";
constexpr unsigned MaxTickets = 1000;
constexpr const char *ApiPrefix = "/v1/";

/// Counts a request as open during its lifetime.
class OpenRequest
{
public:
    explicit OpenRequest(std::atomic<int> &count)
        : m_count(count)
        , m_ordinal(++count)
    {
    }
    ~OpenRequest() { --m_count; }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

    [[nodiscard]] int ordinal() const noexcept { return m_ordinal; }

private:
    std::atomic<int> &m_count;
    int m_ordinal;
};

/// A body that no handler reads would be taken for the next request.
bool hasBody(const Poco::Net::HTTPServerRequest &request)
{
    return request.getChunkedTransferEncoding()
           || (request.hasContentLength() && request.getContentLength64() > 0);
}

} // namespace

CallerHandler::CallerHandler(EntryHost &host, ConnectionGuard &guard,
                             std::atomic<int> &openRequests)
    : m_host(host)
    , m_guard(guard)
    , m_openRequests(openRequests)
{
}

void CallerHandler::handleRequest(Request &request, Response &response)
{
    const OpenRequest counted(m_openRequests);
    ConnectionGuard::Request guarded(
            m_guard, static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket());
    m_guarded = &guarded;
    // It arrived before the shutdown; its answer couldn't be sent.
    if (guarded.isShutDown())
        return response.setKeepAlive(false);
    m_isKeepAlive = response.getKeepAlive() && m_host.isReady();
    response.setKeepAlive(m_isKeepAlive && !hasBody(request));
    try {
        route(request, response, counted.ordinal());
    } catch (const std::exception &exception) {
        LogEvent("caller.failed", LogEvent::Level::Warning).with("reason", exception.what());
        // The answer may have been sent in part, so nothing else may follow on this connection.
        response.setKeepAlive(false);
        if (!response.sent())
            sendProblem(response, internalProblem(exception.what()));
    }
    // Requests that have arrived already could still be read, and would keep the thread.
    if (guarded.isShutDown())
        response.setKeepAlive(false);
}

const std::vector<CallerHandler::Route> &CallerHandler::routes()
{
    static const std::vector<Route> table = {
            {"POST", "/v1/jobs", "", &CallerHandler::submit},
            {"GET", "/v1/jobs/", "/answer", &CallerHandler::answer},
            {"GET", "/v1/jobs/", "", &CallerHandler::status},
            {"DELETE", "/v1/jobs/", "", &CallerHandler::cancel},
            {"POST", "/v1/tickets", "", &CallerHandler::tickets},
            {"GET", "/healthz", "", &CallerHandler::health},
            {"GET", "/readyz", "", &CallerHandler::readiness},
            {"GET", "/metrics", "", &CallerHandler::metrics},
            {"GET", "/v1/status", "", &CallerHandler::hostStatus},
            {"GET", "/v1/objectives", "", &CallerHandler::objectives},
    };
    return table;
}

void CallerHandler::route(Request &request, Response &response, int ordinal)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    const bool isOverLimit = ordinal > m_host.settings().caller.maxConnections;
    if (isOverLimit && path.rfind(ApiPrefix, 0) == 0)
        return sendProblem(response, tooManyRequests(request.has("Idempotency-Key")));
    for (const Route &entry : routes()) {
        if (tryRoute(entry, path, request, response))
            return;
    }
    sendProblem(response, noSuchResource(path));
}

bool CallerHandler::tryRoute(const Route &entry, const std::string &path, Request &request,
                             Response &response)
{
    const std::string prefix = entry.prefix;
    const std::string suffix = entry.suffix;
    const bool hasArgument = prefix.back() == '/';
    if (request.getMethod() != entry.method || path.rfind(prefix, 0) != 0)
        return false;
    if (!hasArgument && path != prefix)
        return false;
    if (path.size() <= prefix.size() + suffix.size() && hasArgument)
        return false;
    if (path.compare(path.size() - suffix.size(), suffix.size(), suffix) != 0)
        return false;
    const std::string argument =
            path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    (this->*entry.action)(request, response, argument);
    return true;
}

void CallerHandler::submit(Request &request, Response &response, const std::string &)
{
    const std::string key = request.get("Idempotency-Key", "");
    auto parsed = receiveJob(request, response, key);
    if (!parsed)
        return;
    parsed->job.key = key;
    const auto attempt = parseAttempt(request.get("Submission-Attempt", "1"));
    if (!attempt)
        return sendProblem(response, badRequest(attempt.error().reason, !key.empty()));
    parsed->job.attempt = *attempt;
    const bool isAwaited = parsed->isAwaited;
    sendSubmitResult(response, m_host.submit(std::move(parsed->job)), isAwaited);
}

std::optional<ParsedJob> CallerHandler::receiveJob(Request &request, Response &response,
                                                   const std::string &key)
{
    const auto &limits = m_host.settings().caller;
    ByteCharge charge(m_host.requestBudget());
    m_guarded->receiving();
    const RequestBody body =
            readBody(request.stream(), static_cast<std::size_t>(limits.maxBodyBytes), charge);
    m_guarded->received();
    const auto refuse = [&](const ProblemAnswer &problem) {
        sendProblem(response, problem);
        return std::nullopt;
    };
    if (body.end == RequestBody::End::TooLarge)
        return refuse(bodyTooLarge(limits.maxBodyBytes, !key.empty()));
    if (body.end == RequestBody::End::NoMemory
        || !charge.resize(decodedRequestBytes(body.text.capacity()))) {
        m_host.callerLimits().reached(limitcause::Memory);
        return refuse(tooManyRequests(!key.empty()));
    }
    response.setKeepAlive(m_isKeepAlive);
    if (!key.empty() && !isValidKey(key))
        return refuse(
                badRequest("Idempotency-Key: expected 1 to 200 visible ASCII characters", false));
    auto parsed = parseJob(body.text, {static_cast<std::size_t>(limits.maxTasks)});
    if (!parsed)
        return refuse(badRequest(parsed.error().asString(), !key.empty()));
    return std::move(*parsed);
}

void CallerHandler::sendSubmitResult(Response &response, const SubmitResult &result, bool isAwaited)
{
    using Kind = SubmitResult::Kind;
    if (result.kind == Kind::HeldByOtherHost)
        return forward(response, result.holder, result.id,
                       isAwaited ? Operation::Answer : Operation::Status);
    if (result.kind != Kind::Accepted && result.kind != Kind::Attached)
        return sendProblem(response, refusalAnswer(result));
    if (isAwaited)
        return sendOutcome(response, *result.submission);
    response.set("Location", std::string(JobsPath) + "/" + result.id);
    sendJson(response, HTTPResponse::HTTP_ACCEPTED,
             statusBody(*result.submission, m_host.progress(*result.submission)));
}

void CallerHandler::sendOutcome(Response &response, const Submission &submission)
{
    const MonotonicTime now = m_host.clock().now();
    const Duration left = submission.spec().deadline.value_or(now) - now;
    const MonotonicTime end = now + std::max(left, Duration::zero()) + AnswerMargin;
    // The job goes on without its client, but must not keep the connection's thread.
    while (!submission.outcome() && m_host.clock().now() < end) {
        if (m_guarded->isClientDisconnected())
            return response.setKeepAlive(false);
        (void)submission.wait(std::min<Duration>(end - m_host.clock().now(), DisconnectInterval));
    }
    send(response, outcomeAnswer(submission, m_host.progress(submission)));
}

void CallerHandler::forward(Response &response, const std::optional<HostIncarnation> &holder,
                            const std::string &id, Operation operation)
{
    const auto &caller = m_host.settings().caller;
    const Duration wait =
            operation == Operation::Answer
                    ? std::chrono::milliseconds(caller.defaultDeadlineMs) + AnswerMargin
                    : AnswerMargin;
    const auto isAbandoned = [this] { return m_guarded->isClientDisconnected(); };
    const auto reply = m_host.requestAnswerFromPeers(holder, {operation, id}, {wait, isAbandoned});
    if (!reply && isAbandoned())
        return response.setKeepAlive(false);
    if (!reply)
        return sendProblem(response, holder ? unreachableHolder(id) : unknownSubmission(id));
    RenderedAnswer answer{static_cast<int>(reply->status), reply->contentType, reply->body,
                          std::nullopt};
    if (reply->retryAfterMs)
        answer.retryAfter = std::chrono::milliseconds(*reply->retryAfterMs);
    send(response, answer);
}

void CallerHandler::status(Request &, Response &response, const std::string &id)
{
    const auto submission = m_host.find(id);
    if (!submission)
        return forward(response, std::nullopt, id, Operation::Status);
    sendJson(response, HTTPResponse::HTTP_OK,
             statusBody(*submission, m_host.progress(*submission)));
}

void CallerHandler::answer(Request &, Response &response, const std::string &id)
{
    const auto submission = m_host.find(id);
    if (!submission)
        return forward(response, std::nullopt, id, Operation::Answer);
    sendOutcome(response, *submission);
}

void CallerHandler::cancel(Request &, Response &response, const std::string &id)
{
    const auto submission = m_host.find(id);
    if (!submission)
        return forward(response, std::nullopt, id, Operation::Cancel);
    m_host.cancel(*submission);
    sendJson(response, HTTPResponse::HTTP_OK,
             statusBody(*submission, m_host.progress(*submission)));
}

void CallerHandler::tickets(Request &request, Response &response, const std::string &)
{
    std::size_t count = 1;
    for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
        unsigned parsed = 0;
        if (name != "count" || !Poco::NumberParser::tryParseUnsigned(value, parsed) || parsed < 1
            || parsed > MaxTickets)
            return sendProblem(
                    response,
                    badRequest("expected count=1 to count=" + std::to_string(MaxTickets), false));
        count = parsed;
    }
    wire::caller::TicketBatch batch;
    for (const Ticket &ticket : m_host.issueTickets(count))
        batch.tickets.push_back(ticket.asString());
    sendJson(response, HTTPResponse::HTTP_OK, batch);
}

void CallerHandler::health(Request &, Response &response, const std::string &)
{
    sendJson(response, HTTPResponse::HTTP_OK, {{"alive", true}});
}

void CallerHandler::readiness(Request &, Response &response, const std::string &)
{
    const bool isReady = m_host.isReady();
    sendJson(response, isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
             {{"ready", isReady}});
}

void CallerHandler::metrics(Request &, Response &response, const std::string &)
{
    const std::string text = m_host.metricsText();
    response.setContentType("text/plain; version=0.0.4");
    response.sendBuffer(text.data(), text.size());
}

void CallerHandler::hostStatus(Request &, Response &response, const std::string &)
{
    sendJson(response, HTTPResponse::HTTP_OK, m_host.status());
}

void CallerHandler::objectives(Request &, Response &response, const std::string &)
{
    sendJson(response, HTTPResponse::HTTP_OK, m_host.objectives());
}

} // namespace anvilmill::daemon
