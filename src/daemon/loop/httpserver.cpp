#include "httpserver.h"

#include "log.h"
#include "socketoptions.h"
#include "timerqueue.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <set>

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

HttpRequest asRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    for (const auto &field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

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
    boost::asio::io_context &loop;
    TimerQueue &timers;
    tcp::acceptor acceptor;
    HttpServerLimits limits;
    Handler handler;
    std::set<std::shared_ptr<Session>> sessions;
    std::size_t openRequests = 0;
    bool isClosing = false;
    bool isClosed = false;
};

class HttpServer::Session : public HttpExchange, public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
    {
        setLowLatencyOptions(m_socket, UnacknowledgedTimeout);
    }

    /// Waits for the first byte of the next request.
    void awaitRequest()
    {
        m_phase = Phase::Idle;
        if (m_buffer.size() > 0) {
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

    [[nodiscard]] bool isIdle() const noexcept { return m_phase == Phase::Idle; }

    void close()
    {
        if (m_phase == Phase::Closed)
            return;
        if (m_phase == Phase::Reading || m_phase == Phase::Handling || m_phase == Phase::Writing)
            --m_state->openRequests;
        m_phase = Phase::Closed;
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

    void setTimeout(Duration limit)
    {
        m_state->timers.cancel(m_timer);
        m_timer = m_state->timers.after(limit, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->close();
        });
    }

    void readRequest()
    {
        m_phase = Phase::Reading;
        ++m_state->openRequests;
        setTimeout(m_state->limits.requestTimeout);
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.headerSize));
        m_parser->body_limit(m_state->limits.bodySize);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             self->readDone(error);
                         });
    }

    void readDone(error_code error)
    {
        if (m_phase != Phase::Reading)
            return;
        m_state->timers.cancel(m_timer);
        if (error) {
            readFailed(error);
            return;
        }
        m_phase = Phase::Handling;
        m_isKeepAlive = m_parser->keep_alive();
        m_request = asRequest(m_parser->release());
        watchForDisconnect();
        m_state->handler(shared_from_this());
    }

    void readFailed(error_code error)
    {
        if (error == http::error::end_of_stream || m_socket.available() == 0) {
            close();
            return;
        }
        m_phase = Phase::Handling;
        m_isKeepAlive = false;
        const bool isTooLarge =
                error == http::error::body_limit || error == http::error::header_limit;
        const std::string text = R"({"reason":")" + error.message() + R"("})";
        respond({isTooLarge ? 413U : 400U, text, {}});
    }

    /// Detects a disconnect without reading: bytes received before the response was sent belong to
    /// the next request.
    void watchForDisconnect()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
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
        awaitRequest();
    }

    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    HttpRequest m_request;
    http::response<http::string_body> m_response;
    std::function<void()> m_disconnectHandler;
    TimerQueue::Id m_timer;
    Phase m_phase = Phase::Idle;
    bool m_isKeepAlive = true;
};

HttpServer::HttpServer(boost::asio::io_context &loop, TimerQueue &timers,
                       const tcp::endpoint &address, const HttpServerLimits &limits,
                       Handler handler)
    : m_state(std::make_shared<State>(State{loop,
                                            timers,
                                            tcp::acceptor(loop),
                                            limits,
                                            std::move(handler),
                                            {},
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
        if (state->sessions.size() < state->limits.connections) {
            const auto session = std::make_shared<Session>(state, std::move(socket));
            state->sessions.insert(session);
            session->awaitRequest();
        }
        accept(state);
    });
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
