#pragma once

#include "problem.h"

#include "entryhost/entryhost.h"

#include <nlohmann/json.hpp>

#include <string>

namespace anvilmill::daemon {

/// \brief Conversions from results to the HTTP answers that callers receive.
///
/// Thread safety: the functions may be called from any thread; those without an HTTP response are
/// pure.

/// Precondition: \p result is Refused, Conflict, InvalidKey or Uncertain.
[[nodiscard]] ProblemAnswer refusalAnswer(const SubmitResult &result);

/// Precondition: \p outcome is not Finished.
[[nodiscard]] ProblemAnswer failureAnswer(const Submission &submission, const JobOutcome &outcome);

/// \brief Answer to a malformed request. If the request has an idempotency key, the verdict is
/// MayHaveRun, because another attempt of the same submission may have run.
[[nodiscard]] ProblemAnswer badRequest(const std::string &detail, bool hasKey);
[[nodiscard]] ProblemAnswer bodyTooLarge(std::int64_t limitBytes, bool hasKey);
[[nodiscard]] ProblemAnswer tooManyRequests(bool hasKey);
/// \brief Answer if the entry host that runs the submission can't be reached.
[[nodiscard]] ProblemAnswer unreachableHolder(const std::string &id);
[[nodiscard]] ProblemAnswer unknownSubmission(const std::string &id);
[[nodiscard]] ProblemAnswer noSuchResource(const std::string &path);
[[nodiscard]] ProblemAnswer internalProblem(const std::string &detail);

/// \brief Body of the answer to a finished job: the output of every task.
[[nodiscard]] nlohmann::json jobAnswer(const Submission &submission, const JobOutcome &outcome);

[[nodiscard]] nlohmann::json statusBody(const Submission &submission,
                                        const std::optional<JobProgress> &progress);

/// \brief The final answer if the submission has ended, otherwise its status.
[[nodiscard]] RenderedAnswer outcomeAnswer(const Submission &submission,
                                           const std::optional<JobProgress> &progress);

[[nodiscard]] RenderedAnswer renderedJson(Poco::Net::HTTPResponse::HTTPStatus status,
                                          const nlohmann::json &body);

void sendJson(Poco::Net::HTTPServerResponse &response, Poco::Net::HTTPResponse::HTTPStatus status,
              const nlohmann::json &body);

} // namespace anvilmill::daemon
