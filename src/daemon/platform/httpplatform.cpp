#include "httpplatform.h"

#include "platformwire.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>

namespace anvilmill::daemon {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Shorter than the server's keep-alive timeout, so that no request is sent on a closing connection.
constexpr std::chrono::seconds MaxIdleTime{5};
constexpr std::size_t MaxIdleConnections = 8;
constexpr Duration WatchMargin = std::chrono::seconds(2);

Poco::Timespan asTimespan(Duration duration)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return {std::max<std::int64_t>(micros, 1)};
}

std::int64_t millisOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string keyPath(const std::string &key)
{
    std::string encoded;
    Poco::URI::encode(key, "/?#&=+ ", encoded);
    return "/v1/keys/" + encoded;
}

} // namespace

struct HttpPlatform::Request
{
    std::string method;
    std::string path;
    std::string body;
};

struct HttpPlatform::CallResult
{
    CallOutcome outcome = CallOutcome::Unreachable;
    int status = 0;
    std::string body;
    std::string reason;

    [[nodiscard]] static CallResult failed(CallOutcome outcome, const std::string &reason)
    {
        return {outcome, 0, {}, reason};
    }

    /// \brief Parses the body as \p Message. An invalid body counts as a lost response (Unknown).
    template <typename Message>
    [[nodiscard]] std::optional<Message> read()
    {
        try {
            return nlohmann::json::parse(body).get<Message>();
        } catch (const std::exception &exception) {
            outcome = CallOutcome::Unknown;
            reason = exception.what();
            return std::nullopt;
        }
    }
};

class HttpPlatform::Connection
{
public:
    Connection(const std::string &address, Duration timeout)
        : m_socket(connected(address, timeout))
        , m_session(m_socket)
    {
        m_session.setKeepAlive(true);
        // Prevents the session from reconnecting by itself, which would send a request twice.
        m_session.setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS, 0));
    }

    [[nodiscard]] Poco::Net::HTTPClientSession &session() noexcept { return m_session; }
    [[nodiscard]] bool isReusable() const { return SystemClock().now() - m_lastUse < MaxIdleTime; }

    // Set on the socket, because the session applies its own timeouts only when it connects.
    void setTimeout(Duration timeout)
    {
        m_socket.setSendTimeout(asTimespan(timeout));
        m_socket.setReceiveTimeout(asTimespan(timeout));
    }

    void markUsed() { m_lastUse = SystemClock().now(); }

private:
    static Poco::Net::StreamSocket connected(const std::string &address, Duration timeout)
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), asTimespan(timeout));
        socket.setNoDelay(true);
        return socket;
    }

    Poco::Net::StreamSocket m_socket;
    Poco::Net::HTTPClientSession m_session;
    MonotonicTime m_lastUse = SystemClock().now();
};

HttpPlatform::HttpPlatform(std::string address)
    : m_address(std::move(address))
{
}

HttpPlatform::~HttpPlatform() = default;

std::unique_ptr<HttpPlatform::Connection> HttpPlatform::acquireConnection(Duration timeout)
{
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty()) {
            std::unique_ptr<Connection> connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (connection->isReusable())
                return connection;
        }
    }
    return std::make_unique<Connection>(m_address, timeout);
}

void HttpPlatform::releaseConnection(std::unique_ptr<Connection> connection)
{
    connection->markUsed();
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < MaxIdleConnections)
        m_idle.push_back(std::move(connection));
}

HttpPlatform::CallResult HttpPlatform::call(const Request &request, Duration timeout)
{
    std::unique_ptr<Connection> connection;
    try {
        connection = acquireConnection(timeout);
        connection->setTimeout(timeout);
    } catch (const Poco::Exception &exception) {
        return CallResult::failed(CallOutcome::Unreachable, exception.displayText());
    }
    try {
        CallResult result = exchange(*connection, request);
        if (connection->session().getKeepAlive())
            releaseConnection(std::move(connection));
        return result;
    } catch (const Poco::Exception &exception) {
        return CallResult::failed(CallOutcome::Unknown, exception.displayText());
    }
}

HttpPlatform::CallResult HttpPlatform::exchange(Connection &connection,
                                                const Request &request) const
{
    HTTPRequest head(request.method, request.path, HTTPRequest::HTTP_1_1);
    head.setHost(m_address);
    head.setKeepAlive(true);
    head.setContentType("application/json");
    head.setContentLength(static_cast<std::streamsize>(request.body.size()));
    connection.session().sendRequest(head) << request.body;

    HTTPResponse response;
    std::istream &stream = connection.session().receiveResponse(response);
    CallResult result;
    Poco::StreamCopier::copyToString(stream, result.body);
    result.status = response.getStatus();
    const bool isRefused = result.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    const bool isServerError = result.status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    result.outcome = isRefused       ? CallOutcome::Unreachable
                     : isServerError ? CallOutcome::Unknown
                                     : CallOutcome::Done;
    if (result.outcome != CallOutcome::Done)
        result.reason = "status " + std::to_string(result.status);
    return result;
}

