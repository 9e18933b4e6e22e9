#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

class ByteBudget;
class LimitReport;
class TimerQueue;

/// \brief A completely received request.
struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    /// \brief Value of the header \p name (case-insensitive); empty if the header is missing.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// \brief The response to a request.
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief A received request that has not been responded to.
///
/// Thread safety: only to be used on the event loop's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /// \brief Sends the response. No effect if one was sent before or the client has disconnected.
    virtual void respond(HttpResponse response) = 0;

    /// \brief Calls \p handler if the client closes the connection before the response is sent.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;

    /// \brief True if the client has closed the connection, though the handler of
    /// onClientDisconnected() may not have been called yet.
    [[nodiscard]] virtual bool isClientDisconnected() = 0;
};

/// \brief Limits of one HttpServer. Changes apply to subsequent requests and connections.
struct HttpServerLimits
{
    std::size_t headerSize = 16U << 10U;
    std::size_t bodySize = 256U << 10U;
    /// For receiving a request, from its first byte to its last.
    Duration requestTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    /// Concurrent connections. For a further one, the oldest that has never sent a byte is closed, or
    /// else the one that has been idle for longest; if there is none, the further one is.
    std::size_t connections = 2000;
    /// At the limit of connections, one may give way after it has waited for its next request for
    /// this long, or has not sent the rest of a request.
    Duration idleGrace = std::chrono::seconds(1);
    std::optional<Duration> unfinishedGrace = {};
};

/// \brief What a server shares with others, or reports to; both are optional.
struct ClientGuard
{
    /// Limits the bytes of the requests that are being received or handled. A request beyond it is
    /// refused with 503 before its handler is called.
    std::shared_ptr<ByteBudget> budget;
    std::shared_ptr<LimitReport> report;
};

/// \brief HTTP/1.1 server with persistent connections on one address, run by an event loop.
///
/// Thread safety: only to be used on the event loop's thread.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// \brief Starts to listen; throws boost::system::system_error if that fails.
    ///
    /// Precondition: \p loop and \p timers outlive the server.
    HttpServer(boost::asio::io_context &loop, TimerQueue &timers,
               const boost::asio::ip::tcp::endpoint &address, const HttpServerLimits &limits,
               Handler handler, ClientGuard guard = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setLimits(const HttpServerLimits &limits);

    /// \brief From now on, closes each connection after its next response.
    void closeAfterResponses();

    /// \brief Stops listening and closes all connections without a request in progress.
    void closeIdle();

    /// \brief Requests that have started to arrive and whose response has not been sent completely.
    [[nodiscard]] std::size_t openRequests() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class Session;
    struct State;

    static void accept(const std::shared_ptr<State> &state);
    /// The connection to close for a further one; nullptr if none may be closed.
    [[nodiscard]] static Session *replaceable(const State &state);
    static void accepted(const std::shared_ptr<State> &state, boost::asio::ip::tcp::socket socket);

    std::shared_ptr<State> m_state;
};

} // namespace anvilmill::daemon
