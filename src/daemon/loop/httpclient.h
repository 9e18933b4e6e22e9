#pragma once

#include "anvilmill/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmill::daemon {

class TimerQueue;

/// \brief A request that HttpClient sends.
struct HttpCall
{
    std::string method = "GET";
    /// Path and query.
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// From the call of HttpClient::send() until the whole response has been read.
    Duration timeout = std::chrono::seconds(1);
    /// From sending the request until the header of the response has been read, for calls whose
    /// timeout allows for a large body; std::nullopt for no limit besides the timeout.
    std::optional<Duration> responseTimeout = std::nullopt;
};

/// \brief How an HTTP call ended.
enum class HttpOutcome {
    ResponseReceived,
    /// Nothing was sent; the call had no effect.
    NotSent,
    /// The request was sent at least in part, but no response was received; it may have taken
    /// effect or may still do so.
    NoResponse,
};

/// \brief Outcome of an HTTP call and the response, if one was received.
struct HttpCallResult
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    unsigned status = 0;
    std::string body;
    /// Why no response was received; empty otherwise.
    std::string reason;
    /// NoResponse only: the server closed the connection in order, as the system does for a process
    /// that ends. A broken link times out or resets it instead.
    bool isClosedByServer = false;
};

/// \brief Limits of one HttpClient.
struct HttpClientLimits
{
    std::size_t connections = 4;
    /// Calls that may wait for a connection; further calls end as NotSent.
    std::size_t queuedCalls = 256;
    /// Largest accepted response body in bytes; larger than any page of the platform's store.
    std::size_t maxResponseSize = 8U << 20U;
};

/// \brief Asynchronous client of one HTTP server with a small pool of persistent connections.
///
/// A connection handles one call at a time. It is closed when a call times out, because a late
/// response would be mistaken for the response to the next call.
///
/// Thread safety: only to be used on the event loop's thread.
class HttpClient
{
public:
    using Handler = std::function<void(const HttpCallResult &)>;

    /// Precondition: \p loop and \p timers outlive the client.
    HttpClient(boost::asio::io_context &loop, TimerQueue &timers,
               boost::asio::ip::tcp::endpoint server, const HttpClientLimits &limits);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends \p call. \p handler is called once, after send() has returned.
    ///
    /// Handlers of calls that are pending when the client is destroyed are not called.
    void send(HttpCall call, Handler handler);

    [[nodiscard]] const boost::asio::ip::tcp::endpoint &server() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class Connection;
    struct State;

    std::shared_ptr<State> m_state;
};

/// \brief Parses `host:port` with a numeric IPv4 address; std::nullopt if the format is invalid.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address);

} // namespace anvilmill::daemon
