#pragma once

#include "anvilmill/result.h"

#include "entryhost/entryhost.h"

#include <string>

namespace anvilmill::daemon {

/// \brief Limits on the body of a job.
struct JobLimits
{
    std::size_t maxTasks = 1000;
};

/// \brief A job parsed from a request, and whether its caller waits for the answer.
struct ParsedJob
{
    IncomingJob job;
    bool isAwaited = true;
};

/// \brief Parses the body of `POST /v1/jobs`. Errors name the offending field.
///
/// Never throws on malformed input.
[[nodiscard]] Result<ParsedJob> parseJob(const std::string &body, const JobLimits &limits);

/// \brief Parses the header `Submission-Attempt`: a whole number from 1 on.
[[nodiscard]] Result<std::uint32_t> parseAttempt(const std::string &text);

/// \brief Checks an idempotency key: 1 to 200 visible ASCII characters.
[[nodiscard]] bool isValidKey(const std::string &key) noexcept;

} // namespace anvilmill::daemon
