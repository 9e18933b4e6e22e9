#include "submit.h"

#include "commandline.h"
#include "options.h"

#include <caller.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <iostream>

namespace anvilmill::tools {

namespace {

constexpr int AnswerTimeoutSeconds = 3600;

nlohmann::json jobBody(const std::string &service, const std::string &team,
                       const std::vector<std::string> &payloads, bool isRepeatable,
                       std::optional<std::int64_t> deadlineMs)
{
    wire::caller::JobRequest request;
    request.service = service;
    if (!team.empty())
        request.team = team;
    for (const std::string &payload : payloads) {
        wire::caller::TaskSpec task;
        task.payload = payload;
        request.tasks.push_back(task);
    }
    request.notRepeatable = !isRepeatable;
    request.deadlineMs = deadlineMs;
    return request;
}

} // namespace

HttpAnswer callEntryHost(const std::string &address, const std::string &method,
                         const std::string &path, const std::string &body, const std::string &key)
{
    using namespace Poco::Net;
    HTTPClientSession session{SocketAddress(address)};
    session.setTimeout(Poco::Timespan(AnswerTimeoutSeconds, 0));
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    if (!key.empty())
        request.set("Idempotency-Key", key);
    session.sendRequest(request) << body;
    HTTPResponse response;
    HttpAnswer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
    answer.status = response.getStatus();
    return answer;
}

int runSubmit(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Submits one job and prints its whole answer.", ' ', "", true);
    const TCLAP::ValueArg<std::string> host("", "host", "Entry host", false, "127.0.0.1:8080",
                                            "ADDRESS:PORT", line);
    const TCLAP::ValueArg<std::string> service("s", "service", "Service of the job", true, "",
                                               "NAME", line);
    const TCLAP::ValueArg<std::string> team("", "team", "Team of the caller", false, "", "NAME",
                                            line);
    const TCLAP::ValueArg<std::string> key("k", "key", "Idempotency key", false, "", "KEY", line);
    const TCLAP::ValueArg<std::int64_t> deadline(
            "d", "deadline-ms", "Deadline in milliseconds from now", false, 0, "MS", line);
    const TCLAP::SwitchArg notRepeatable("", "not-repeatable", "Run at most once", line);
    const TCLAP::UnlabeledMultiArg<std::string> payloads("payload", "Payload of each task", true,
                                                         "PAYLOAD", line);
    if (const auto code = parseOptions(line, arguments))
        return *code;
    const auto deadlineMs =
            deadline.isSet() ? std::make_optional(deadline.getValue()) : std::nullopt;
    const nlohmann::json body = jobBody(service.getValue(), team.getValue(), payloads.getValue(),
                                        !notRepeatable.isSet(), deadlineMs);
    try {
        const HttpAnswer answer =
                callEntryHost(host.getValue(), "POST", "/v1/jobs", body.dump(), key.getValue());
        const bool isWhole = answer.status == Poco::Net::HTTPResponse::HTTP_OK;
        (isWhole ? std::cout : std::cerr) << answer.body << "\n";
        return isWhole ? Success : Failure;
    } catch (const Poco::Exception &exception) {
        std::cerr << "anvilmill submit: --host " << host.getValue() << ": "
                  << exception.displayText() << "; the job may have run\n";
        return Unavailable;
    }
}

} // namespace anvilmill::tools
