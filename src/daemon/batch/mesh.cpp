#include "mesh.h"

#include "batch/framecodec.h"
#include "batch/hostnames.h"
#include "batch/peerclocks.h"
#include "log.h"
#include "loop/httpclient.h"
#include "loop/limitreport.h"
#include "loop/socketoptions.h"
#include "loop/timerqueue.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/websocket.hpp>

#include <algorithm>
#include <deque>
#include <list>

namespace anvilmill::daemon {

namespace websocket = boost::beast::websocket;
using boost::asio::ip::tcp;
using boost::system::error_code;
using wire::meshframe::MeshFrame;
using Socket = websocket::stream<tcp::socket, false>;

namespace {

constexpr Duration InitialRedialDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRedialDelay = std::chrono::milliseconds(400);
/// Two round trips for the handshake, and the delay of a busy host's loop iteration.
constexpr Duration DialTimeout = std::chrono::milliseconds(500);
/// Frames queued for a slow connection; each contains at least one iteration's messages.
constexpr std::size_t MaxQueuedFrames = 2000;
/// Several round trips, and short enough that a broken connection is re-established before its host
/// counts as silent.
constexpr auto AcknowledgementTimeout = std::chrono::milliseconds(400);
/// A host sends a heartbeat to all others once a second, so its first frame arrives within that.
constexpr Duration FirstFrameGrace = std::chrono::milliseconds(1500);

/// Shared by the queues of all hosts to which the frame is sent.
using EncodedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

EncodedFrame encoded(const MeshFrame &frame)
{
    return std::make_shared<const std::vector<std::uint8_t>>(mesh::encodeFrame(frame));
}

} // namespace

struct Mesh::State
{
    boost::asio::io_context &loop;
    TimerQueue &timers;
    std::string self;
    tcp::acceptor acceptor;
    MeshEvents events;
    std::map<std::string, std::shared_ptr<Link>> links;
    InboundLimits limits;
    /// In the order in which they were accepted.
    std::list<std::shared_ptr<InboundConnection>> inbound;
    PeerClocks clocks;
    HostNames names;
    bool isClosed = false;
    std::uint64_t framesSent = 0;

    void limitReached(const char *cause) const
    {
        if (limits.report)
            limits.report->reached(cause);
    }
};

/// The connection on which frames are sent to one host; redialled until end() is called.
class Mesh::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(std::shared_ptr<State> state, std::string host, tcp::endpoint address)
        : m_state(std::move(state))
        , m_host(std::move(host))
        , m_address(std::move(address))
    {
        m_frame.host = m_state->self;
    }

    [[nodiscard]] const tcp::endpoint &address() const noexcept { return m_address; }
    [[nodiscard]] bool isConnected() const noexcept { return m_isConnected; }

    void dial()
    {
        if (m_isEnded || m_state->isClosed)
            return;
        m_socket = std::make_shared<Socket>(m_state->loop);
        m_dialTimer = m_state->timers.after(DialTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->broken("no handshake in time");
        });
        m_socket->next_layer().async_connect(
                m_address, [self = shared_from_this(), socket = m_socket](error_code error) {
                    if (self->isCurrent(socket))
                        self->connected(error);
                });
    }

    void end()
    {
        m_isEnded = true;
        m_isConnected = false;
        m_state->timers.cancel(m_dialTimer);
        closeSocket();
    }

    MeshFrame *frame()
    {
        if (!m_isConnected)
            return nullptr;
        if (!m_isFlushDue) {
            m_isFlushDue = true;
            m_state->timers.post([self = shared_from_this()] { self->flush(); });
        }
        return &m_frame;
    }

    void broken(const std::string &reason)
    {
        if (m_isConnected)
            LogEvent("peer.lost", LogEvent::Level::Warning)
                    .with("host", m_host)
                    .with("reason", reason)
                    .with("queued", m_queue.size());
        m_state->timers.cancel(m_dialTimer);
        m_isConnected = false;
        m_isWriting = false;
        // Pending operations keep the socket, and its buffers here, until they are aborted.
        m_abortedWrites = std::move(m_queue);
        m_queue.clear();
        m_frame = {};
        m_frame.host = m_state->self;
        closeSocket();
        m_state->timers.after(m_redialDelay, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->dial();
        });
        m_redialDelay = std::min(m_redialDelay * 2, MaxRedialDelay);
    }

    void enqueue(EncodedFrame frame)
    {
        if (!m_isConnected)
            return;
        m_queue.push_back(std::move(frame));
        ++m_state->framesSent;
        if (m_queue.size() > MaxQueuedFrames)
            broken("connection too slow");
        else if (!m_isWriting)
            write();
    }

