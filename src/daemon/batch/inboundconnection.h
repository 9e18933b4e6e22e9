#pragma once

#include "loop/bytebudget.h"
#include "loop/timerqueue.h"

#include "anvilmill/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/websocket/stream.hpp>
#include <meshframe.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvilmill::daemon {

class InboundConnection;
class LimitReport;

/// \brief Limits of the connections that other hosts open to a mesh. Without budgets, only the bytes
/// of one frame are limited.
struct InboundLimits
{
    /// For a further one, the oldest on which no frame has arrived is closed; if there is none, the
    /// further one is.
    std::size_t connections = 512;
    /// For frames that are being received on connections whose host is known.
    std::shared_ptr<ByteBudget> budget = {};
    /// For the first frame of each connection.
    std::shared_ptr<ByteBudget> firstFrameBudget = {};
    std::shared_ptr<LimitReport> report = {};
    /// Names of hosts that aren't listed; a connection that makes up a further one is closed.
    std::size_t unlistedHosts = 2000;
};

/// \brief Notifications from an InboundConnection to its mesh.
struct InboundEvents
{
    /// Whether the host that the first frame names may connect.
    std::function<bool(const std::string &host)> admits;
    /// The first frame has named the host; called before the frame is reported.
    std::function<void(const std::shared_ptr<InboundConnection> &)> identified;
    std::function<void(const wire::meshframe::MeshFrame &)> received;
    std::function<void(const std::shared_ptr<InboundConnection> &)> closed;
    std::function<void(const char *cause)> limitReached;
};

/// \brief A connection opened by another host, on which its frames arrive.
///
/// Thread safety: only to be used on the event loop's thread.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
    /// Precondition: \p timers outlives the connection.
    InboundConnection(TimerQueue &timers, boost::asio::ip::tcp::socket socket,
                      const InboundLimits &limits, InboundEvents events);

    void open();
    void close();

    /// \brief The host that has sent frames; empty before the first one.
    [[nodiscard]] const std::string &host() const noexcept { return m_host; }
    [[nodiscard]] MonotonicTime accepted() const noexcept { return m_accepted; }

private:
    void restartSilenceTimer();
    void read();
    void bytesReceived();
    void received();
    void refuse(const std::string &reason);

    TimerQueue &m_timers;
    boost::beast::websocket::stream<boost::asio::ip::tcp::socket, false> m_socket;
    std::shared_ptr<ByteBudget> m_budget;
    InboundEvents m_events;
    boost::beast::flat_buffer m_buffer;
    std::optional<ByteCharge> m_charge;
    TimerQueue::Id m_silenceTimer;
    MonotonicTime m_accepted;
    std::string m_host;
    bool m_isClosed = false;
};

} // namespace anvilmill::daemon
