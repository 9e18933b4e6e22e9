#include "jobparser.h"

#include "anvilmill/documentsize.h"

#include <caller.h>

#include <Poco/DigestEngine.h>
#include <Poco/NumberParser.h>
#include <Poco/SHA1Engine.h>

#include <algorithm>

namespace anvilmill::daemon {

namespace {

using nlohmann::json;
using wire::caller::JobRequest;

constexpr std::size_t MaxNameLength = 100;
constexpr std::size_t MaxKeyLength = 200;
/// The job, its tasks, a task, and levels of unknown fields, which are ignored.
constexpr std::size_t MaxNesting = 16;
/// Values of the job and of each task, with unknown fields, which are ignored.
constexpr std::size_t JobValues = 1000;
constexpr std::size_t ValuesPerTask = 32;
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= MaxNameLength
           && std::all_of(name.begin(), name.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
              });
}

std::optional<std::string> validationError(const JobRequest &request, const JobLimits &limits)
{
    if (!isValidName(request.service))
        return "service: expected 1 to 100 letters, digits, '-', '_' or '.'";
    if (request.team && !isValidName(*request.team))
        return "team: expected 1 to 100 letters, digits, '-', '_' or '.'";
    if (request.tasks.empty())
        return "tasks: expected at least one";
    if (request.tasks.size() > limits.maxTasks)
        return "tasks: " + std::to_string(request.tasks.size()) + " are more than "
               + std::to_string(limits.maxTasks);
    if (request.deadlineMs && (*request.deadlineMs < 1 || *request.deadlineMs > MaxDeadlineMs))
        return "deadlineMs: expected 1 to " + std::to_string(MaxDeadlineMs);
    for (std::size_t i = 0; i < request.tasks.size(); ++i) {
        if (request.tasks[i].declaredMs.value_or(0) < 0)
            return "tasks[" + std::to_string(i) + "].declaredMs: must not be negative";
    }
    return std::nullopt;
}

/// Covers the content of the job, but not the deadline, urgency, run time estimates and wait mode,
/// which may differ in a resubmission.
std::string digestOf(const JobRequest &request)
{
    json identity = {request.service, request.team.value_or(""),
                     request.notRepeatable.value_or(false)};
    for (const auto &task : request.tasks)
        identity.push_back(task.payload);
    Poco::SHA1Engine engine;
    engine.update(identity.dump());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

ParsedJob fromRequest(JobRequest request)
{
    ParsedJob parsed;
    parsed.job.digest = digestOf(request);
    parsed.job.service = std::move(request.service);
    parsed.job.team = request.team.value_or("");
    for (auto &task : request.tasks) {
        TaskSpec spec;
        spec.payload = std::move(task.payload);
        if (task.declaredMs)
            spec.declaredRunTime = std::chrono::milliseconds(*task.declaredMs);
        parsed.job.tasks.push_back(std::move(spec));
    }
    if (request.deadlineMs)
        parsed.job.deadline = std::chrono::milliseconds(*request.deadlineMs);
    parsed.job.isRepeatable = !request.notRepeatable.value_or(false);
    parsed.job.isUrgent = request.urgent.value_or(false);
    parsed.isAwaited = request.wait.value_or(true);
    return parsed;
}

} // namespace

Result<ParsedJob> parseJob(const std::string &body, const JobLimits &limits)
{
    const DocumentLimits size = {MaxNesting, JobValues + ValuesPerTask * limits.maxTasks};
    try {
        if (const auto error = documentError(body, json::input_format_t::json, size))
            return Error{*error, {}};
        auto request = json::parse(body).get<JobRequest>();
        if (const auto error = validationError(request, limits))
            return Error{*error, {}};
        return fromRequest(std::move(request));
    } catch (const json::exception &exception) {
        return Error{exception.what(), {}};
    }
}

Result<std::uint32_t> parseAttempt(const std::string &text)
{
    unsigned attempt = 0;
    if (!Poco::NumberParser::tryParseUnsigned(text, attempt) || attempt == 0)
        return Error{"Submission-Attempt: expected a whole number from 1 on", {}};
    return static_cast<std::uint32_t>(attempt);
}

bool isValidKey(const std::string &key) noexcept
{
    return !key.empty() && key.size() <= MaxKeyLength
           && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

} // namespace anvilmill::daemon
