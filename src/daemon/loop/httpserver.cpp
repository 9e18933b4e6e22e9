#include "httpserver.h"

#include "bytebudget.h"
#include "limitreport.h"
#include "log.h"
#include "requestreader.h"
#include "socketoptions.h"
#include "timerqueue.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

namespace anvilmill::daemon {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// TCP_USER_TIMEOUT: tolerates short coverage gaps of mobile clients; after longer ones the client
/// reconnects.
constexpr auto UnacknowledgedTimeout = std::chrono::milliseconds(3000);

/// accept() usually fails because file descriptors have run out; retrying immediately would
/// busy-loop.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

/// A client sends its first request sooner than this after connecting, even over a slow link.
constexpr Duration FirstRequestGrace = std::chrono::milliseconds(250);

/// Requests are received for at most a few seconds, so the memory is available again soon.
constexpr const char *RetryAfterSeconds = "1";

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(key, boost::beast::string_view(name.data(), name.size())))
            return value;
    }
    return {};
}

struct HttpServer::State
{
    using Queue = std::map<std::uint64_t, Session *>;

    boost::asio::io_context &loop;
    TimerQueue &timers;
    tcp::acceptor acceptor;
    HttpServerLimits limits;
    Handler handler;
    ClientGuard guard;
    std::set<std::shared_ptr<Session>> sessions;
    /// Connections that have never sent a byte, by the order in which they were accepted.
    Queue silent;
    /// Connections that wait for their next request, the longest idle first.
    Queue idle;
    /// Connections on which a request is being received, the longest first.
    Queue receiving;
    std::uint64_t lastQueued = 0;
    std::size_t openRequests = 0;
    bool isClosing = false;
    bool isClosed = false;

    void limitReached(const char *cause) const
    {
        if (guard.report)
            guard.report->reached(cause);
    }
};

class HttpServer::Session : public HttpExchange, public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
        , m_charge(m_state->guard.budget)
    {
        setLowLatencyOptions(m_socket, UnacknowledgedTimeout);
    }

    /// Waits for the first byte of the next request.
    void awaitRequest()
    {
        m_phase = Phase::Idle;
        waitIn(&m_state->idle);
        if (m_reader.hasBytes()) {
            readRequest();
            return;
        }
        setTimeout(m_state->limits.idleTimeout);
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (error || self->m_phase != Phase::Idle)
                return;
            self->readRequest();
        });
    }

    /// Waits for the first request of the connection.
    void start()
    {
        awaitRequest();
        waitIn(&m_state->silent);
    }

    [[nodiscard]] bool isIdle() const noexcept { return m_phase == Phase::Idle; }

    /// True if it has waited in its queue for at least \p grace and has sent nothing that was not
    /// read: the next request may have arrived already.
    [[nodiscard]] bool mayGiveWay(Duration grace) const
    {
        error_code ignored;
        return m_state->timers.now() - m_queuedSince >= grace && m_socket.available(ignored) == 0;
    }

    void close()
    {
        if (m_phase == Phase::Closed)
            return;
        if (m_phase == Phase::Reading || m_phase == Phase::Handling || m_phase == Phase::Writing)
            --m_state->openRequests;
        m_phase = Phase::Closed;
        waitIn(nullptr);
        m_charge.release();
        m_state->timers.cancel(m_timer);
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_state->sessions.erase(shared_from_this());
    }

    [[nodiscard]] const HttpRequest &request() const override { return m_request; }

    void respond(HttpResponse response) override
    {
        if (m_phase != Phase::Handling)
            return;
        m_phase = Phase::Writing;
        m_disconnectHandler = nullptr;
        m_response = {};
        m_response.result(response.status);
        m_response.version(11);
        m_response.keep_alive(m_isKeepAlive && !m_state->isClosing);
        for (const auto &[name, value] : response.headers)
            m_response.set(name, value);
        if (!response.body.empty() && m_response[http::field::content_type].empty())
            m_response.set(http::field::content_type, "application/json");
        m_response.body() = std::move(response.body);
        m_response.prepare_payload();
        setTimeout(m_state->limits.requestTimeout);
        http::async_write(m_socket, m_response,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              self->written(error);
                          });
    }

    void onClientDisconnected(std::function<void()> handler) override
    {
        m_disconnectHandler = std::move(handler);
    }

    [[nodiscard]] bool isClientDisconnected() override
    {
        return m_phase == Phase::Closed || isClosedByPeer(m_socket);
    }

