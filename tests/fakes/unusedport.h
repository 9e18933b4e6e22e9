#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace anvilmill::tests {

/// \brief Returns the endpoint of a loopback port that is not in use, a different one each time.
///
/// The ports are below the system's ephemeral port range, so that no outgoing connection can occupy
/// them in the meantime. Throws std::runtime_error if all ports are used.
inline boost::asio::ip::tcp::endpoint unusedEndpoint()
{
    constexpr std::uint16_t First = 21000;
    constexpr std::uint16_t Last = 28000;
    static std::uint16_t next = First;
    boost::asio::io_context loop;
    while (next < Last) {
        boost::asio::ip::tcp::endpoint endpoint{boost::asio::ip::make_address_v4("127.0.0.1"),
                                                next++};
        boost::system::error_code error;
        boost::asio::ip::tcp::acceptor acceptor(loop);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint, error);
        if (!error)
            return endpoint;
    }
    throw std::runtime_error("no unused port left");
}

/// \brief Formats as `host:port`.
inline std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace anvilmill::tests
