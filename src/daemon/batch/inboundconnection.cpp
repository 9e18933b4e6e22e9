#include "inboundconnection.h"

#include "batch/framecodec.h"
#include "log.h"
#include "loop/limitreport.h"

#include <boost/beast/websocket.hpp>

#include <exception>
#include <utility>

namespace anvilmill::daemon {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A frame contains the messages of one iteration: a hundred starts of 4,000 bytes, with a margin.
constexpr std::size_t MaxFrameBytes = 4U << 20U;
/// Bytes of a frame that are read between two checks of the budget.
constexpr std::size_t PieceBytes = 64U << 10U;
/// Each host sends a heartbeat to all others once a second: one that sends no message for this long
/// counts as disconnected.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(3500);

} // namespace

InboundConnection::InboundConnection(TimerQueue &timers, tcp::socket socket,
                                     const InboundLimits &limits, InboundEvents events)
    : m_timers(timers)
    , m_socket(std::move(socket))
    , m_budget(limits.budget)
    , m_events(std::move(events))
    , m_buffer(MaxFrameBytes)
    , m_charge(std::in_place, limits.firstFrameBudget)
    , m_accepted(timers.now())
{
    m_socket.read_message_max(MaxFrameBytes);
}

void InboundConnection::open()
{
    restartSilenceTimer();
    m_socket.async_accept([self = shared_from_this()](error_code error) {
        if (error)
            self->close();
        else
            self->read();
    });
}

void InboundConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timers.cancel(m_silenceTimer);
    m_charge->release();
    error_code ignored;
    m_socket.next_layer().close(ignored);
    m_events.closed(shared_from_this());
}

void InboundConnection::restartSilenceTimer()
{
    m_timers.cancel(m_silenceTimer);
    m_silenceTimer = m_timers.after(SilenceTimeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        if (self->m_host.empty())
            self->m_events.limitReached(limitcause::NoRequest);
        self->close();
    });
}

void InboundConnection::read()
{
    m_socket.async_read_some(m_buffer, PieceBytes,
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (error || self->m_isClosed)
                                     self->close();
                                 else
                                     self->bytesReceived();
                             });
}

void InboundConnection::bytesReceived()
{
    if (!m_charge->resize(m_buffer.size())) {
        m_events.limitReached(limitcause::Memory);
        close();
        return;
    }
    if (m_socket.is_message_done())
        received();
    else
        read();
}

void InboundConnection::received()
{
    restartSilenceTimer();
    const auto *const data = static_cast<const std::uint8_t *>(m_buffer.cdata().data());
    const auto frame = mesh::decodeFrame(data, m_buffer.size());
    if (!frame) {
        refuse(frame.error().reason);
        return;
    }
    // A faulty frame must not affect the connections of other hosts.
    try {
        if (m_host.empty()) {
            if (!m_events.admits(frame->host)) {
                m_events.limitReached(limitcause::HostName);
                close();
                return;
            }
            m_host = frame->host;
            m_charge.emplace(m_budget);
            m_events.identified(shared_from_this());
        }
        if (frame->host != m_host) {
            refuse("a frame names another host than those before");
            return;
        }
        m_events.received(*frame);
    } catch (const std::exception &exception) {
        refuse(exception.what());
        return;
    }
    m_buffer.consume(m_buffer.size());
    m_buffer.shrink_to_fit();
    m_charge->release();
    if (!m_isClosed)
        read();
}

void InboundConnection::refuse(const std::string &reason)
{
    LogEvent("peer.frameUnreadable", LogEvent::Level::Warning)
            .with("host", m_host)
            .with("reason", reason)
            .with("bytes", m_buffer.size());
    close();
}

} // namespace anvilmill::daemon
