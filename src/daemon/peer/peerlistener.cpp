#include "peerlistener.h"

#include "log.h"
#include "peerframe.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

// Peers send pings much more often than once in this many silence timeouts.
constexpr int IncomingSilenceFactor = 3;
/// A peer sends its hello as soon as the connection is open, and is usually a member already.
constexpr Duration UnknownGrace = std::chrono::milliseconds(1500);
/// A hello and the membership messages of a host that joins.
constexpr std::size_t MaxUnknownFrameBytes = 64U << 10U;
/// An opening request has no body.
constexpr std::size_t MaxRequestBodyBytes = 1024;
/// Each ping is answered, so the pongs of a peer that doesn't read would take memory without limit.
constexpr int MaxPingsPerSecond = 50;
/// Longer than sending a full buffer takes over a slow link.
constexpr Duration UnreadTimeout = std::chrono::seconds(10);

} // namespace

struct PeerListener::Incoming
{
    Incoming(std::uint64_t number, WebSocketServer::connection_ptr socket, PeerContext &context,
             std::function<void()> scheduleFlush)
        : id(number)
        , connection(std::move(socket))
        , outbox(context.options.maxQueuedMessages, std::move(scheduleFlush))
        , lastReceived(context.clock.now())
        , lastProgress(lastReceived)
    {
    }

    const std::uint64_t id;
    const WebSocketServer::connection_ptr connection;
    PeerOutbox outbox;
    MonotonicTime lastReceived;
    /// When nothing was waiting to be sent, or something had been sent.
    MonotonicTime lastProgress;
    std::size_t buffered = 0;
    MonotonicTime pingSecond;
    int pings = 0;
    bool isKnown = false;
    std::optional<wire::peer::Hello> hello;
};

PeerListener::PeerListener(PeerContext &context)
    : m_context(context)
{
    m_server.clear_access_channels(websocketpp::log::alevel::all);
    m_server.clear_error_channels(websocketpp::log::elevel::all);
    m_server.init_asio(&context.io);
    m_server.set_reuse_addr(true);
    m_server.set_max_message_size(MaxUnknownFrameBytes);
    m_server.set_max_http_body_size(MaxRequestBodyBytes);
    m_server.set_tcp_pre_init_handler([this](const Handle &handle) { onAccepted(handle); });
    m_server.set_fail_handler([this](const Handle &handle) { m_unknown.erase(handle); });
    m_server.set_open_handler([this](const Handle &handle) { onOpen(handle); });
    m_server.set_close_handler([this](const Handle &handle) { onClose(handle); });
    m_server.set_message_handler([this](const Handle &handle, const auto &message) {
        onFrame(handle, message->get_payload());
    });
    m_server.set_ping_handler(
            [this](const Handle &handle, const std::string &) { return onPing(handle); });
}

std::string PeerListener::listen()
{
    const std::string &wanted = m_context.options.listenAddress;
    const auto colon = wanted.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("peer address without a port: " + wanted);
    const std::string host = wanted.substr(0, colon);
    m_server.listen(host, wanted.substr(colon + 1));
    m_server.start_accept();
    boost::system::error_code problem;
    const auto endpoint = m_server.get_local_endpoint(problem);
    if (problem)
        throw boost::system::system_error(problem);
    return host + ":" + std::to_string(endpoint.port());
}

void PeerListener::onAccepted(const Handle &handle)
{
    const auto known = static_cast<std::size_t>(
            std::count_if(m_ids.begin(), m_ids.end(),
                          [this](const auto &entry) { return m_unknown.count(entry.first) == 0; }));
    const std::size_t connections = known + m_unknown.size();
    const bool isFull = connections >= m_context.options.maxIncomingConnections;
    if (isFull) {
        ++m_context.counters.connectionsRefused;
        LogEvent("peer.connectionLimit", LogEvent::Level::Warning).with("connections", connections);
    }
    m_unknown[handle] = m_context.clock.now();
    if (isFull && !closeUnknown())
        closeSocket(handle);
}

