#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace anvilmill::daemon {

/// \brief Disables Nagle's algorithm and closes the connection if sent data stays unacknowledged
/// for \p limit (TCP_USER_TIMEOUT): a peer behind a network partition sends no reset.
void setLowLatencyOptions(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);

/// \brief Enables TCP keep-alive that detects an unreachable peer of an idle connection within 2 s.
void enableFastKeepAlive(boost::asio::ip::tcp::socket &socket);

/// \brief True if the peer has closed or reset the connection. Consumes no received data.
[[nodiscard]] bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace anvilmill::daemon
