#include "answers.h"

#include <caller.h>

namespace anvilmill::daemon {

namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;

struct CauseAnswer
{
    Refusal::Cause cause;
    HTTPResponse::HTTPStatus status;
    const char *type;
    const char *title;
};

constexpr CauseAnswer CauseAnswers[] = {
        {Refusal::Cause::NoSuchService, HTTPResponse::HTTP_UNPROCESSABLE_ENTITY, "no-such-service",
         "No executor runs this service"},
        {Refusal::Cause::TooLarge, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "too-large",
         "The job can never run"},
        {Refusal::Cause::QueueFull, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "queue-full",
         "No room for the job now"},
        {Refusal::Cause::DeadlineUnreachable, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
         "deadline-unreachable", "The deadline can't be met"},
        {Refusal::Cause::QuotaExceeded, HTTPResponse::HTTP_TOO_MANY_REQUESTS, "quota-exceeded",
         "The team is over its quota"},
};

ProblemAnswer conflictAnswer(const std::string &submission)
{
    return {HTTPResponse::HTTP_CONFLICT,
            "conflict",
            "Another job has this idempotency key",
            "",
            Verdict::MayHaveRun,
            submission,
            std::nullopt};
}

ProblemAnswer uncertainAnswer(const SubmitResult &result)
{
    return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
            "uncertain",
            "Whether the submission runs elsewhere is not known",
            result.reason,
            result.verdict,
            result.id,
            std::nullopt};
}

} // namespace

ProblemAnswer refusalAnswer(const SubmitResult &result)
{
    switch (result.kind) {
    case SubmitResult::Kind::Conflict:
        return conflictAnswer(result.id);
    case SubmitResult::Kind::InvalidKey:
        return badRequest("Idempotency-Key: " + result.reason, false);
    case SubmitResult::Kind::Uncertain:
        return uncertainAnswer(result);
    default:
        break;
    }
    ProblemAnswer answer;
    for (const CauseAnswer &entry : CauseAnswers) {
        if (entry.cause != result.cause)
            continue;
        answer.status = entry.status;
        answer.type = entry.type;
        answer.title = entry.title;
    }
    answer.detail = result.reason;
    answer.verdict = result.verdict;
    answer.retryAfter = result.retryAfter;
    answer.submission = result.id;
    return answer;
}

ProblemAnswer failureAnswer(const Submission &submission, const JobOutcome &outcome)
{
    ProblemAnswer answer;
    answer.status = HTTPResponse::HTTP_BAD_GATEWAY;
    answer.type = "job-failed";
    answer.title = "The job failed";
    if (outcome.state == JobOutcome::State::Cancelled) {
        answer.status = HTTPResponse::HTTP_GATEWAY_TIMEOUT;
        answer.type = "job-cancelled";
        answer.title = "The job was ended before it was complete";
    }
    if (outcome.verdict == Verdict::NotRun)
        answer.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    answer.detail = outcome.reason;
    answer.verdict = outcome.verdict;
    answer.submission = submission.spec().submission;
    return answer;
}

json jobAnswer(const Submission &submission, const JobOutcome &outcome)
{
    wire::caller::JobAnswer answer;
    answer.submission = submission.spec().submission;
    const Duration response =
            submission.endTime().value_or(submission.arrival()) - submission.arrival();
    answer.responseMs = std::chrono::duration<double, std::milli>(response).count();
    for (std::size_t i = 0; i < outcome.outputs.size(); ++i)
        answer.tasks.push_back({static_cast<std::int64_t>(i), outcome.outputs[i]});
    return answer;
}

ProblemAnswer badRequest(const std::string &detail, bool hasKey)
{
    // If the request has a key, another attempt of the same submission may have run.
    return {HTTPResponse::HTTP_BAD_REQUEST,
            "bad-request",
            "The request can't be understood",
            detail,
            hasKey ? Verdict::MayHaveRun : Verdict::NotRun,
            "",
            std::nullopt};
}

ProblemAnswer bodyTooLarge(std::int64_t limitBytes, bool hasKey)
{
    ProblemAnswer answer =
            badRequest("the body is larger than " + std::to_string(limitBytes) + " bytes", hasKey);
    answer.status = HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    return answer;
}

ProblemAnswer unreachableHolder(const std::string &id)
{
    return {HTTPResponse::HTTP_GATEWAY_TIMEOUT,
            "holder-unreachable",
            "The entry host that runs the submission does not answer",
            "",
            Verdict::MayHaveRun,
            id,
            std::nullopt};
}

ProblemAnswer unknownSubmission(const std::string &id)
{
    return {HTTPResponse::HTTP_NOT_FOUND,
            "unknown-submission",
            "This entry host does not know the submission",
            "",
            Verdict::MayHaveRun,
            id,
            std::nullopt};
}

ProblemAnswer tooManyRequests(bool hasKey)
{
    constexpr Duration RetryAfter = std::chrono::milliseconds(500);
    return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
            "too-many-requests",
            "This entry host serves as many requests as it may",
            "",
            hasKey ? Verdict::MayHaveRun : Verdict::NotRun,
            "",
            RetryAfter};
}

ProblemAnswer noSuchResource(const std::string &path)
{
    return {HTTPResponse::HTTP_NOT_FOUND,
            "no-such-resource",
            "There is nothing at this path",
            path,
            Verdict::NotRun,
            "",
            std::nullopt};
}

ProblemAnswer internalProblem(const std::string &detail)
{
    return {HTTPResponse::HTTP_INTERNAL_SERVER_ERROR,
            "internal",
            "The request failed inside the entry host",
            detail,
            Verdict::MayHaveRun,
            "",
            std::nullopt};
}

json statusBody(const Submission &submission, const std::optional<JobProgress> &progress)
{
    using wire::caller::State;
    wire::caller::JobStatus body;
    body.submission = submission.spec().submission;
    body.tasksTotal = static_cast<std::int64_t>(submission.spec().tasks.size());
    body.tasksDone = 0;
    body.state = State::Queued;
    if (progress) {
        body.tasksDone = static_cast<std::int64_t>(progress->tasksDone);
        body.state = progress->tasksStarted > 0 ? State::Running : State::Queued;
    }
    if (const auto outcome = submission.outcome()) {
        constexpr State Ends[] = {State::Finished, State::Failed, State::Cancelled};
        body.state = Ends[static_cast<int>(outcome->state)];
    }
    return body;
}

RenderedAnswer outcomeAnswer(const Submission &submission,
                             const std::optional<JobProgress> &progress)
{
    const auto outcome = submission.outcome();
    if (!outcome)
        return renderedJson(HTTPResponse::HTTP_ACCEPTED, statusBody(submission, progress));
    if (outcome->state == JobOutcome::State::Finished)
        return renderedJson(HTTPResponse::HTTP_OK, jobAnswer(submission, *outcome));
    return rendered(failureAnswer(submission, *outcome));
}

RenderedAnswer renderedJson(HTTPResponse::HTTPStatus status, const json &body)
{
    RenderedAnswer answer;
    answer.status = status;
    answer.contentType = "application/json";
    answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return answer;
}

void sendJson(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status,
              const json &body)
{
    send(response, renderedJson(status, body));
}

} // namespace anvilmill::daemon
