#include "socketoptions.h"

#include "log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace anvilmill::daemon {

void setLowLatencyOptions(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
{
    const auto unacknowledged = static_cast<unsigned>(limit.count());
    boost::system::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    const bool isTimeoutSet = ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                                           &unacknowledged, sizeof unacknowledged)
                              == 0;
    if (error || !isTimeoutSet)
        LogEvent("socket.optionRefused", LogEvent::Level::Warning)
                .with("reason", error ? error.message() : "TCP_USER_TIMEOUT");
}

void enableFastKeepAlive(boost::asio::ip::tcp::socket &socket)
{
    // One probe after one second of idle time, with one second for its acknowledgement.
    constexpr int One = 1;
    const int handle = socket.native_handle();
    const bool isSet = ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &One, sizeof One) == 0
                       && ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &One, sizeof One) == 0
                       && ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &One, sizeof One) == 0
                       && ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &One, sizeof One) == 0;
    if (!isSet)
        LogEvent("socket.optionRefused", LogEvent::Level::Warning).with("reason", "SO_KEEPALIVE");
}

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace anvilmill::daemon