private:
    enum class Phase { Idle, Reading, Handling, Writing, Closed };

    /// Moves the connection to the end of \p queue; nullptr: to none.
    void waitIn(State::Queue *queue)
    {
        if (m_queue)
            m_queue->erase(m_queueNumber);
        m_queue = queue;
        if (!queue)
            return;
        m_queueNumber = ++m_state->lastQueued;
        m_queuedSince = m_state->timers.now();
        queue->emplace(m_queueNumber, this);
    }

    void setTimeout(Duration limit)
    {
        m_state->timers.cancel(m_timer);
        m_timer = m_state->timers.after(limit, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->timedOut();
        });
    }

    void timedOut()
    {
        if (m_phase == Phase::Reading)
            m_state->limitReached(limitcause::SlowRequest);
        else if (m_phase == Phase::Writing)
            m_state->limitReached(limitcause::UnreadAnswer);
        else if (m_queue == &m_state->silent)
            m_state->limitReached(limitcause::NoRequest);
        close();
    }

    void readRequest()
    {
        m_phase = Phase::Reading;
        ++m_state->openRequests;
        setTimeout(m_state->limits.requestTimeout);
        waitIn(&m_state->receiving);
        m_reader.begin(m_state->limits);
        // Posted, so that a client that sends many requests at once can't hold up the loop.
        if (m_reader.hasBytes())
            m_state->timers.post([self = shared_from_this()] { self->parse(); });
        else
            readMore();
    }

    void readMore()
    {
        m_socket.async_read_some(m_reader.space(),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     if (self->m_phase != Phase::Reading)
                                         return;
                                     if (error) {
                                         self->close();
                                         return;
                                     }
                                     self->m_reader.received(count);
                                     self->parse();
                                 });
    }

    void parse()
    {
        if (m_phase != Phase::Reading)
            return;
        const RequestReader::Progress progress = m_reader.parse();
        if (progress == RequestReader::Progress::Refused) {
            const RequestReader::Refusal refusal = m_reader.refusal();
            refuse({refusal.status, R"({"reason":")" + refusal.reason + R"("})", {}},
                   refusal.cause);
            return;
        }
        if (!m_charge.resize(m_reader.heldBytes())) {
            refuseForMemory();
            return;
        }
        if (progress == RequestReader::Progress::Complete)
            handle();
        else
            readMore();
    }

    void handle()
    {
        std::tie(m_request, m_isKeepAlive) = m_reader.release();
        if (!m_charge.resize(m_reader.heldBytes() + heldBytes(m_request))) {
            refuseForMemory();
            return;
        }
        m_state->timers.cancel(m_timer);
        m_phase = Phase::Handling;
        waitIn(nullptr);
        watchForDisconnect();
        m_state->handler(shared_from_this());
    }

    // The handler has not been called, so no task of the request has run or will run.
    void refuseForMemory()
    {
        refuse({503,
                R"({"reason":"too many requests are being received"})",
                {{"Retry-After", RetryAfterSeconds}}},
               limitcause::Memory);
    }

    /// Sends \p response and closes the connection.
    void refuse(HttpResponse response, const char *cause)
    {
        if (cause)
            m_state->limitReached(cause);
        m_request = {};
        m_reader.clear();
        m_charge.release();
        m_phase = Phase::Handling;
        waitIn(nullptr);
        m_isKeepAlive = false;
        respond(std::move(response));
    }

    /// Detects a disconnect without reading: bytes received before the response was sent belong to
    /// the next request.
    void watchForDisconnect()
    {
        // A client that sends many requests at once would otherwise add a wait for each.
        if (m_isWatching)
            return;
        m_isWatching = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->m_isWatching = false;
            if (error || self->m_phase != Phase::Handling || !isClosedByPeer(self->m_socket))
                return;
            const auto handler = std::move(self->m_disconnectHandler);
            self->close();
            if (handler)
                handler();
        });
    }

    void written(error_code error)
    {
        if (m_phase != Phase::Writing)
            return;
        if (error || !m_response.keep_alive()) {
            close();
            return;
        }
        --m_state->openRequests;
        m_request = {};
        m_response = {};
        // Bytes of a further request count from its first parsing.
        m_charge.release();
        awaitRequest();
    }

    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    ByteCharge m_charge;
    State::Queue *m_queue = nullptr;
    std::uint64_t m_queueNumber = 0;
    MonotonicTime m_queuedSince;
    RequestReader m_reader;
    HttpRequest m_request;
    http::response<http::string_body> m_response;
    std::function<void()> m_disconnectHandler;
    TimerQueue::Id m_timer;
    Phase m_phase = Phase::Idle;
    bool m_isKeepAlive = true;
    bool m_isWatching = false;
};