private:
    [[nodiscard]] bool isCurrent(const std::shared_ptr<Socket> &socket) const
    {
        return !m_isEnded && socket == m_socket;
    }

    void connected(error_code error)
    {
        if (error) {
            broken(error.message());
            return;
        }
        setLowLatencyOptions(m_socket->next_layer(), AcknowledgementTimeout);
        m_socket->async_handshake(
                m_address.address().to_string(), "/",
                [self = shared_from_this(), socket = m_socket](error_code result) {
                    if (!self->isCurrent(socket))
                        return;
                    if (result)
                        self->broken(result.message());
                    else
                        self->opened();
                });
    }

    void opened()
    {
        m_state->timers.cancel(m_dialTimer);
        m_socket->binary(true);
        m_isConnected = true;
        m_redialDelay = InitialRedialDelay;
        LogEvent("peer.connected").with("host", m_host);
        awaitClose();
        m_state->events.connected(m_host);
    }

    // The peer sends no frames on this connection; the read detects that it is closed.
    void awaitClose()
    {
        m_socket->async_read(m_ignored, [self = shared_from_this(),
                                         socket = m_socket](error_code error, std::size_t) {
            if (self->isCurrent(socket))
                self->broken(error ? error.message() : "unexpected frame");
        });
    }

    void flush()
    {
        m_isFlushDue = false;
        MeshFrame frame;
        frame.host = m_state->self;
        std::swap(frame, m_frame);
        if (!m_isConnected)
            return;
        m_state->clocks.stamp(frame, m_host, m_state->timers.sinceBoot());
        enqueue(encoded(frame));
    }

    void write()
    {
        m_isWriting = true;
        m_socket->async_write(
                boost::asio::buffer(*m_queue.front()),
                [self = shared_from_this(), socket = m_socket](error_code error, std::size_t) {
                    if (self->isCurrent(socket))
                        self->written(error);
                });
    }

    void written(error_code error)
    {
        if (error) {
            broken(error.message());
            return;
        }
        m_queue.pop_front();
        if (m_queue.empty())
            m_isWriting = false;
        else
            write();
    }

    void closeSocket()
    {
        if (!m_socket)
            return;
        error_code ignored;
        m_socket->next_layer().close(ignored);
        m_socket.reset();
    }

    std::shared_ptr<State> m_state;
    std::string m_host;
    tcp::endpoint m_address;
    std::shared_ptr<Socket> m_socket;
    boost::beast::flat_buffer m_ignored;
    std::deque<EncodedFrame> m_queue;
    std::deque<EncodedFrame> m_abortedWrites;
    MeshFrame m_frame;
    Duration m_redialDelay = InitialRedialDelay;
    TimerQueue::Id m_dialTimer;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isFlushDue = false;
    bool m_isEnded = false;
};

Mesh::Mesh(boost::asio::io_context &loop, TimerQueue &timers, std::string self,
           const tcp::endpoint &address, MeshEvents events, const InboundLimits &limits)
    : m_state(std::make_shared<State>(State{loop,
                                            timers,
                                            std::move(self),
                                            tcp::acceptor(loop),
                                            std::move(events),
                                            {},
                                            limits,
                                            {},
                                            {},
                                            HostNames(limits.unlistedHosts),
                                            false}))
{
    m_state->acceptor.open(address.protocol());
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_state->acceptor.bind(address);
    m_state->acceptor.listen();
    accept(m_state);
}

Mesh::~Mesh()
{
    m_state->isClosed = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
    for (const auto &[host, link] : m_state->links)
        link->end();
    m_state->links.clear();
    const auto inbound = m_state->inbound;
    for (const auto &connection : inbound)
        connection->close();
}

