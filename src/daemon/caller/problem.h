#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/verdict.h"

#include "renderedanswer.h"

#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief An error response, sent as application/problem+json.
struct ProblemAnswer
{
    Poco::Net::HTTPResponse::HTTPStatus status =
            Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    /// Last path segment of the problem type, for example `queue-full`.
    std::string type;
    std::string title;
    std::string detail;
    Verdict verdict = Verdict::MayHaveRun;
    std::string submission;
    std::optional<Duration> retryAfter;
};

[[nodiscard]] RenderedAnswer rendered(const ProblemAnswer &problem);

void sendProblem(Poco::Net::HTTPServerResponse &response, const ProblemAnswer &problem);

} // namespace anvilmill::daemon
