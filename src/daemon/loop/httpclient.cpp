#include "httpclient.h"

#include "socketoptions.h"
#include "timerqueue.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace anvilmill::daemon {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// The kernel retransmits a lost SYN only after 1 s, then after 2 s more; reconnecting is faster.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// TCP_USER_TIMEOUT: several round trips between data centres, but less than a client's timeout.
constexpr auto UnacknowledgedTimeout = std::chrono::milliseconds(1000);

struct PendingCall
{
    HttpCall call;
    HttpClient::Handler handler;
    MonotonicTime deadline;
};

} // namespace

/// The queued calls and the connections. Shared with the connections, whose pending operations may
/// outlive the client.
struct HttpClient::State
{
    boost::asio::io_context &loop;
    TimerQueue &timers;
    tcp::endpoint server;
    HttpClientLimits limits;
    std::deque<PendingCall> queued;
    std::vector<std::shared_ptr<Connection>> connections;
    std::size_t idle = 0;
    bool isClosed = false;

    void postResult(const Handler &handler, HttpCallResult result)
    {
        boost::asio::post(loop, [handler, result = std::move(result)] { handler(result); });
    }
};

/// One persistent connection. A read is always pending, so that a close by the server is detected
/// immediately.
class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(std::shared_ptr<State> state)
        : m_state(std::move(state))
        , m_socket(m_state->loop)
    {
    }

    [[nodiscard]] bool isIdle() const noexcept { return m_isOpen && !m_call; }

    void open(PendingCall call)
    {
        m_call = std::move(call);
        setTimeout(ConnectTimeout);
        m_socket.async_connect(m_state->server, [self = shared_from_this()](error_code error) {
            self->connected(error);
        });
    }

    void send(PendingCall call)
    {
        --m_state->idle;
        m_call = std::move(call);
        write();
    }

    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
        m_isOpen = false;
    }

private:
    /// Ends the call after \p limit, or at its deadline if that is sooner.
    void setTimeout(Duration limit)
    {
        const Duration left = m_call->deadline - std::chrono::steady_clock::now();
        m_state->timers.cancel(m_deadline);
        m_deadline = m_state->timers.after(std::min(left, limit), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->fail("call timed out");
        });
    }

    void connected(error_code error)
    {
        if (!m_call || m_state->isClosed)
            return;
        if (error) {
            fail(error.message());
            return;
        }
        m_isOpen = true;
        setLowLatencyOptions(m_socket, UnacknowledgedTimeout);
        enableFastKeepAlive(m_socket);
        write();
        read();
    }

    void write()
    {
        m_isSent = true;
        const HttpCall &call = m_call->call;
        setTimeout(call.responseTimeout.value_or(Duration::max()));
        m_request = {};
        m_request.method_string(call.method);
        m_request.target(call.target);
        m_request.version(11);
        m_request.set(http::field::host, m_state->server.address().to_string());
        for (const auto &[name, value] : call.headers)
            m_request.set(name, value);
        if (!call.body.empty())
            m_request.set(http::field::content_type, "application/json");
        m_request.body() = call.body;
        m_request.prepare_payload();
        http::async_write(m_socket, m_request,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error)
                                  self->fail(error.message());
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_state->limits.maxResponseSize);
        // Parses the body in the same operation as the header if it has arrived, too.
        m_parser->eager(true);
        readSome();
    }

    void readSome()
    {
        http::async_read_some(m_socket, m_buffer, *m_parser,
                              [self = shared_from_this()](error_code error, std::size_t) {
                                  self->someRead(error);
                              });
    }

    void someRead(error_code error)
    {
        if (error || m_parser->is_done()) {
            readDone(error);
            return;
        }
        if (m_call && m_call->call.responseTimeout && m_parser->is_header_done())
            setTimeout(Duration::max());
        readSome();
    }

    void readDone(error_code error)
    {
        if (error || !m_call) {
            fail(error ? error.message() : "unexpected response on an idle connection",
                 error == http::error::end_of_stream);
            return;
        }
        const bool isKeepAlive = m_parser->keep_alive();
        auto message = m_parser->release();
        HttpCallResult result{HttpOutcome::ResponseReceived, message.result_int(),
                              std::move(message.body()), "", false};
        finish(result, isKeepAlive);
    }

    void fail(const std::string &reason, bool isClosedByServer = false)
    {
        if (!m_call) {
            if (m_isOpen)
                --m_state->idle;
            drop();
            return;
        }
        const HttpOutcome outcome = m_isSent ? HttpOutcome::NoResponse : HttpOutcome::NotSent;
        finish({outcome, 0, "", reason, isClosedByServer}, false);
    }

    void finish(const HttpCallResult &result, bool isKeepAlive)
    {
        const PendingCall call = std::move(*m_call);
        m_call.reset();
        m_isSent = false;
        m_state->timers.cancel(m_deadline);
        const auto state = m_state;
        if (isKeepAlive) {
            ++state->idle;
            read();
        } else {
            drop();
        }
        if (!state->isClosed)
            call.handler(result);
        sendQueued(*state, state);
    }

    void drop()
    {
        close();
        auto &all = m_state->connections;
        all.erase(std::remove(all.begin(), all.end(), shared_from_this()), all.end());
    }

public:
    /// Sends queued calls on idle connections, or on new ones up to the connection limit.
    static void sendQueued(State &state, const std::shared_ptr<State> &owner)
    {
        while (!state.isClosed && !state.queued.empty()) {
            if (state.idle == 0 && state.connections.size() >= state.limits.connections)
                return;
            PendingCall call = std::move(state.queued.front());
            state.queued.pop_front();
            const auto idle = std::find_if(state.connections.begin(), state.connections.end(),
                                           [](const auto &each) { return each->isIdle(); });
            if (idle != state.connections.end()) {
                (*idle)->send(std::move(call));
                continue;
            }
            state.connections.push_back(std::make_shared<Connection>(owner));
            state.connections.back()->open(std::move(call));
        }
    }

private:
    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    http::request<http::string_body> m_request;
    std::optional<PendingCall> m_call;
    TimerQueue::Id m_deadline;
    bool m_isOpen = false;
    bool m_isSent = false;
};

HttpClient::HttpClient(boost::asio::io_context &loop, TimerQueue &timers, tcp::endpoint server,
                       const HttpClientLimits &limits)
    : m_state(std::make_shared<State>(
            State{loop, timers, std::move(server), limits, {}, {}, 0, false}))
{
}

HttpClient::~HttpClient()
{
    m_state->isClosed = true;
    m_state->queued.clear();
    for (const auto &connection : m_state->connections)
        connection->close();
    m_state->connections.clear();
}

void HttpClient::send(HttpCall call, Handler handler)
{
    if (m_state->queued.size() >= m_state->limits.queuedCalls) {
        m_state->postResult(handler, {HttpOutcome::NotSent, 0, "", "call queue is full", false});
        return;
    }
    const MonotonicTime deadline = std::chrono::steady_clock::now() + call.timeout;
    m_state->queued.push_back({std::move(call), std::move(handler), deadline});
    Connection::sendQueued(*m_state, m_state);
}

const tcp::endpoint &HttpClient::server() const noexcept
{
    return m_state->server;
}

std::size_t HttpClient::connections() const noexcept
{
    return m_state->connections.size();
}

std::optional<tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    error_code error;
    const auto host = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return tcp::endpoint(host, port);
}

} // namespace anvilmill::daemon