void Mesh::accept(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept([state](error_code error, tcp::socket socket) {
        if (state->isClosed || error == boost::asio::error::operation_aborted)
            return;
        if (!error)
            accepted(state, std::move(socket));
        state->timers.after(error ? MaxRedialDelay : Duration{}, [state] { accept(state); });
    });
}

void Mesh::accepted(const std::shared_ptr<State> &state, tcp::socket socket)
{
    if (state->inbound.size() >= state->limits.connections) {
        state->limitReached(limitcause::Connections);
        const auto oldest =
                std::find_if(state->inbound.begin(), state->inbound.end(),
                             [](const auto &connection) { return connection->host().empty(); });
        if (oldest == state->inbound.end()
            || state->timers.now() - (*oldest)->accepted() < FirstFrameGrace)
            return;
        const auto closing = *oldest;
        closing->close();
    }
    const InboundEvents events = {
            [state](const std::string &host) { return state->names.admit(host); },
            [state](const auto &connection) { identified(state, connection); },
            [state](const MeshFrame &frame) {
                state->clocks.received(frame, state->timers.sinceBoot());
                state->events.received(frame);
            },
            [state](const auto &connection) {
                state->inbound.remove(connection);
                if (!connection->host().empty() && !state->isClosed && state->events.disconnected)
                    state->events.disconnected(connection->host());
            },
            [state](const char *cause) { state->limitReached(cause); }};
    const auto connection = std::make_shared<InboundConnection>(state->timers, std::move(socket),
                                                                state->limits, events);
    state->inbound.push_back(connection);
    connection->open();
}

// Unread frames of the host's earlier connections are outdated.
void Mesh::identified(const std::shared_ptr<State> &state,
                      const std::shared_ptr<InboundConnection> &connection)
{
    state->clocks.reset(connection->host());
    const auto all = state->inbound;
    for (const auto &other : all) {
        if (other != connection && other->host() == connection->host())
            other->close();
    }
    state->events.connected(connection->host());
}

void Mesh::setListed(const std::vector<PeerHost> &hosts)
{
    m_state->names.setListed(hosts);
}

void Mesh::setHosts(const std::vector<PeerHost> &hosts)
{
    std::map<std::string, std::shared_ptr<Link>> kept;
    for (const PeerHost &host : hosts) {
        const auto address = parseEndpoint(host.peerAddress);
        if (host.name == m_state->self || !address)
            continue;
        auto &link = m_state->links[host.name];
        if (link && link->address() != *address)
            link->end();
        if (!link || link->address() != *address) {
            link = std::make_shared<Link>(m_state, host.name, *address);
            link->dial();
        }
        kept[host.name] = link;
        m_state->links.erase(host.name);
    }
    for (const auto &[name, link] : m_state->links) {
        if (link)
            link->end();
    }
    m_state->links = std::move(kept);
}

MeshFrame *Mesh::frameFor(const std::string &host)
{
    const auto found = m_state->links.find(host);
    return found == m_state->links.end() ? nullptr : found->second->frame();
}

void Mesh::send(MeshFrame frame, const std::vector<std::string> &hosts)
{
    PeerClocks::stampForAll(frame, m_state->timers.sinceBoot());
    const EncodedFrame bytes = encoded(frame);
    for (const std::string &host : hosts) {
        const auto found = m_state->links.find(host);
        if (found != m_state->links.end())
            found->second->enqueue(bytes);
    }
}

void Mesh::redial(const std::string &host)
{
    const auto found = m_state->links.find(host);
    if (found != m_state->links.end() && found->second->isConnected())
        found->second->broken("silent");
}

bool Mesh::isConnected(const std::string &host) const
{
    const auto found = m_state->links.find(host);
    return found != m_state->links.end() && found->second->isConnected();
}

std::uint64_t Mesh::framesSent() const noexcept
{
    return m_state->framesSent;
}

std::optional<Duration> Mesh::ageOf(const MeshFrame &frame) const
{
    return m_state->clocks.ageOf(frame, m_state->timers.sinceBoot());
}

std::vector<std::string> Mesh::connectedHosts() const
{
    std::vector<std::string> hosts;
    for (const auto &[name, link] : m_state->links) {
        if (link->isConnected())
            hosts.push_back(name);
    }
    return hosts;
}

} // namespace anvilmill::daemon
