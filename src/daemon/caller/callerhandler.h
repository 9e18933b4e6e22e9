#pragma once

#include "connectionguard.h"
#include "entryhost/entryhost.h"

#include "jobparser.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Serves one request of a caller or operator.
///
/// Thread safety: one thread at a time. The entry host and the counter are shared by all handlers.
class CallerHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(EntryHost &host, ConnectionGuard &guard, std::atomic<int> &openRequests);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    using Operation = wire::answers::Operation;
    using Request = Poco::Net::HTTPServerRequest;
    using Response = Poco::Net::HTTPServerResponse;
    using Action = void (CallerHandler::*)(Request &, Response &, const std::string &argument);

    struct Route
    {
        const char *method;
        /// A trailing '/' means that an argument follows.
        const char *prefix;
        const char *suffix;
        Action action;
    };

    [[nodiscard]] static const std::vector<Route> &routes();

    /// Reads and parses the body; sends the refusal and returns std::nullopt if that fails.
    [[nodiscard]] std::optional<ParsedJob> receiveJob(Request &request, Response &response,
                                                      const std::string &key);
    void route(Request &request, Response &response, int ordinal);
    [[nodiscard]] bool tryRoute(const Route &entry, const std::string &path, Request &request,
                                Response &response);

    void submit(Request &request, Response &response, const std::string &argument);
    void status(Request &request, Response &response, const std::string &id);
    void answer(Request &request, Response &response, const std::string &id);
    void cancel(Request &request, Response &response, const std::string &id);
    void tickets(Request &request, Response &response, const std::string &argument);
    void health(Request &request, Response &response, const std::string &argument);
    void readiness(Request &request, Response &response, const std::string &argument);
    void metrics(Request &request, Response &response, const std::string &argument);
    void hostStatus(Request &request, Response &response, const std::string &argument);
    void objectives(Request &request, Response &response, const std::string &argument);

    void sendSubmitResult(Response &response, const SubmitResult &result, bool isAwaited);
    void forward(Response &response, const std::optional<HostIncarnation> &holder,
                 const std::string &id, Operation operation);
    void sendOutcome(Response &response, const Submission &submission);

    EntryHost &m_host;
    ConnectionGuard &m_guard;
    /// The request that is being handled.
    ConnectionGuard::Request *m_guarded = nullptr;
    /// Whether the connection may stay open once the request has been read.
    bool m_isKeepAlive = true;
    std::atomic<int> &m_openRequests;
};

} // namespace anvilmill::daemon