bool PeerListener::closeUnknown()
{
    const auto oldest = std::min_element(
            m_unknown.begin(), m_unknown.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    if (oldest == m_unknown.end() || m_context.clock.now() - oldest->second < UnknownGrace)
        return false;
    const Handle handle = oldest->first;
    if (const auto incoming = find(handle))
        drop(incoming);
    else
        closeSocket(handle);
    return true;
}

// The handshake fails, which ends the connection.
void PeerListener::closeSocket(const Handle &handle)
{
    WebSocketError error;
    const auto connection = m_server.get_con_from_hdl(handle, error);
    if (error)
        return;
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
}

bool PeerListener::onPing(const Handle &handle)
{
    const auto incoming = find(handle);
    if (!incoming)
        return false;
    const MonotonicTime now = m_context.clock.now();
    incoming->lastReceived = now;
    if (now - incoming->pingSecond >= std::chrono::seconds(1)) {
        incoming->pingSecond = now;
        incoming->pings = 0;
    }
    if (++incoming->pings <= MaxPingsPerSecond)
        return true;
    m_context.reportMalformed(incoming->hello ? incoming->hello->host : "unknown",
                              "too many pings");
    drop(incoming);
    return false;
}

void PeerListener::onOpen(const Handle &handle)
{
    const auto connection = m_server.get_con_from_hdl(handle);
    disableNagle(*connection);
    const std::uint64_t id = ++m_lastId;
    const auto incoming = std::make_shared<Incoming>(id, connection, m_context,
                                                     [this, id] { scheduleFlush(id); });
    m_ids[handle] = id;
    {
        const std::lock_guard lock(m_mutex);
        m_incoming[id] = incoming;
    }
    wire::peer::Frame frame;
    frame.hello = makeHello(m_context.self, m_context.address);
    const std::string bytes = encodeFrame(frame);
    if (!connection->send(bytes, websocketpp::frame::opcode::binary))
        m_context.counters.bytesSent += bytes.size();
}

void PeerListener::onClose(const Handle &handle)
{
    m_unknown.erase(handle);
    const auto entry = m_ids.find(handle);
    if (entry == m_ids.end())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_incoming.erase(entry->second);
    }
    m_ids.erase(entry);
}

void PeerListener::onFrame(const Handle &handle, const std::string &payload)
{
    const auto incoming = find(handle);
    if (!incoming)
        return;
    incoming->lastReceived = m_context.clock.now();
    m_context.counters.bytesReceived += payload.size();
    ++m_context.counters.framesReceived;
    Result<wire::peer::Frame> frame = decodeFrame(payload);
    if (!frame) {
        const std::string from = incoming->hello ? incoming->hello->host : "unknown";
        m_context.reportMalformed(from, frame.error().reason);
        drop(incoming);
        return;
    }
    if (frame->hello)
        onHello(*incoming, *frame->hello);
    if (!incoming->hello) {
        m_context.reportMalformed("unknown", "message before the hello");
        drop(incoming);
        return;
    }
    if (!incoming->isKnown && m_context.isKnownHost(asIncarnation(*incoming->hello))) {
        incoming->isKnown = true;
        m_unknown.erase(handle);
        incoming->connection->set_max_message_size(m_context.options.maxFrameBytes);
    }
    if (!frame->messages)
        return;
    for (wire::peer::Message &message : *frame->messages)
        deliver(*incoming, message);
}

void PeerListener::onHello(Incoming &incoming, const wire::peer::Hello &hello)
{
    // Only the first hello counts; it identifies the peer until the connection closes.
    if (!incoming.hello && hello.protocol == PeerProtocol)
        incoming.hello = hello;
}

void PeerListener::deliver(const Incoming &incoming, wire::peer::Message &message)
{
    if (message.reply.value_or(false))
        return;
    PeerMessage delivered;
    delivered.from = asIncarnation(*incoming.hello);
    delivered.fromAddress = incoming.hello->address;
    delivered.channel = static_cast<PeerChannel>(message.channel);
    delivered.body = std::move(message.body);
    delivered.request = message.request;
    delivered.connection = incoming.id;
    m_context.dispatch(delivered);
}

void PeerListener::reply(const PeerMessage &request, nlohmann::json body)
{
    const auto incoming = find(request.connection);
    if (!incoming || !request.request)
        return;
    PeerOutgoing outgoing;
    outgoing.message.channel = static_cast<std::int64_t>(request.channel);
    outgoing.message.request = request.request;
    outgoing.message.reply = true;
    outgoing.bytes = approximateBytes(body);
    outgoing.message.body = std::move(body);
    outgoing.expiry = MonotonicTime::max();
    const bool hasRoom = m_replyBytes + outgoing.bytes <= m_context.options.maxReplyBytes;
    if (!hasRoom || !incoming->outbox.push(outgoing)) {
        ++m_context.counters.messagesDropped;
        LogEvent("peer.replyDropped", LogEvent::Level::Warning)
                .with("to", request.from.asString())
                .with("bytes", outgoing.bytes);
        return;
    }
    m_replyBytes += outgoing.bytes;
}

