#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace anvilmill::daemon {

using WebSocketClient = websocketpp::client<websocketpp::config::asio_client>;
using WebSocketServer = websocketpp::server<websocketpp::config::asio>;
using WebSocketError = websocketpp::lib::error_code;

/// \brief Disables Nagle's algorithm, so that small frames are sent without waiting for the
/// acknowledgement of the previous one.
template <typename Connection>
void disableNagle(Connection &connection)
{
    boost::system::error_code ignored;
    connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

} // namespace anvilmill::daemon
