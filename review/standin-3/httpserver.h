#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace review {

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// \brief An answer; one without a status is not sent, and its connection stays open.
struct Answer
{
    int status = 0;
    std::string body;
};

/// \brief HTTP/1.1 server on a loopback address, with a thread per connection.
class HttpServer
{
public:
    using Handler = std::function<Answer(const Request &)>;

    HttpServer(std::string address, std::uint16_t port, Handler handler);

    /// Listens, and accepts connections in a thread of its own.
    void open();

    /// Closes the listening socket and all connections.
    void close();

    std::uint16_t port() const { return m_port; }

private:
    void accept(int listener);
    void serve(int socket);

    std::string m_address;
    std::uint16_t m_port;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_sockets;
};

struct Reply
{
    /// 0: no connection; -1: the connection broke or no answer came in time.
    int status = -1;
    std::string body;
};

/// \brief Sends one request on a new connection and waits for its answer.
Reply call(const std::string &address, std::uint16_t port, const std::string &method,
           const std::string &path, const std::string &body, int timeoutMs,
           const std::string &headers = "");

} // namespace review