void PeerListener::scheduleFlush(std::uint64_t id)
{
    boost::asio::post(m_context.io, [this, id] { flush(id); });
}

void PeerListener::flush(std::uint64_t id)
{
    const auto incoming = find(id);
    const std::size_t maxBuffered = m_context.options.maxFrameBytes;
    if (!incoming || incoming->connection->get_buffered_amount() > maxBuffered)
        return;
    std::vector<wire::peer::Message> messages;
    for (PeerOutgoing &outgoing : incoming->outbox.takeAll())
        messages.push_back(std::move(outgoing.message));
    std::vector<std::size_t> tooLarge;
    for (const std::string &bytes : packFrames(messages, maxBuffered, tooLarge)) {
        if (incoming->connection->send(bytes, websocketpp::frame::opcode::binary))
            continue;
        m_context.counters.bytesSent += bytes.size();
        ++m_context.counters.framesSent;
    }
    m_context.counters.messagesSent += messages.size() - tooLarge.size();
    m_context.counters.messagesDropped += tooLarge.size();
}

void PeerListener::tick()
{
    const Duration limit = m_context.options.silenceTimeout * IncomingSilenceFactor;
    const MonotonicTime now = m_context.clock.now();
    std::vector<std::shared_ptr<Incoming>> ended;
    std::vector<std::uint64_t> waiting;
    std::size_t replyBytes = 0;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, incoming] : m_incoming) {
            const bool isUnreadNow = isUnread(*incoming, now);
            m_context.counters.connectionsUnread += isUnreadNow ? 1 : 0;
            replyBytes += incoming->buffered + incoming->outbox.bytes();
            if (isUnreadNow || now - incoming->lastReceived > limit)
                ended.push_back(incoming);
            else if (!incoming->outbox.isEmpty())
                waiting.push_back(id);
        }
    }
    m_replyBytes = replyBytes;
    for (const auto &incoming : ended)
        drop(incoming);
    for (const std::uint64_t id : waiting)
        flush(id);
}

bool PeerListener::isUnread(Incoming &incoming, MonotonicTime now) const
{
    const std::size_t buffered = incoming.connection->get_buffered_amount();
    if (buffered == 0 || buffered != incoming.buffered)
        incoming.lastProgress = now;
    incoming.buffered = buffered;
    if (now - incoming.lastProgress <= UnreadTimeout)
        return false;
    LogEvent("peer.unread", LogEvent::Level::Warning).with("bytes", buffered);
    return true;
}

void PeerListener::drop(const std::shared_ptr<Incoming> &incoming)
{
    {
        const std::lock_guard lock(m_mutex);
        m_incoming.erase(incoming->id);
    }
    m_ids.erase(incoming->connection->get_handle());
    m_unknown.erase(incoming->connection->get_handle());
    if (incoming->connection->get_state() == websocketpp::session::state::open)
        incoming->connection->terminate(WebSocketError());
}

void PeerListener::close()
{
    WebSocketError ignored;
    m_server.stop_listening(ignored);
    std::map<std::uint64_t, std::shared_ptr<Incoming>> open;
    {
        const std::lock_guard lock(m_mutex);
        open.swap(m_incoming);
    }
    m_ids.clear();
    const auto unnamed = m_unknown;
    m_unknown.clear();
    for (const auto &entry : unnamed)
        closeSocket(entry.first);
    for (const auto &entry : open) {
        if (entry.second->connection->get_state() == websocketpp::session::state::open)
            entry.second->connection->terminate(WebSocketError());
    }
}

std::shared_ptr<PeerListener::Incoming> PeerListener::find(const Handle &handle) const
{
    const auto entry = m_ids.find(handle);
    return entry == m_ids.end() ? nullptr : find(entry->second);
}

std::shared_ptr<PeerListener::Incoming> PeerListener::find(std::uint64_t id) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_incoming.find(id);
    return entry == m_incoming.end() ? nullptr : entry->second;
}

} // namespace anvilmill::daemon
