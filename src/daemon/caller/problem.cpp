#include "problem.h"

#include <caller.h>

namespace anvilmill::daemon {

namespace {

wire::caller::Verdict asWire(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return wire::caller::Verdict::NotRun;
    case Verdict::MayHaveRun:
        return wire::caller::Verdict::MayHaveRun;
    case Verdict::Ran:
        return wire::caller::Verdict::Ran;
    }
    return wire::caller::Verdict::MayHaveRun;
}

} // namespace

RenderedAnswer rendered(const ProblemAnswer &problem)
{
    wire::caller::Problem body;
    body.type = "/problems/" + problem.type;
    body.title = problem.title;
    body.status = problem.status;
    body.detail = problem.detail;
    body.verdict = asWire(problem.verdict);
    if (!problem.submission.empty())
        body.submission = problem.submission;
    if (problem.retryAfter)
        body.retryAfterMs =
                std::chrono::ceil<std::chrono::milliseconds>(*problem.retryAfter).count();
    RenderedAnswer answer;
    answer.status = problem.status;
    answer.contentType = "application/problem+json";
    answer.body =
            nlohmann::json(body).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer.retryAfter = problem.retryAfter;
    return answer;
}

void sendProblem(Poco::Net::HTTPServerResponse &response, const ProblemAnswer &problem)
{
    send(response, rendered(problem));
}

} // namespace anvilmill::daemon
