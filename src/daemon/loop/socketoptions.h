#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace anvilmill::daemon {

/// \brief Sends small messages at once, and gives the connection up when sent data stays
/// unacknowledged for \p limit: a peer behind a partition sends no reset.
void setPromptDelivery(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);

/// \brief Finds out within two seconds that an idle connection has gone silent.
void setShortProbes(boost::asio::ip::tcp::socket &socket);

/// \brief True if the peer has closed or reset the connection; reads nothing.
[[nodiscard]] bool isClosedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace anvilmill::daemon
