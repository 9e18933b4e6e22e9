#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

class TimerQueue;

/// \brief A request that was read in full.
struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    /// \brief Value of the header, by its name in any case; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// \brief An answer to a request.
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief A request that waits for its answer.
///
/// Thread safety: used by the loop's thread alone.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /// \brief Sends the answer; nothing if one was sent or the client has gone.
    virtual void respond(HttpResponse response) = 0;

    /// \brief Calls \p handler if the client closes the connection before the answer.
    virtual void onClientGone(std::function<void()> handler) = 0;
};

/// \brief Bounds of a server; may change while it runs, for what comes after.
struct HttpServerLimits
{
    std::size_t headerSize = 16U << 10U;
    std::size_t bodySize = 256U << 10U;
    /// From the first byte of a request to its last.
    Duration requestTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
    /// Open connections; further ones are closed at once.
    std::size_t connections = 2000;
};

/// \brief Serves HTTP/1.1 on one address from an event loop, connections kept open.
///
/// Thread safety: used by the loop's thread alone.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// \brief Listens at once; throws boost::system::system_error if it can't.
    ///
    /// Precondition: \p loop and \p timers outlive the server.
    HttpServer(boost::asio::io_context &loop, TimerQueue &timers,
               const boost::asio::ip::tcp::endpoint &address, const HttpServerLimits &limits,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setLimits(const HttpServerLimits &limits);

    /// \brief From now on each answer closes its connection.
    void closeAfterAnswers();

    /// \brief Closes connections without a request in progress and listens no more.
    void closeIdle();

    /// \brief Requests that were begun and not answered in full.
    [[nodiscard]] std::size_t openRequests() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class Session;
    struct State;

    static void accept(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace anvilmill::daemon
