#include "httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

sockaddr_in endpointOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    return endpoint;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> headersIn(const std::string &head)
{
    std::map<std::string, std::string> headers;
    std::size_t line = head.find("\r\n");
    while (line != std::string::npos && line + 2 < head.size()) {
        const std::size_t begin = line + 2;
        line = head.find("\r\n", begin);
        const std::string text = head.substr(begin, line - begin);
        const std::size_t colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = text.find_first_not_of(' ', colon + 1);
        headers[lowered(text.substr(0, colon))] =
                value == std::string::npos ? "" : text.substr(value);
    }
    return headers;
}

std::size_t bodyLengthIn(const std::map<std::string, std::string> &headers)
{
    const auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
}

Request requestOf(const std::string &head, std::string body)
{
    Request request;
    const std::size_t space = head.find(' ');
    const std::string target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
    request.method = head.substr(0, space);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string part = target.substr(begin, end - begin);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            request.query[part.substr(0, equals)] = unescaped(part.substr(equals + 1));
        begin = end + 1;
    }
    request.headers = headersIn(head);
    request.body = std::move(body);
    return request;
}

void sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

HttpServer::HttpServer(std::string address, std::uint16_t port, Handler handler)
    : m_address(std::move(address))
    , m_port(port)
    , m_handler(std::move(handler))
{
}

void HttpServer::open()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in endpoint = endpointOf(m_address, m_port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
        || ::listen(listener, 512) != 0) {
        ::close(listener);
        throw std::runtime_error("can't listen at " + m_address + ":" + std::to_string(m_port));
    }
    if (m_port == 0) {
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
        m_port = ntohs(bound.sin_port);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_listener = listener;
    }
    std::thread([this, listener] { accept(listener); }).detach();
}

void HttpServer::close()
{
    const std::lock_guard lock(m_mutex);
    if (m_listener >= 0)
        ::shutdown(m_listener, SHUT_RDWR);
    m_listener = -1;
    for (const int socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
}

void HttpServer::accept(int listener)
{
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            break;
        setNoDelay(socket);
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        std::thread([this, socket] { serve(socket); }).detach();
    }
    ::close(listener);
}

void HttpServer::serve(int socket)
{
    std::string bytes;
    char piece[16384];
    while (true) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string head = bytes.substr(0, end + 2);
            const std::size_t length = bodyLengthIn(headersIn(head));
            if (bytes.size() >= end + 4 + length) {
                const Answer answer = m_handler(requestOf(head, bytes.substr(end + 4, length)));
                bytes.erase(0, end + 4 + length);
                if (answer.status > 0)
                    sendAll(socket, "HTTP/1.1 " + std::to_string(answer.status)
                                            + " -\r\nContent-Type: application/json\r\n"
                                              "Content-Length: "
                                            + std::to_string(answer.body.size()) + "\r\n\r\n"
                                            + answer.body);
                continue;
            }
        }
        const ssize_t count = ::recv(socket, piece, sizeof piece, 0);
        if (count <= 0)
            break;
        bytes.append(piece, static_cast<std::size_t>(count));
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    ::close(socket);
}

Reply call(const std::string &address, std::uint16_t port, const std::string &method,
           const std::string &path, const std::string &body, int timeoutMs,
           const std::string &headers)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = endpointOf(address, port);
    Reply reply;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        ::close(socket);
        reply.status = 0;
        return reply;
    }
    setNoDelay(socket);
    sendAll(socket, method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + headers
                            + "Content-Type: application/json\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    std::string bytes;
    char piece[16384];
    while (true) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::size_t length = bodyLengthIn(headersIn(bytes.substr(0, end + 2)));
            if (bytes.size() >= end + 4 + length) {
                reply.status = std::atoi(bytes.c_str() + 9);
                reply.body = bytes.substr(end + 4, length);
                break;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
        pollfd waited{socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waited, 1, static_cast<int>(left.count())) <= 0)
            break;
        const ssize_t count = ::recv(socket, piece, sizeof piece, 0);
        if (count <= 0)
            break;
        bytes.append(piece, static_cast<std::size_t>(count));
    }
    ::close(socket);
    return reply;
}

} // namespace review
