#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace review {

/// \brief Accepts connections and resets each one as soon as it has received anything, without
/// passing it on.
///
/// Thread safety: used by the loop's thread alone.
class ResettingRelay
{
public:
    /// Precondition: \p loop outlives the relay.
    ResettingRelay(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &address)
        : m_acceptor(loop, address)
    {
        accept();
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error)
                return;
            const auto accepted = std::make_shared<Socket>(std::move(socket));
            accepted->async_wait(Socket::wait_read, [accepted](boost::system::error_code) {
                boost::system::error_code ignored;
                // Closing at once without lingering sends a reset.
                accepted->set_option(Socket::linger(true, 0), ignored);
                accepted->close(ignored);
            });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace review
