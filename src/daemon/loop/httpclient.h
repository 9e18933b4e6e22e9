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

/// \brief A request to be sent by HttpClient.
struct HttpCall
{
    std::string method = "GET";
    /// Path and query.
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Until the whole answer has been read, from the moment of the call.
    Duration timeout = std::chrono::seconds(1);
};

/// \brief How an HTTP call ended.
enum class HttpOutcome {
    Answered,
    /// Nothing was sent: the call has no effect.
    NotSent,
    /// The call was sent, or part of it, and its answer lost: it may have taken effect, or may yet.
    NoAnswer,
};

/// \brief Answer to an HTTP call.
struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    unsigned status = 0;
    std::string body;
    /// Why there is no answer.
    std::string reason;
};

/// \brief Bounds on one client's connections.
struct HttpClientLimits
{
    std::size_t connections = 4;
    /// Calls that wait for a connection; more are answered as not sent.
    std::size_t waiting = 256;
    /// Largest answer that is read, in bytes; above the largest page of the platform's store.
    std::size_t answerSize = 8U << 20U;
};

/// \brief Calls one HTTP server over a few kept connections on an event loop.
///
/// A connection carries one call at a time. One whose answer is late is closed, since its answer
/// would be taken for that of the next call.
///
/// Thread safety: used by the loop's thread alone.
class HttpClient
{
public:
    using Handler = std::function<void(const HttpAnswer &)>;

    /// Precondition: \p loop and \p timers outlive the client.
    HttpClient(boost::asio::io_context &loop, TimerQueue &timers,
               boost::asio::ip::tcp::endpoint server, const HttpClientLimits &limits);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends \p call; \p handler is called once, never from within.
    ///
    /// Handlers of calls that are open when the client is destroyed are not called.
    void send(HttpCall call, Handler handler);

    [[nodiscard]] const boost::asio::ip::tcp::endpoint &server() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class Connection;
    struct State;

    std::shared_ptr<State> m_state;
};

/// \brief Parses `host:port` with a numeric IPv4 address; nothing if it is not of that form.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address);

} // namespace anvilmill::daemon