namespace {

template <typename CallResult>
StoreReply asStoreReply(CallResult result)
{
    StoreReply reply;
    const bool hasEntry = result.outcome == CallOutcome::Done && !result.body.empty();
    if (hasEntry) {
        if (const auto entry = result.template read<wire::platform::Entry>())
            reply.entry = asStoreEntry(*entry);
    }
    reply.outcome = result.outcome;
    reply.reason = result.reason;
    if (reply.outcome != CallOutcome::Done)
        return reply;
    switch (result.status) {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_NOT_FOUND:
        break;
    case HTTPResponse::HTTP_CONFLICT:
        reply.outcome = CallOutcome::Conflict;
        break;
    case HTTPResponse::HTTP_NOT_MODIFIED:
        reply.outcome = CallOutcome::Unchanged;
        break;
    default:
        reply.outcome = CallOutcome::Unreachable;
        reply.reason = "rejected with status " + std::to_string(result.status);
    }
    return reply;
}

} // namespace

StoreReply HttpPlatform::get(const std::string &key, Duration timeout)
{
    return asStoreReply(call({HTTPRequest::HTTP_GET, keyPath(key), {}}, timeout));
}

StoreReply HttpPlatform::put(const StorePut &change, Duration timeout)
{
    wire::platform::PutRequest message;
    message.value = change.value;
    message.expected = static_cast<std::int64_t>(change.expected);
    message.changeId = change.changeId;
    try {
        const std::string body = nlohmann::json(message).dump();
        return asStoreReply(call({HTTPRequest::HTTP_PUT, keyPath(change.key), body}, timeout));
    } catch (const nlohmann::json::exception &exception) {
        return {CallOutcome::Unreachable, {}, exception.what()};
    }
}

StoreReply HttpPlatform::watch(const std::string &key, StoreVersion known, Duration wait)
{
    const std::string query =
            "?known=" + std::to_string(known) + "&waitMs=" + std::to_string(millisOf(wait));
    return asStoreReply(
            call({HTTPRequest::HTTP_GET, keyPath(key) + query, {}}, wait + WatchMargin));
}

LeaseReply HttpPlatform::leaseCall(const Request &request, Duration timeout)
{
    CallResult result = call(request, timeout);
    LeaseReply reply;
    if (result.outcome == CallOutcome::Done) {
        if (const auto message = result.read<wire::platform::LeaseAnswer>()) {
            reply.held = asLeases(message->held);
            reply.lapsed = asLeases(message->lapsed);
        }
    }
    reply.outcome = result.outcome;
    reply.reason = result.reason;
    return reply;
}

LeaseReply HttpPlatform::grantLease(const std::string &holder, Duration length, Duration timeout)
{
    wire::platform::LeaseGrant message;
    message.holder = holder;
    message.lengthMs = millisOf(length);
    const std::string body = nlohmann::json(message).dump();
    return leaseCall({HTTPRequest::HTTP_POST, "/v1/leases", body}, timeout);
}

LeaseReply HttpPlatform::renewLeases(const std::vector<LeaseId> &leases, Duration timeout)
{
    const std::string body = nlohmann::json(asWire(leases)).dump();
    return leaseCall({HTTPRequest::HTTP_POST, "/v1/leases/renew", body}, timeout);
}

LeaseReply HttpPlatform::queryLeases(const std::vector<LeaseId> &leases, Duration timeout)
{
    const std::string body = nlohmann::json(asWire(leases)).dump();
    return leaseCall({HTTPRequest::HTTP_POST, "/v1/leases/query", body}, timeout);
}

LeaseReply HttpPlatform::releaseLease(LeaseId lease, Duration timeout)
{
    return leaseCall({HTTPRequest::HTTP_DELETE, "/v1/leases/" + std::to_string(lease), {}},
                     timeout);
}

HostListReply HttpPlatform::hosts(const std::string &dataCentre, Duration timeout)
{
    std::string encoded;
    Poco::URI::encode(dataCentre, "/?#&=+ ", encoded);
    CallResult result =
            call({HTTPRequest::HTTP_GET, "/v1/hosts?dataCentre=" + encoded, {}}, timeout);
    HostListReply reply;
    if (result.outcome == CallOutcome::Done) {
        if (const auto message = result.read<wire::platform::HostListAnswer>()) {
            for (const wire::platform::Host &host : message->hosts)
                reply.hosts.push_back(asListedHost(host));
        }
    }
    reply.outcome = result.outcome;
    reply.reason = result.reason;
    return reply;
}

} // namespace anvilmill::daemon