HttpServer::HttpServer(boost::asio::io_context &loop, TimerQueue &timers,
                       const tcp::endpoint &address, const HttpServerLimits &limits,
                       Handler handler, ClientGuard guard)
    : m_state(std::make_shared<State>(State{loop,
                                            timers,
                                            tcp::acceptor(loop),
                                            limits,
                                            std::move(handler),
                                            std::move(guard),
                                            {},
                                            {},
                                            {},
                                            {},
                                            0,
                                            0,
                                            false,
                                            false}))
{
    m_state->acceptor.open(address.protocol());
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_state->acceptor.bind(address);
    m_state->acceptor.listen();
    accept(m_state);
}

HttpServer::~HttpServer()
{
    m_state->isClosed = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
    const auto sessions = m_state->sessions;
    for (const auto &session : sessions)
        session->close();
}

void HttpServer::accept(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept([state](error_code error, tcp::socket socket) {
        if (state->isClosed || error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            LogEvent("server.acceptFailed", LogEvent::Level::Warning)
                    .with("reason", error.message())
                    .with("connections", state->sessions.size());
            state->timers.after(AcceptRetryDelay, [state] { accept(state); });
            return;
        }
        accepted(state, std::move(socket));
        accept(state);
    });
}

void HttpServer::accepted(const std::shared_ptr<State> &state, tcp::socket socket)
{
    if (state->sessions.size() >= state->limits.connections) {
        state->limitReached(limitcause::Connections);
        Session *const replaced = replaceable(*state);
        if (!replaced)
            return;
        replaced->close();
    }
    const auto session = std::make_shared<Session>(state, std::move(socket));
    state->sessions.insert(session);
    session->start();
}

HttpServer::Session *HttpServer::replaceable(const State &state)
{
    const std::pair<const State::Queue *, std::optional<Duration>> queues[] = {
            {&state.silent, FirstRequestGrace},
            {&state.idle, state.limits.idleGrace},
            {&state.receiving, state.limits.unfinishedGrace}};
    for (const auto &[queue, grace] : queues) {
        if (grace && !queue->empty() && queue->begin()->second->mayGiveWay(*grace))
            return queue->begin()->second;
    }
    return nullptr;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->limits = limits;
}

void HttpServer::closeAfterResponses()
{
    m_state->isClosing = true;
}

void HttpServer::closeIdle()
{
    m_state->isClosing = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
    const auto sessions = m_state->sessions;
    for (const auto &session : sessions) {
        if (session->isIdle())
            session->close();
    }
}

std::size_t HttpServer::openRequests() const noexcept
{
    return m_state->openRequests;
}

std::size_t HttpServer::connections() const noexcept
{
    return m_state->sessions.size();
}

} // namespace anvilmill::daemon
