#include "platformstandin.h"

#include "platformwire.h"
#include "requestbody.h"

#include "anvilmill/documentsize.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <algorithm>
#include <thread>

namespace anvilmill::daemon {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Each pending watch blocks one thread.
constexpr int MaxThreads = 300;
// A value, with each of its bytes escaped.
constexpr std::size_t MaxBodyBytes = 8U << 20U;
// A value is one string; a list of leases has one for each host.
constexpr DocumentLimits BodyLimits = {16, 100000};
constexpr std::size_t MaxBodiesBytes = 64U << 20U;
constexpr std::chrono::seconds MaxWatchTime{60};
const std::string KeysPath = "/v1/keys/";
const std::string LeasesPath = "/v1/leases";

struct Answer
{
    HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_NOT_FOUND;
    std::string body;
};

Answer ok(const nlohmann::json &body)
{
    return {HTTPResponse::HTTP_OK, body.dump()};
}

Answer asAnswer(const StoreReply &reply)
{
    Answer answer;
    if (reply.entry)
        answer.body = nlohmann::json(asWire(*reply.entry)).dump();
    if (reply.outcome == CallOutcome::Conflict)
        answer.status = HTTPResponse::HTTP_CONFLICT;
    else if (reply.outcome == CallOutcome::Unchanged)
        answer.status = HTTPResponse::HTTP_NOT_MODIFIED;
    else if (reply.outcome == CallOutcome::Unreachable)
        answer.status = HTTPResponse::HTTP_BAD_REQUEST;
    else
        answer.status = reply.entry ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND;
    return answer;
}

std::string parameter(const Poco::URI &uri, const std::string &name)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

std::vector<LeaseId> leasesIn(const std::string &body)
{
    return asLeases(nlohmann::json::parse(body).get<wire::platform::LeaseList>().leases);
}

Answer readKey(StandInState &state, const std::string &key, const Poco::URI &uri)
{
    const std::string known = parameter(uri, "known");
    if (known.empty())
        return asAnswer(state.get(key));
    const std::chrono::milliseconds wait(std::stoll(parameter(uri, "waitMs")));
    const Duration bounded = std::min<Duration>(wait, MaxWatchTime);
    return asAnswer(state.watch(key, std::stoull(known), bounded));
}

Answer writeKey(StandInState &state, const std::string &key, const std::string &body)
{
    const auto message = nlohmann::json::parse(body).get<wire::platform::PutRequest>();
    const auto expected = static_cast<StoreVersion>(message.expected);
    return asAnswer(state.put({key, message.value, expected, message.changeId}));
}

Answer serveLeases(StandInState &state, const HTTPServerRequest &request, const std::string &path,
                   const std::string &body)
{
    if (request.getMethod() == HTTPRequest::HTTP_DELETE) {
        const LeaseId lease = std::stoull(path.substr(LeasesPath.size() + 1));
        return ok(asWire(state.releaseLease(lease)));
    }
    if (path == LeasesPath + "/renew")
        return ok(asWire(state.renewLeases(leasesIn(body))));
    if (path == LeasesPath + "/query")
        return ok(asWire(state.queryLeases(leasesIn(body))));
    const auto message = nlohmann::json::parse(body).get<wire::platform::LeaseGrant>();
    const std::chrono::milliseconds length(message.lengthMs);
    const LeaseReply granted = state.grantLease(message.holder, length);
    return granted.isDone() ? ok(asWire(granted))
                            : Answer{HTTPResponse::HTTP_SERVICE_UNAVAILABLE, {}};
}

Answer serveHosts(const StandInState &state, const Poco::URI &uri)
{
    wire::platform::HostListAnswer message;
    for (const ListedHost &host : state.hosts(parameter(uri, "dataCentre")).hosts)
        message.hosts.push_back(asWire(host));
    return ok(message);
}

Answer serve(StandInState &state, const HTTPServerRequest &request, const std::string &body)
{
    const Poco::URI uri(request.getURI());
    const std::string &path = uri.getPath();
    const bool isWrite = request.getMethod() == HTTPRequest::HTTP_PUT;
    if (path.rfind(KeysPath, 0) == 0) {
        const std::string key = path.substr(KeysPath.size());
        return isWrite ? writeKey(state, key, body) : readKey(state, key, uri);
    }
    if (path.rfind(LeasesPath, 0) == 0)
        return serveLeases(state, request, path, body);
    if (path == "/v1/hosts")
        return serveHosts(state, uri);
    return {};
}

} // namespace

class PlatformStandIn::Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(PlatformStandIn &owner)
        : m_owner(owner)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        ++m_owner.m_calls;
        ByteCharge charge(m_owner.m_bodies);
        const RequestBody body = readBody(request.stream(), MaxBodyBytes, charge);
        if (body.end != RequestBody::End::Complete) {
            response.setStatusAndReason(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
            response.setKeepAlive(false);
            response.setContentLength(0);
            response.send();
            return;
        }
        std::this_thread::sleep_for(Duration(m_owner.m_faults.answerDelay.load()));
        const Answer answer = answerTo(request, body.text);
        if (shouldLoseAnswer()) {
            static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        response.setStatusAndReason(answer.status);
        response.setContentType("application/json");
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
        response.send() << answer.body;
    }

private:
    Answer answerTo(const HTTPServerRequest &request, const std::string &body)
    {
        if (m_owner.m_faults.isDown)
            return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, {}};
        if (!body.empty() && documentError(body, nlohmann::json::input_format_t::json, BodyLimits))
            return {HTTPResponse::HTTP_BAD_REQUEST, {}};
        try {
            return serve(m_owner.m_state, request, body);
        } catch (const std::exception &) {
            return {HTTPResponse::HTTP_BAD_REQUEST, {}};
        }
    }

    bool shouldLoseAnswer()
    {
        std::atomic<int> &left = m_owner.m_faults.repliesToLose;
        int value = left;
        while (value > 0 && !left.compare_exchange_weak(value, value - 1)) {
        }
        return value > 0;
    }

    PlatformStandIn &m_owner;
};

class PlatformStandIn::Factory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(PlatformStandIn &owner)
        : m_owner(owner)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new Handler(m_owner); // Poco takes ownership.
    }

private:
    PlatformStandIn &m_owner;
};

PlatformStandIn::PlatformStandIn(const std::string &address, const Clock &clock)
    : m_state(clock)
    , m_bodies(std::make_shared<ByteBudget>(MaxBodiesBytes))
    , m_threads("platform", 2, MaxThreads)
{
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(MaxThreads);
    params->setKeepAlive(true);
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress(address)};
    m_server =
            std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), m_threads, socket, params);
    m_server->start();
}

PlatformStandIn::~PlatformStandIn()
{
    m_server->stopAll(true);
    m_threads.joinAll();
}

std::string PlatformStandIn::address() const
{
    return m_server->socket().address().toString();
}

} // namespace anvilmill::daemon
